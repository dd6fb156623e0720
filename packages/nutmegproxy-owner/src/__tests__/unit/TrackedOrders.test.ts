import type {DataCentreId, MinionId, TaskId} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionListing} from '@nutmegproxy/scheduling';

import {brand, ManualClock} from '@nutmegproxy/core';
import {err, ok, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  OwnershipToken,
} from '../../MinionOrders.ts';

import {TrackedOrders} from '../../TrackedOrders.ts';

const TOKEN = 7 as OwnershipToken;
const POLL = {ackedThrough: 0, token: TOKEN, untilMs: undefined, waitMs: 2_000};
const RUN = {
  number: 1 as RunNumber,
  task: brand<TaskId>('6deb3b9f03f4e253.0.0.0'),
  token: TOKEN,
};
const LISTING: MinionListing = {
  bornAt: 1,
  clockMs: 0,
  ended: [],
  mayOmitResults: false,
  running: [],
};

function target(id: string): MinionTarget {
  return {address: `${id}:1`, dataCentre: brand<DataCentreId>('dc'), id: brand<MinionId>(id)};
}

describe('TrackedOrders', () => {
  let answers: (() => void)[];
  let clock: ManualClock;
  let orders: TrackedOrders;

  /** Returns a call that settles once the test says so. */
  function hold<Answer>(answer: Answer): ResultAsync<Answer, OrderFailure> {
    return new ResultAsync(
      new Promise((resolve) => {
        answers.push(() => {
          resolve(ok(answer));
        });
      }),
    );
  }

  beforeEach(() => {
    answers = [];
    clock = new ManualClock();
    const failed: OrderFailure = {clockMs: undefined, kind: 'unanswered', message: 'no response'};
    const answer: OrderAnswer = {clockMs: 0};
    const direct: MinionOrders = {
      disconnect: () => undefined,
      pace: () => hold(answer),
      poll: () => hold(LISTING),
      start: () => hold(answer),
      stop: () => new ResultAsync(Promise.resolve(err(failed))),
    };
    orders = new TrackedOrders(direct, clock);
  });

  it('describes no call while none is open', () => {
    assert.deepEqual(orders.describe(clock.monotonic()), {
      call: undefined,
      callMinion: undefined,
      callMs: undefined,
      openCalls: 0,
    });
  });

  it('names the call that has been due the longest; a poll is due once its wait is over', () => {
    void orders.poll(target('m1'), POLL);
    clock.advance(100);
    void orders.pace(target('m2'), {...RUN, share: 50});
    clock.advance(250);
    assert.deepEqual(orders.describe(clock.monotonic()), {
      call: 'pace',
      callMinion: 'm2',
      callMs: 250,
      openCalls: 2,
    });
  });

  it('gives no negative time for a poll that may still wait', () => {
    void orders.poll(target('m1'), POLL);
    assert.equal(orders.describe(clock.monotonic()).callMs, 0);
  });

  it('passes responses and failures on, and forgets their calls', async () => {
    const polled = orders.poll(target('m1'), POLL);
    for (const answer of answers) {
      answer();
    }
    assert.equal((await polled)._unsafeUnwrap(), LISTING);
    assert.equal((await orders.stop(target('m1'), RUN))._unsafeUnwrapErr().kind, 'unanswered');
    assert.equal(orders.describe(clock.monotonic()).openCalls, 0);
  });

  it('forgets a call that ends with an unexpected error, which its caller receives', async () => {
    const broken = new Error('broken');
    const direct = {
      start: () => ResultAsync.fromSafePromise(Promise.reject(broken)),
    } as Partial<MinionOrders> as MinionOrders;
    orders = new TrackedOrders(direct, clock);
    const order = {...RUN, checkpoint: undefined, payload: '', ticket: undefined, untilMs: 0};
    await assert.rejects(async () => await orders.start(target('m1'), order), broken);
    assert.equal(orders.describe(clock.monotonic()).openCalls, 0);
  });
});
