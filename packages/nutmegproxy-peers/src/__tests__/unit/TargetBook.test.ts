import type {NodeIdentity} from '@nutmegproxy/core';
import type {KnownPeer} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LINKS_PER_DATA_CENTRE, MAX_KNOWN_PEERS} from '../../PeersConstants.ts';
import {TargetBook} from '../../TargetBook.ts';

const OWN: NodeIdentity = {
  dataCentre: brand('dc-0'),
  incarnation: brand('own.1'),
  region: brand('region'),
  vm: brand('own'),
};

function createPeer(dataCentre: string, n: number): KnownPeer {
  return {dataCentre, peerAddress: `${dataCentre}.${n}:1`, vm: `${dataCentre}.${n}`};
}

function fill(book: TargetBook, dataCentre: string, count: number): void {
  for (let n = 0; n < count; n += 1) {
    book.learn(createPeer(dataCentre, n));
  }
}

describe('TargetBook', () => {
  describe('addresses', () => {
    it('holds all of the own data centre and a few of each other one', () => {
      const book = new TargetBook(OWN, []);
      fill(book, 'dc-0', 9);
      fill(book, 'dc-1', 9);
      fill(book, 'dc-2', 9);
      assert.equal(book.addresses().size, 9 + 2 * LINKS_PER_DATA_CENTRE);
    });

    it('keeps its choice when a peer that it did not choose goes', () => {
      const book = new TargetBook(OWN, []);
      fill(book, 'dc-1', 9);
      const chosen = book.addresses();
      const other = Array.from({length: 9}, (_, n) => createPeer('dc-1', n).peerAddress).find(
        (address) => !chosen.has(address),
      );
      book.forget(other ?? '');
      assert.deepEqual(book.addresses(), chosen);
    });

    it('holds a seed only until its process is known', () => {
      const book = new TargetBook(OWN, ['dc-1.0:1']);
      assert.deepEqual([...book.addresses()], ['dc-1.0:1']);
      fill(book, 'dc-1', 9);
      assert.equal(book.addresses().size, LINKS_PER_DATA_CENTRE);
    });
  });

  describe('learn', () => {
    it('drops the oldest peer when it is full', () => {
      const book = new TargetBook(OWN, []);
      fill(book, 'dc-0', MAX_KNOWN_PEERS + 1);
      assert.equal(book.known().length, MAX_KNOWN_PEERS);
      assert.equal(book.addresses().has('dc-0.0:1'), false);
    });
  });
});
