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
  const heard: unknown[] = [];
  b.registerHandler('note', (body) => heard.push(body));
  return {a, b, heard, network};
}

describe('LocalMesh', () => {
  describe('request', () => {
    it('carries copies and answers', async () => {
      const {a, heard} = createPair();
      const body = {n: 1};
      const answer = await a.request(B.vm, B.incarnation, {body, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrap(), 1);
      assert.deepEqual(heard, [body]);
      assert.notEqual(heard[0], body);
    });

    it('loses only the answer when the way back is cut', async () => {
      const {a, heard, network} = createPair();
      network.setLinkState(B.vm, A.vm, 'cut');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unknown');
      assert.deepEqual(heard, [1]);
    });

    it('is unreachable when the way there is cut', async () => {
      const {a, heard, network} = createPair();
      network.setLinkState(A.vm, B.vm, 'cut');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unreachable');
      assert.deepEqual(heard, []);
    });
  });

  describe('hold', () => {
    it('delivers late, after the sender gave up', async () => {
      const {a, heard, network} = createPair();
      network.setLinkState(A.vm, B.vm, 'hold');
      const answer = await a.request(B.vm, B.incarnation, {body: 1, type: 'note'}, 100);
      assert.equal(answer._unsafeUnwrapErr().kind, 'unknown');
      assert.deepEqual(heard, []);
      network.release(A.vm, B.vm);
      assert.deepEqual(heard, [1]);
    });
  });
});
