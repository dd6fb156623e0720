import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {WebSocket} from 'ws';

import type {RelayedOutcome} from '../../RelayMessages.ts';

import {OwnerLink} from '../../OwnerLink.ts';
import {OUTCOME_DELAY_MS, RELAY_HEARTBEAT_MS} from '../../RelayConstants.ts';
import {decodeOutcomes, encodeBatch} from '../../RelayMessages.ts';
import {createTarget} from './RelaySamples.ts';

/** A connection to an owner that takes whatever is sent. */
class RecordedSocket extends EventEmitter {
  readonly bufferedAmount = 0;
  readonly OPEN = WebSocket.OPEN;
  readonly readyState = WebSocket.OPEN;
  readonly sent: (readonly RelayedOutcome[])[] = [];

  send(bytes: Buffer): void {
    this.sent.push(decodeOutcomes(bytes, 'inline')._unsafeUnwrap().outcomes);
  }
}

describe('OwnerLink', () => {
  let lastId: number;
  let socket: RecordedSocket;

  /** Has the owner send an order, which is carried out at once. */
  async function sendOrder(): Promise<void> {
    lastId += 1;
    const order = {number: 1, task: 'task', token: 7};
    const orders = [{id: lastId, kind: 'stop', order, target: createTarget('m1')}] as never;
    socket.emit('message', encodeBatch({orders, sentAt: SYSTEM_CLOCK.wall()}, 'inline'));
    await Promise.resolve();
  }

  beforeEach(() => {
    mock.timers.enable({apis: ['setInterval', 'setTimeout']});
    lastId = 0;
    socket = new RecordedSocket();
    assert.ok(
      new OwnerLink({
        address: 'owner',
        clock: SYSTEM_CLOCK,
        encoding: 'inline',
        events: SILENT_EVENTS,
        execute: ({id}) => Promise.resolve({clockMs: 1, id}),
        onClosed: () => undefined,
        socket: socket as unknown as WebSocket,
      }),
    );
  });

  afterEach(() => {
    socket.emit('close');
    mock.timers.reset();
  });

  it('shows that it is up while it has no outcomes', () => {
    for (let heartbeats = 1; heartbeats <= 4; heartbeats += 1) {
      mock.timers.tick(RELAY_HEARTBEAT_MS);
      assert.equal(socket.sent.length, heartbeats);
    }
    assert.deepEqual(socket.sent.flat(), []);
    socket.emit('close');
    mock.timers.tick(RELAY_HEARTBEAT_MS);
    assert.equal(socket.sent.length, 4);
  });

  it('sends no message without outcomes beside those that show the same', async () => {
    const orders = 20;
    for (let order = 0; order < orders; order += 1) {
      await sendOrder();
      mock.timers.tick(OUTCOME_DELAY_MS);
      mock.timers.tick(RELAY_HEARTBEAT_MS / 2);
    }
    assert.equal(socket.sent.flat().length, orders);
    assert.equal(socket.sent.length, orders, 'messages without outcomes');
    mock.timers.tick(RELAY_HEARTBEAT_MS);
    assert.deepEqual(socket.sent.at(-1), []);
  });
});
