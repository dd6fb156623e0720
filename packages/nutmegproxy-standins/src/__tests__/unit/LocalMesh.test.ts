import type {NodeIdentity} from '@nutmegproxy/core';

import {brand, ManualClock} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LocalNetwork} from '../../LocalMesh.ts';

const CLOCK = new ManualClock();

function createIdentity(vm: string): NodeIdentity {
  return {
    dataCentre: brand('dc'),
    incarnation: brand(`${vm}-1`),
    region: brand('region'),
    vm: brand(vm),
  };
}

const A = createIdentity('a');
const B = createIdentity('b');

function createPair() {
  const network = new LocalNetwork();
  const a = network.attach(A, CLOCK);
  const b = network.attach(B, CLOCK);
  const received: unknown[] = [];
  b.registerHandler('note', (body) => received.push(body));
  return {a, b, network, received};
}

describe('LocalMesh', () => {
  describe('request', () => {
    it('delivers a copy of the body and returns the response', async () => {
      const {a, received} = createPair();
      const body = {n: 1};
      const answer = await a.request(B.vm, B.incarnation, {body, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrap(), 1);
      assert.deepEqual(received, [body]);
      assert.notEqual(received[0], body);
    });

    it('loses only the response when the return direction is partitioned', async () => {
      const {a, network, received} = createPair();
      network.setLinkState(B.vm, A.vm, 'cut');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unknown');
      assert.deepEqual(received, [1]);
    });

    it('is unreachable when the outgoing direction is partitioned', async () => {
      const {a, network, received} = createPair();
      network.setLinkState(A.vm, B.vm, 'cut');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unreachable');
      assert.deepEqual(received, []);
    });
  });

  describe('hold', () => {
    it('delivers a buffered message after the sender timed out', async () => {
      const {a, network, received} = createPair();
      network.setLinkState(A.vm, B.vm, 'hold');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unknown');
      assert.deepEqual(received, []);
      network.release(A.vm, B.vm);
      assert.deepEqual(received, [1]);
    });
  });
});
