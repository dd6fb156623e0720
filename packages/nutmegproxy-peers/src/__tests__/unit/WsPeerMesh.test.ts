import type {EntryNode, EventKind} from '@nutmegproxy/core';

import {brand, CommandBus, SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Registry} from 'prom-client';
import {WebSocket} from 'ws';

import {WsPeerMesh} from '../../index.ts';

const WAIT_LIMIT_MS = 8_000;

interface Fixture {
  readonly codes: number[];
  readonly mesh: WsPeerMesh;
  readonly node: EntryNode;
}

/** Meshes to stop after each test, so that a failed test does not keep the process alive. */
const RUNNING_FIXTURES = new Set<Fixture>();

async function createMesh(vm: string, seeds: string[], secret = 'secret'): Promise<Fixture> {
  const codes: number[] = [];
  const node: EntryNode = {
    bus: new CommandBus(),
    clock: SYSTEM_CLOCK,
    events: {record: (kind: EventKind) => codes.push(kind.code)},
    identity: {
      dataCentre: brand('dc-1'),
      incarnation: brand(`${vm}-1`),
      region: brand('region'),
      vm: brand(vm),
    },
    metrics: new Registry(),
  };
  const mesh = new WsPeerMesh(node, {listen: '127.0.0.1:0', secret, seeds});
  await mesh.start();
  const fixture = {codes, mesh, node};
  RUNNING_FIXTURES.add(fixture);
  return fixture;
}

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    assert.ok(performance.now() < deadline, 'condition not met in time');
    await sleep(10);
  }
}

describe('WsPeerMesh', () => {
  afterEach(async () => {
    await Promise.all([...RUNNING_FIXTURES].map(({mesh}) => mesh.stop()));
    RUNNING_FIXTURES.clear();
  });

  describe('discovery', () => {
    it('links all processes of a data centre from one seed', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', [a.mesh.peerAddress]);
      const c = await createMesh('c', [a.mesh.peerAddress]);
      await waitFor(() => [a, b, c].every(({mesh}) => mesh.peers().length === 2));
    });

    it('keeps one link per pair when both sides dial', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', []);
      a.mesh.setTargets([b.mesh.peerAddress]);
      b.mesh.setTargets([a.mesh.peerAddress]);
      await waitFor(() => a.mesh.peers().length === 1 && b.mesh.peers().length === 1);
      b.mesh.registerHandler('ask', () => 'answer');
      let answered = false;
      await waitFor(() => {
        void a.mesh
          .request(b.node.identity.vm, b.node.identity.incarnation, {body: 1, type: 'ask'}, 500)
          .map(() => (answered = true));
        return answered;
      });
      assert.equal(a.mesh.peers().length, 1);
    });
  });

  describe('request', () => {
    it('returns the response, and distinguishes refusal, timeout and a missing link', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', [a.mesh.peerAddress]);
      await waitFor(() => a.mesh.peers().length === 1 && b.mesh.peers().length === 1);
      const {incarnation, vm} = b.node.identity;
      b.mesh.registerHandler('double', (body) => Number(body) * 2);
      b.mesh.registerHandler('never', () => new Promise(() => undefined));
      const good = await a.mesh.request(vm, incarnation, {body: 4, type: 'double'}, 1_000);
      assert.equal(good._unsafeUnwrap(), 8);
      const refused = await a.mesh.request(vm, incarnation, {body: 4, type: 'other'}, 1_000);
      assert.equal(refused._unsafeUnwrapErr().kind, 'refused');
      const silent = await a.mesh.request(vm, incarnation, {body: 4, type: 'never'}, 20);
      assert.equal(silent._unsafeUnwrapErr().kind, 'unknown');
      const absent = await a.mesh.request(vm, brand('b-0'), {body: 4, type: 'double'}, 1_000);
      assert.equal(absent._unsafeUnwrapErr().kind, 'unreachable');
    });
  });

  describe('authentication', () => {
    it('rejects a process with another secret and keeps serving the others', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', [a.mesh.peerAddress]);
      const intruder = await createMesh('x', [a.mesh.peerAddress], 'guess');
      await waitFor(() => a.codes.includes(2202) && intruder.codes.includes(2202));
      await waitFor(() => a.mesh.peers().length === 1);
      assert.equal(intruder.mesh.peers().length, 0);
      assert.equal(a.mesh.peers()[0]?.identity.vm, b.node.identity.vm);
    });

    it('closes a connection that sends no greeting', async () => {
      const a = await createMesh('a', []);
      const socket = new WebSocket(`ws://${a.mesh.peerAddress}`);
      socket.on('open', () => {
        socket.send(Buffer.from([0xc1, 0xff, 0x00]));
      });
      await new Promise((resolve) => socket.once('close', resolve));
      assert.ok(a.codes.includes(2202));
    });
  });

  describe('malformed messages', () => {
    it('close their link, which is then reopened', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', [a.mesh.peerAddress]);
      await waitFor(() => a.mesh.peers().length === 1 && b.mesh.peers().length === 1);
      b.mesh.registerHandler(
        'number',
        () => undefined,
        (body) => typeof body === 'number',
      );
      a.mesh.send(b.node.identity.vm, {body: 'text', type: 'number'});
      await waitFor(() => b.codes.includes(2203));
      await waitFor(() => b.codes.filter((code) => code === 2200).length === 2);
    });
  });
});
