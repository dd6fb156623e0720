import type {Clock, WallTime} from '@nutmegproxy/core';
import type {EventKind, TaskId} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionOrders, MinionTarget, OwnershipToken, StartOrder} from '@nutmegproxy/owner';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket} from 'ws';

import type {RelayCandidate} from '../../RelayRoutes.ts';

import {RelayedMinionOrders} from '../../RelayedMinionOrders.ts';
import {RELAY_EVENTS} from '../../RelayEvents.ts';
import {encodeBatch} from '../../RelayMessages.ts';
import {RelayServer} from '../../RelayServer.ts';
import {createCandidate, createTarget} from './RelaySamples.ts';

const HOST = '127.0.0.1';
const TOKEN = 7 as OwnershipToken;
const LISTING = {
  bornAt: 1,
  clockMs: 500,
  ended: [],
  mayOmitResults: true,
  running: [
    {
      checkpoint: undefined,
      number: 3 as RunNumber,
      percent: 40,
      reading: 1_000,
      task: {index: 2, job: 'a'.repeat(16) as never, occurrence: 0, step: 1},
    },
  ],
};

/** Minions that note who sent which start, and hold up starts while `blocked` is set. */
class RecordedMinions {
  blocked: Promise<void> | undefined;
  readonly starts: string[] = [];

  orders(sender: string): MinionOrders {
    const answer = okAsync({clockMs: 100});
    return {
      disconnect: () => undefined,
      pace: () => answer,
      poll: () => okAsync(LISTING),
      start: (target: MinionTarget) => {
        this.starts.push(`${target.id} by ${sender}`);
        return new ResultAsync((this.blocked ?? Promise.resolve()).then(() => answer));
      },
      stop: () => errAsync({clockMs: 90, kind: 'fenced', message: 'status 409 fence'}),
    };
  }
}

function createClock(aheadMs: () => number): Clock {
  return {
    monotonic: () => SYSTEM_CLOCK.monotonic(),
    wall: () => (SYSTEM_CLOCK.wall() + aheadMs()) as WallTime,
  };
}

function createStart(): StartOrder {
  return {
    checkpoint: undefined,
    number: 1 as RunNumber,
    payload: 'payload',
    task: 'task' as TaskId,
    ticket: undefined,
    token: TOKEN,
    untilMs: 1_000,
  };
}

async function waitFor(what: string, isMet: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 500; attempt += 1) {
    if (isMet()) {
      return;
    }
    await sleep(10);
  }
  assert.fail(`not met: ${what}`);
}

