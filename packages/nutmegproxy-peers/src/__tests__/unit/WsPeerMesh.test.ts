import type {EntryNode} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket} from 'ws';

import {WsPeerMesh} from '../../index.ts';
import {PEERS_EVENTS} from '../../PeersEvents.ts';
import {createRecordedNode, EventLog} from '../fakes/RecordedNode.ts';
import {ScriptedPeer} from '../fakes/ScriptedPeer.ts';

const WAIT_LIMIT_MS = 8_000;
const CLOSED = PEERS_EVENTS.LINK_CLOSED.code;
const MALFORMED = PEERS_EVENTS.PEER_MALFORMED.code;
const OPEN = PEERS_EVENTS.LINK_OPEN.code;

interface Fixture {
  readonly events: EventLog;
  readonly mesh: WsPeerMesh;
  readonly node: EntryNode;
}

/** Meshes to stop after each test, so that a failed test does not keep the process alive. */
const RUNNING_FIXTURES = new Set<Fixture>();
const SCRIPTED_PEERS = new Set<ScriptedPeer>();

async function createMesh(vm: string, seeds: string[], secret = 'secret'): Promise<Fixture> {
  const events = new EventLog();
  const node = createRecordedNode(vm, events);
  const mesh = new WsPeerMesh(node, {listen: '127.0.0.1:0', secret, seeds});
  await mesh.start();
  const fixture = {events, mesh, node};
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
    await Promise.all([...SCRIPTED_PEERS].map((peer) => peer.close()));
    SCRIPTED_PEERS.clear();
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
      await waitFor(() => a.events.count(2202) > 0 && intruder.events.count(2202) > 0);
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
      assert.ok(a.events.count(2202) > 0);
    });
  });

  describe('malformed messages', () => {
    it('close their link, which is then reopened', async () => {
      const a = await createMesh('a', []);
      const b = await createMesh('b', [a.mesh.peerAddress]);
      await waitFor(() => a.mesh.peers().length === 1 && b.mesh.peers().length === 1);
      b.mesh.registerHandler(
        'number',
        (body) => body,
        (body) => typeof body === 'number',
      );
      a.mesh.send(b.node.identity.vm, {body: 'text', type: 'number'});
      await b.events.waitForCount(MALFORMED, 1);
      await b.events.waitForCount(OPEN, 2);
      // A refused second link may fail its handshake in between.
      const ofLinks = b.events.codes.filter((code) => code !== PEERS_EVENTS.PEER_REFUSED.code);
      assert.deepEqual(ofLinks.slice(0, 4), [OPEN, MALFORMED, CLOSED, OPEN]);
      const {incarnation, vm} = b.node.identity;
      let answered = false;
      await waitFor(() => {
        void a.mesh
          .request(vm, incarnation, {body: 1, type: 'number'}, 500)
          .map((body) => (answered = body === 1));
        return answered;
      });
      await waitFor(() => b.events.count(OPEN) - b.events.count(CLOSED) === 1);
      assert.equal(b.mesh.peers().length, 1);
    });
  });

  describe('two links between the same processes', () => {
    /** Links a mesh with a peer of a smaller incarnation, whose dials are preferred. */
    async function createPair(): Promise<{a: ScriptedPeer; b: Fixture}> {
      const a = new ScriptedPeer(createRecordedNode('a', new EventLog()), 'secret');
      SCRIPTED_PEERS.add(a);
      await a.listen();
      return {a, b: await createMesh('b', [a.peerAddress])};
    }

    it('keep the preferred one when it comes second after a malformed message', async () => {
      const {a, b} = await createPair();
      const malformed = await a.shakeHands(await a.hold());
      await b.events.waitForCount(OPEN, 1);
      malformed.sendMalformed();
      const replaced = await a.shakeHands(await a.hold());
      await b.events.waitForCount(OPEN, 2);
      const preferred = await a.dial(b.mesh.peerAddress);
      await b.events.waitForCount(CLOSED, 2);
      await replaced.closed;
      assert.deepEqual(b.events.codes, [OPEN, MALFORMED, CLOSED, OPEN, OPEN, CLOSED]);
      assert.equal(b.mesh.peers().length, 1);
      assert.ok(b.mesh.send(a.identity.vm, {body: 1, type: 'number'}));
      assert.equal((await preferred.receive()).body, 1);
    });

    it('keep the preferred one when it comes first', async () => {
      const {a, b} = await createPair();
      const held = await a.hold();
      const preferred = await a.dial(b.mesh.peerAddress);
      await b.events.waitForCount(OPEN, 1);
      const refused = await a.shakeHands(held);
      await refused.closed;
      assert.deepEqual(b.events.codes, [OPEN]);
      assert.ok(b.mesh.send(a.identity.vm, {body: 1, type: 'number'}));
      assert.equal((await preferred.receive()).body, 1);
    });

    it('report a request over the replaced one as unknown', async () => {
      const {a, b} = await createPair();
      const replaced = await a.shakeHands(await a.hold());
      await b.events.waitForCount(OPEN, 1);
      const {incarnation, vm} = a.identity;
      const response = b.mesh.request(vm, incarnation, {body: 1, type: 'ask'}, WAIT_LIMIT_MS);
      assert.equal((await replaced.receive()).type, 'ask');
      await a.dial(b.mesh.peerAddress);
      const message = 'the link closed before the response';
      assert.deepEqual((await response)._unsafeUnwrapErr(), {kind: 'unknown', message});
      assert.equal(b.events.count(OPEN), 2);
    });
  });
});
