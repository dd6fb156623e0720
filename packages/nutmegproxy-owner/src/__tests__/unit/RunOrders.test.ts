import type {EventFields, EventKind, Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS, SYSTEM_CLOCK, WorkQueue} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {MinionOrders, OrderFailure} from '../../MinionOrders.ts';
import type {SessionContext} from '../../SessionContext.ts';

import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {OwnerLoad} from '../../OwnerLoad.ts';
import {RunOrders} from '../../RunOrders.ts';
import {StartLimiter} from '../../StartLimiter.ts';
import {acquireOwnership, createMinion, createStep} from './OwnerSamples.ts';

const UNANSWERED: OrderFailure = {
  clockMs: undefined,
  kind: 'unanswered',
  message: 'deadline exceeded',
};

const TICKETLESS: OrderFailure = {clockMs: 1, kind: 'no-ticket', message: 'ticket'};

describe('RunOrders', () => {
  let events: {readonly fields: EventFields; readonly kind: EventKind}[];
  let failure: OrderFailure | undefined;
  let fleet: Fleet;
  let isActing: boolean;
  let isDirectoryOutdated: boolean;
  let limiter: StartLimiter;
  let minion: MinionState;
  let orders: RunOrders;
  let run: Run;
  let sent: string[];
  let store: MemoryStore;
  let turnLimitMs: number;

  /** Changes the minion's processors as its entry does; it has 16 cores at first. */
  function resize(cpuMilli: number): void {
    const {description} = minion;
    minion.description = {...description, capacity: {...description.capacity, cpuMilli}};
  }

  beforeEach(async () => {
    events = [];
    failure = undefined;
    isActing = true;
    isDirectoryOutdated = false;
    sent = [];
    turnLimitMs = Infinity;
    store = new MemoryStore();
    fleet = new Fleet(SILENT_EVENTS);
    limiter = new StartLimiter();
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
    run = fleet.startRun(createStep(1), 0, minion, 0 as Instant);
    const answer = {clockMs: 1};
    const minionOrders: Partial<MinionOrders> = {
      start: (_target, {task}) => {
        sent.push(task);
        return failure === undefined ? okAsync(answer) : errAsync(failure);
      },
      stop: (_target, {task}) => {
        sent.push(task);
        return okAsync(answer);
      },
    };
    const context: Partial<SessionContext> = {
      clock: SYSTEM_CLOCK,
      events: {
        record: (kind, fields) => {
          events.push({fields, kind});
        },
      },
      findTicket: () => undefined,
      fleet,
      isDirectoryOutdated: () => isDirectoryOutdated,
      load: new OwnerLoad(),
      onChange: () => undefined,
      onTicketRejected: () => undefined,
      orders: minionOrders as MinionOrders,
      ownership: await acquireOwnership(store),
      startLimiter: limiter,
      work: new WorkQueue({
        clock: SYSTEM_CLOCK,
        get maxTurnMs() {
          return turnLimitMs;
        },
      }),
    };
    orders = new RunOrders(context as SessionContext, minion, {
      grantLease: () => 1_000,
      handleFailure: () => undefined,
      isActing: () => isActing,
    });
    for (let index = 0; index < limiter.limit; index += 1) {
      await limiter.enter();
    }
  });

  afterEach(async () => {
    await store.close();
  });

  describe('a start that waits for others', () => {
    it('is sent when one of them has ended', async () => {
      const started = orders.start(run);
      assert.deepEqual(sent, []);
      limiter.leave(1, 0);
      await started;
      assert.equal(sent.length, 1);
      assert.equal(run.phase, 'running');
    });

    it('is not sent when its run was given up meanwhile, since the task may run elsewhere', async () => {
      const started = orders.start(run);
      fleet.recordLostRun(run, 'lease expired');
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
    });

    it('is not sent when its run was stopped meanwhile', async () => {
      const started = orders.start(run);
      fleet.stopRun(run, 'cancelled');
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
    });

    it('is not sent when its minion drains meanwhile, and its task waits again', async () => {
      const started = orders.start(run);
      minion.description = {...minion.description, isDraining: true};
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
      assert.equal(run.step.waiting.size, 1);
    });

    it('is not sent when its minion may be draining unseen meanwhile, and its task waits again', async () => {
      const started = orders.start(run);
      isDirectoryOutdated = true;
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
      assert.equal(run.step.waiting.size, 1);
    });

    it('is not measured when it is not sent, since that says nothing about the duration of calls', async () => {
      const before = limiter.limit;
      const started: Promise<void>[] = [];
      for (let index = 0; index < 100; index += 1) {
        const lost = fleet.startRun(createStep(index + 2), 0, minion, 0 as Instant);
        started.push(orders.start(lost));
        fleet.recordLostRun(lost, 'lease expired');
      }
      // A call of this duration does not change the limit.
      limiter.leave(200, 0);
      await Promise.all(started);
      assert.deepEqual(sent, []);
      assert.equal(limiter.limit, before);
    });

    it('does not wait for deferrable ones that were decided on before, when callers wait for it', async () => {
      const waiting = [2, 3, 4, 5, 6].map((job) =>
        orders.start(fleet.startRun(createStep(job), 0, minion, 0 as Instant)),
      );
      const urgent = fleet.startRun(createStep(7, {longRunning: true}), 0, minion, 0 as Instant);
      const started = orders.start(urgent);
      limiter.leave(200, 0);
      await started;
      assert.deepEqual(sent.slice(0, 1), ['0000000000000007.0.0.0']);
      await Promise.all(waiting);
    });

    it('lets the next one be sent also when it is not sent itself', async () => {
      const started = orders.start(run);
      const next = limiter.enter();
      fleet.recordLostRun(run, 'lease expired');
      limiter.leave(1, 0);
      await Promise.all([started, next]);
    });
  });

  describe('a stop that waits for other work', () => {
    it('is not sent when the ownership ends meanwhile, since the next owner may keep the run', async () => {
      turnLimitMs = 0;
      const {minion: id, number, task} = run;
      const stopped = orders.stop({minion: id, number, reason: 'unknown', task});
      isActing = false;
      turnLimitMs = Infinity;
      await stopped;
      assert.deepEqual(sent, []);
    });
  });

  describe('a start that its minion never receives', () => {
    /** Sends the start until the attempts are used up, as after each listing. */
    async function sendStarts(rounds: number): Promise<void> {
      failure = UNANSWERED;
      limiter.leave(1, 0);
      // The pauses between the attempts do not keep the process alive.
      const alive = setInterval(() => undefined, 1_000);
      for (let round = 0; round < rounds; round += 1) {
        await orders.start(run);
      }
      clearInterval(alive);
    }

    it('is stopped after eight attempts, and its task avoids the minion, so that it does not wait for ever', async () => {
      await sendStarts(2);
      orders.resume();
      assert.equal(sent.length, 8);
      assert.equal(run.phase, 'stopping');
      assert.deepEqual(
        fleet.pendingStops.map(({number, reason}) => ({number, reason})),
        [{number: run.number, reason: 'unknown'}],
      );
      assert.ok(run.step.isAvoided(0, minion.id, SYSTEM_CLOCK.monotonic()));
    });

    it('is sent again after the first attempts, as the minion may just have been silent', async () => {
      await sendStarts(1);
      failure = undefined;
      orders.resume();
      await new Promise((resolve) => setImmediate(resolve));
      assert.equal(sent.length, 5);
      assert.equal(run.phase, 'running');
    });
  });

  describe('a start to a minion that shrinks meanwhile', () => {
    it('is not sent when its minion would be over its capacity, and its task waits again', async () => {
      const started = orders.start(run);
      resize(999);
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
      assert.equal(run.step.waiting.size, 1);
      assert.equal(minion.runs.size, 0);
      assert.deepEqual(
        events.map(({fields: {minion: id, reason, task}, kind}) => ({id, kind, reason, task})),
        [
          {
            id: 'm1',
            kind: OWNER_EVENTS.START_GIVEN_UP,
            reason: 'over-capacity',
            task: '0000000000000001.0.0.0',
          },
        ],
      );
    });

    it('is sent if it still fits; only as many as are too many are given up', async () => {
      const more = [2, 3, 4].map((job) => fleet.startRun(createStep(job), 0, minion, 0 as Instant));
      const started = [run, ...more].map((each) => orders.start(each));
      resize(2_000);
      limiter.leave(200, 0);
      await Promise.all(started);
      assert.equal(sent.length, 2);
      assert.equal(minion.reserved.cpuMilli, 2_000);
    });

    // Guards against a hundred starts a second, each rejected at once.
    it('is not repeated at once when it is rejected for want of a ticket that nothing is asked for', async () => {
      failure = TICKETLESS;
      limiter.leave(1, 0);
      await orders.start(run);
      assert.equal(sent.length, 1);
      assert.ok(run.step.isAvoided(0, minion.id, SYSTEM_CLOCK.monotonic()));
    });

    it('is not sent while what is being stopped there leaves no room', async () => {
      const stopping = fleet.startRun(createStep(2), 0, minion, 0 as Instant);
      fleet.stopRun(stopping, 'cancelled');
      const started = orders.start(run);
      resize(1_500);
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
    });

    it('is stopped when its response was lost, since it may be carried out late', async () => {
      failure = UNANSWERED;
      limiter.leave(1, 0);
      const started = orders.start(run);
      await new Promise((resolve) => setImmediate(resolve));
      resize(999);
      // The pause before the start is sent again does not keep the process alive.
      const alive = setInterval(() => undefined, 1_000);
      await started;
      clearInterval(alive);
      assert.equal(sent.length, 1);
      assert.equal(run.phase, 'stopping');
      assert.deepEqual(
        fleet.pendingStops.map(({number, reason}) => ({number, reason})),
        [{number: run.number, reason: 'over-capacity'}],
      );
      assert.equal(minion.reserved.cpuMilli, 1_000);
    });

    it('takes its gang along, whose other members would wait for it in vain', async () => {
      const step = createStep(2, {count: 2, gang: true});
      const [first, second] = [0, 1].map((index) =>
        fleet.startRun(step, index, minion, 0 as Instant, run.number),
      );
      assert.ok(first && second);
      fleet.recordLostRun(run, 'lease expired');
      limiter.leave(1, 0);
      await orders.start(first);
      await limiter.enter();
      const started = orders.start(second);
      resize(1_999);
      limiter.leave(1, 0);
      await started;
      assert.equal(sent.length, 1);
      assert.equal(first.phase, 'stopping');
      assert.ok(!minion.runs.has(second));
    });
  });
});