describe('RelayedMinionOrders', () => {
  let candidates: RelayCandidate[];
  let events: EventKind[];
  let minions: RecordedMinions;
  let orders: RelayedMinionOrders;
  /** Time in milliseconds by which the owner's wall clock is ahead. */
  let ownerAheadMs: number;
  const relays: RelayServer[] = [];
  /** Time in milliseconds by which the relays' wall clock is ahead. */
  let relayAheadMs: number;

  async function startRelay(name: string): Promise<RelayServer> {
    const clock = createClock(() => relayAheadMs);
    const relay = new RelayServer({
      clock,
      events: {record: (kind) => events.push(kind)},
      host: HOST,
      orders: minions.orders(name),
      port: 0,
    });
    const started = await relay.start();
    assert.ok(started.isOk());
    relays.push(relay);
    candidates.push(createCandidate(name, {relayAddress: `${HOST}:${relay.port}`}));
    return relay;
  }

  /** Sends orders until a relay carries them out. */
  async function waitForRelay(name: string): Promise<void> {
    while (!minions.starts.includes(`probe by ${name}`)) {
      await orders.start(createTarget('probe'), createStart());
      await sleep(10);
    }
    minions.starts.length = 0;
  }

  beforeEach(() => {
    candidates = [];
    events = [];
    minions = new RecordedMinions();
    ownerAheadMs = 0;
    relayAheadMs = 0;
    orders = new RelayedMinionOrders({
      candidates: () => candidates,
      clock: createClock(() => ownerAheadMs),
      direct: minions.orders('owner'),
      events: {record: (kind) => events.push(kind)},
      ownCores: 0,
    });
  });

  afterEach(() => {
    orders.disconnect(createTarget('probe'));
    for (const relay of relays.splice(0)) {
      relay.close();
    }
  });

  it('sends orders itself while it has no relay', async () => {
    const answer = await orders.start(createTarget('m1'), createStart());
    assert.ok(answer.isOk());
    assert.deepEqual(minions.starts, ['m1 by owner']);
  });

  it('sends its first orders by relays that it has prepared for', async () => {
    await startRelay('vm-1');
    await orders.prepare([createTarget('m1'), createTarget('m2')]);
    await orders.start(createTarget('m1'), createStart());
    await orders.start(createTarget('m2'), createStart());
    assert.deepEqual(minions.starts, ['m1 by vm-1', 'm2 by vm-1']);
    orders.disconnect(createTarget('m1'));
    orders.disconnect(createTarget('m2'));
  });

  it('does not wait for a relay that does not respond', async () => {
    candidates.push(createCandidate('vm-1', {relayAddress: `${HOST}:1`}));
    await orders.prepare([createTarget('m1')]);
    await orders.start(createTarget('m1'), createStart());
    assert.deepEqual(minions.starts, ['m1 by owner']);
    orders.disconnect(createTarget('m1'));
  });

  describe('with a relay', () => {
    let relay: RelayServer;

    beforeEach(async () => {
      relay = await startRelay('vm-1');
      await waitForRelay('vm-1');
    });

    it('gets what minions respond', async () => {
      const target = createTarget('probe');
      const listing = await orders.poll(target, {
        ackedThrough: 0,
        token: TOKEN,
        untilMs: undefined,
        waitMs: 0,
      });
      assert.deepEqual(listing._unsafeUnwrap(), LISTING);
      const {number, task} = createStart();
      const stopped = await orders.stop(target, {number, task, token: TOKEN});
      const {clockMs, kind, message} = stopped._unsafeUnwrapErr();
      assert.deepEqual([clockMs, kind], [90, 'fenced']);
      assert.match(message, /relayed by vm-1/);
    });

    it('sends an order again itself when the relay ends before its outcome', async () => {
      let release = (): void => undefined;
      minions.blocked = new Promise((resolve) => {
        release = resolve;
      });
      const answer = orders.start(createTarget('probe'), createStart());
      await waitFor('the relay sends the start', () => minions.starts.length === 1);
      relay.close();
      await waitFor('the owner sends the start', () => minions.starts.length === 2);
      release();
      assert.ok((await answer).isOk());
      assert.deepEqual(minions.starts, ['probe by vm-1', 'probe by owner']);
    });

    it('does not send an order again after this process was suspended', async () => {
      minions.blocked = new Promise(() => undefined);
      const answer = orders.start(createTarget('probe'), createStart());
      await waitFor('the relay sends the start', () => minions.starts.length === 1);
      ownerAheadMs = 5_000;
      relay.close();
      assert.equal((await answer)._unsafeUnwrapErr().kind, 'unanswered');
      assert.deepEqual(minions.starts, ['probe by vm-1']);
    });

    it('does not send an order again once the owner uses no minion any more', async () => {
      minions.blocked = new Promise(() => undefined);
      const answer = orders.start(createTarget('probe'), createStart());
      await waitFor('the relay sends the start', () => minions.starts.length === 1);
      orders.disconnect(createTarget('probe'));
      assert.equal((await answer)._unsafeUnwrapErr().kind, 'unanswered');
      assert.deepEqual(minions.starts, ['probe by vm-1']);
    });

    it('drops orders that were held up on their way, and the owner sends them itself', async () => {
      relayAheadMs = 2_000;
      const answer = await orders.start(createTarget('probe'), createStart());
      assert.ok(answer.isOk());
      assert.deepEqual(minions.starts, ['probe by owner']);
      assert.ok(events.includes(RELAY_EVENTS.BATCH_LATE));
    });

    it('closes a link on which a message is malformed, and serves others', async () => {
      for (const bytes of [
        Buffer.from([0xc1]),
        encodeBatch({orders: [{}] as never, sentAt: 1}, 'inline'),
      ]) {
        const socket = new WebSocket(`ws://${HOST}:${relay.port}`);
        await new Promise((resolve) => socket.once('open', resolve));
        const closed = new Promise((resolve) => socket.once('close', resolve));
        socket.send(bytes);
        await closed;
      }
      await orders.start(createTarget('probe'), createStart());
      assert.deepEqual(minions.starts, ['probe by vm-1']);
    });
  });
});
