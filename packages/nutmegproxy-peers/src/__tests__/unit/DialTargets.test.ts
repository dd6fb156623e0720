import type {NodeIdentity} from '@nutmegproxy/core';
import type {KnownPeer} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {DialTargets} from '../../DialTargets.ts';
import {LINKS_PER_DATA_CENTRE, MAX_KNOWN_PEERS} from '../../PeersConstants.ts';

const OWN: NodeIdentity = {
  dataCentre: brand('dc-0'),
  incarnation: brand('own.1'),
  region: brand('region'),
  vm: brand('own'),
};

function createPeer(dataCentre: string, n: number): KnownPeer {
  return {dataCentre, peerAddress: `${dataCentre}.${n}:1`, vm: `${dataCentre}.${n}`};
}

function addPeers(targets: DialTargets, dataCentre: string, count: number): void {
  for (let n = 0; n < count; n += 1) {
    targets.add(createPeer(dataCentre, n));
  }
}

describe('DialTargets', () => {
  describe('addresses', () => {
    it('contains all peers of the own data centre and a few of each other one', () => {
      const targets = new DialTargets(OWN, []);
      addPeers(targets, 'dc-0', 9);
      addPeers(targets, 'dc-1', 9);
      addPeers(targets, 'dc-2', 9);
      assert.equal(targets.addresses().size, 9 + 2 * LINKS_PER_DATA_CENTRE);
    });

    it('keeps its choice when a peer that was not chosen is removed', () => {
      const targets = new DialTargets(OWN, []);
      addPeers(targets, 'dc-1', 9);
      const chosen = targets.addresses();
      const other = Array.from({length: 9}, (_, n) => createPeer('dc-1', n).peerAddress).find(
        (address) => !chosen.has(address),
      );
      targets.remove(other ?? '');
      assert.deepEqual(targets.addresses(), chosen);
    });

    it('contains a seed only until the peer at its address is known', () => {
      const targets = new DialTargets(OWN, ['dc-1.0:1']);
      assert.deepEqual([...targets.addresses()], ['dc-1.0:1']);
      addPeers(targets, 'dc-1', 9);
      assert.equal(targets.addresses().size, LINKS_PER_DATA_CENTRE);
    });
  });

  describe('add', () => {
    it('drops the oldest peer when the limit is reached', () => {
      const targets = new DialTargets(OWN, []);
      addPeers(targets, 'dc-0', MAX_KNOWN_PEERS + 1);
      assert.equal(targets.knownPeers().length, MAX_KNOWN_PEERS);
      assert.equal(targets.addresses().has('dc-0.0:1'), false);
    });
  });
});
