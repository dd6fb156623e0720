import type {
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  PollOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';
import type {Result, ResultAsync} from 'neverthrow';

import {ManualClock} from '@nutmegproxy/core';
import {PROGRESS_PREFIX, STATE_PREFIX} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import {errAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {createFailingStore, waitForRoster} from './StoreSamples.ts';

/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const LEASE_RENEWAL_MS = 400;
/** Longest lease in milliseconds that a minion accepts; it shortens a longer one. */
const MAX_ACCEPTED_LEASE_MS = 10_000;

const LASTING = (): {durationMs: number; outcome: 'done'} => ({
  durationMs: Infinity,
  outcome: 'done',
});

/** A minion whose clock starts anew with each incarnation, and that shortens leases. */
class RestartingMinion extends EmulatedMinion {
  #startedAt = 0;

  advanceTo(nowMs: number): void {
    this.advance(nowMs - this.#startedAt);
  }

  override poll(order: PollOrder, nowMs: number): Result<MinionListing, OrderFailure> {
    const now = nowMs - this.#startedAt;
    const {untilMs} = order;
    return super.poll({...order, untilMs: untilMs && limitLease(untilMs, now)}, now);
  }

  override start(order: StartOrder, nowMs: number): Result<OrderAnswer, OrderFailure> {
    const now = nowMs - this.#startedAt;
    return super.start({...order, untilMs: limitLease(order.untilMs, now)}, now);
  }

  restartAt(nowMs: number, bornAt: number): void {
    this.restart(bornAt, nowMs - this.#startedAt);
    this.#startedAt = nowMs;
  }
}

function limitLease(untilMs: number, now: number): number {
  return Math.min(untilMs, now + MAX_ACCEPTED_LEASE_MS);
}

/** Rejects all polls of one minion with a response that contains its clock. */
class RejectingFleet extends EmulatedFleet implements MinionOrders {
  rejected: string | undefined;
  readonly #manualClock: ManualClock;

  constructor(clock: ManualClock) {
    super(clock);
    this.#manualClock = clock;
  }

  override poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure> {
    return target.id === this.rejected
      ? errAsync({
          clockMs: this.#manualClock.monotonic(),
          kind: 'unhealthy',
          message: 'status 503',
        } as const)
      : super.poll(target, order);
  }
}

describe('Minions that a new owner can not reach', () => {
  let clock: ManualClock;
  let fleet: RejectingFleet;
  const stops: (() => void)[] = [];
  let store: MemoryStore;

  function addMinion(name: string): EmulatedMinion {
    const minion = new EmulatedMinion(createMinionDescription(name), LASTING);
    fleet.add(minion);
    return minion;
  }

  async function start(
    vm: string,
    ownerStore: PlatformStore = store,
  ): ReturnType<typeof startOwner> {
    const started = await startOwner(clock, ownerStore, fleet, vm);
    const renewal = setInterval(() => {
      void store.keepLeaseAlive(started.ownership.lease);
    }, LEASE_RENEWAL_MS);
    stops.push(() => {
      clearInterval(renewal);
      started.owner.stop('end of test');
    });
    return started;
  }

  /** Starts an owner; the returned function kills it: it stores nothing any more. */
  async function startKillable(
    vm: string,
  ): Promise<{kill: () => Promise<void>; started: Awaited<ReturnType<typeof start>>}> {
    let isIsolated = false;
    const view = createFailingStore(store, () => isIsolated);
    const started = await start(vm, view);
    const kill = async (): Promise<void> => {
      isIsolated = true;
      started.owner.stop('killed');
      await store.revokeLease(started.ownership.lease);
    };
    return {kill, started};
  }

  beforeEach(() => {
    clock = new ManualClock(Date.now());
    fleet = new RejectingFleet(clock);
    store = new MemoryStore();
  });

  afterEach(async () => {
    for (const stop of stops.splice(0)) {
      stop();
    }
    await store.close();
  });

  it('does not start a task again while it runs on a restarted minion whose lease a call for its former incarnation extended', async () => {
    clock.advance(500_000);
    const minion = new RestartingMinion(createMinionDescription('m1'), LASTING);
    fleet.add(minion);
    const {ownership} = await start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    minion.restartAt(clock.monotonic(), 2);
    const {answeredPolls} = minion;
    await waitFor('the restart is known', () => minion.answeredPolls > answeredPolls + 3);
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    fleet.faults(minion.description.id).isUnreachable = true;
    const other = addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await new Promise((resolve) => setTimeout(resolve, 500));
    // In small steps, as another owner's clock would go.
    for (let elapsed = 0; elapsed < 9_500; elapsed += 500) {
      clock.advance(500);
      ownership.confirm(clock.monotonic(), clock.wall());
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await new Promise((resolve) => setTimeout(resolve, 600));
    minion.advanceTo(clock.monotonic());
    const live = [...minion.liveTasks, ...other.liveTasks];
    assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
  });

  it('does not start a task again while it runs on a minion that restarted just before the ownership ended', async () => {
    clock.advance(500_000);
    const minion = new RestartingMinion(createMinionDescription('m1'), LASTING);
    fleet.add(minion);
    const first = await start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    // The start reaches the new incarnation; the poll in flight has not returned.
    fleet.maxPollWaitMs = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 100));
    minion.restartAt(clock.monotonic(), 2);
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 50));
    fleet.add(minion);
    await new Promise((resolve) => setTimeout(resolve, 50));
    first.owner.stop('planned stop');
    await first.election.resign(first.ownership, 'planned stop');
    fleet.maxPollWaitMs = 10;
    fleet.faults(minion.description.id).isUnreachable = true;
    const other = addMinion('m2');
    await start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    // No time passes, so that the lease of the first run has not expired.
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const live = [...minion.liveTasks, ...other.liveTasks];
    assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
  });

  it('does not start a task again on the lease in an account that was computed for a former incarnation', async () => {
    clock.advance(500_000);
    const minion = new RestartingMinion(createMinionDescription('m1'), LASTING);
    fleet.add(minion);
    const first = await start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    // The start reaches the new incarnation; the poll in flight has not returned.
    fleet.maxPollWaitMs = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 100));
    minion.restartAt(clock.monotonic(), 2);
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 50));
    // The first owner ends before it learns of the restart.
    first.owner.stop('planned stop');
    await first.election.resign(first.ownership, 'planned stop');
    fleet.maxPollWaitMs = 10;
    fleet.faults(minion.description.id).isUnreachable = true;
    fleet.add(minion);
    const other = addMinion('m2');
    const {ownership} = await start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await new Promise((resolve) => setTimeout(resolve, 800));
    for (let elapsed = 0; elapsed < 9_500; elapsed += 500) {
      clock.advance(500);
      ownership.confirm(clock.monotonic(), clock.wall());
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await new Promise((resolve) => setTimeout(resolve, 600));
    minion.advanceTo(clock.monotonic());
    const live = [...minion.liveTasks, ...other.liveTasks];
    assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
  });

  it('does not take a run in an account for lost at a restart that its start may have reached', async () => {
    clock.advance(500_000);
    const minion = new RestartingMinion(createMinionDescription('m1'), LASTING);
    fleet.add(minion);
    const first = await start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    // The start reaches the new incarnation; the poll in flight has not returned.
    fleet.maxPollWaitMs = 10_000;
    await new Promise((resolve) => setTimeout(resolve, 100));
    const before = minion.description;
    minion.restartAt(clock.monotonic(), 2);
    const after = minion.description;
    // The directory does not contain the new incarnation yet.
    Object.defineProperty(minion, 'description', {value: before, writable: true});
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await new Promise((resolve) => setTimeout(resolve, 50));
    first.owner.stop('planned stop');
    await first.election.resign(first.ownership, 'planned stop');
    fleet.maxPollWaitMs = 10;
    fleet.faults(minion.description.id).isUnreachable = true;
    const other = addMinion('m2');
    await start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    // The minion missed calls and counts as running what the account names.
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    assert.equal(other.liveTasks.length, 0);
    Object.defineProperty(minion, 'description', {value: {...after, bornAt: 2}, writable: true});
    fleet.add(minion);
    // No time passes, so that the lease of the first run has not expired.
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const live = [...minion.liveTasks, ...other.liveTasks];
    assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
  });

  it('does not wait for ever for the result of a run in an account of a listed minion that is not reached', async () => {
    const minion = addMinion('m1');
    const first = await start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    await submitJob(store, createStoredJob(1, [createStepShape()]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    first.owner.stop('planned stop');
    await first.election.resign(first.ownership, 'planned stop');
    fleet.faults(minion.description.id).isUnreachable = true;
    const other = addMinion('m2');
    const {ownership} = await start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await new Promise((resolve) => setTimeout(resolve, 800));
    for (let elapsed = 0; elapsed < 60_000; elapsed += 1_000) {
      clock.advance(1_000);
      ownership.confirm(clock.monotonic(), clock.wall());
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await waitFor('the task runs', () => other.liveTasks.length === 1, 1_000);
  });

  it('starts no task that runs when the jobs are read only at the second attempt', async () => {
    const first = addMinion('m1');
    const {kill} = await startKillable('vm-1');
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => first.liveTasks.length === 1);
    await kill();
    const other = addMinion('m2');
    let failures = 0;
    const view = createFailingStore(store, (args) => {
      const fails = failures < 1 && JSON.stringify(args).includes(PROGRESS_PREFIX);
      failures += fails ? 1 : 0;
      return fails;
    });
    await start('vm-2', view);
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    assert.equal(failures, 1);
    const runs = [...first.records, ...other.records];
    assert.deepEqual(
      runs.map(({number, outcome}) => [number, outcome]),
      [[1, undefined]],
    );
  });

  it('does not wait for ever for a minion that rejects all calls', async () => {
    const rejecting = addMinion('m1');
    const first = await start('vm-1');
    await waitFor('the minion has reported', () => rejecting.answeredPolls > 0);
    first.owner.stop('planned stop');
    await first.election.resign(first.ownership, 'planned stop');
    await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
    fleet.rejected = 'm1';
    const other = addMinion('m2');
    const {ownership} = await start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    for (let elapsed = 0; elapsed < 60_000; elapsed += 1_000) {
      clock.advance(1_000);
      ownership.confirm(clock.monotonic(), clock.wall());
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    assert.equal(other.liveTasks.length, 1);
  });

  describe('when owners are killed', () => {
    it('does not start a task again that an earlier version started on a minion whose draining record it kept', async () => {
      const first = addMinion('m1');
      const {kill} = await startKillable('vm-1');
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => first.liveTasks.length === 1);
      await kill();
      // An earlier version writes the entries that it read unchanged, with fields that it doesn't know: a
      // minion that drained and started again under its id keeps its record while it gets runs.
      const key = `${STATE_PREFIX}roster`;
      const stored = (await getKey(store, key)).unwrapOr(undefined)?.value.toString() ?? '[]';
      const entries = (JSON.parse(stored) as object[]).map((entry) => ({
        ...entry,
        draining: {runs: [], term: -1},
      }));
      await put(store, key, Buffer.from(JSON.stringify(entries)));
      fleet.faults(first.description.id).isUnreachable = true;
      const other = addMinion('m2');
      await start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      // No time passes, so that the lease of the first run has not expired.
      await new Promise((resolve) => setTimeout(resolve, 1_500));
      const live = [...first.liveTasks, ...other.liveTasks];
      assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
    });
    it('does not wait for a minion that no owner ever reached and that left long before', async () => {
      const other = addMinion('m2');
      fleet.faults(createMinionDescription('m1').id).isUnreachable = true;
      const {kill, started} = await startKillable('vm-1');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      const unreached = addMinion('m1');
      await waitForRoster(store, (roster) => roster.includes('"m1"'));
      fleet.remove(unreached.description.id);
      for (let elapsed = 0; elapsed < 60_000; elapsed += 1_000) {
        clock.advance(1_000);
        started.ownership.confirm(clock.monotonic(), clock.wall());
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      await new Promise((resolve) => setTimeout(resolve, 500));
      await kill();
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not wait again for an unreachable minion whose lease had expired for the owner before', async () => {
      const unreachable = addMinion('m1');
      const other = addMinion('m2');
      const first = await startKillable('vm-1');
      await waitFor('both have reported', () =>
        [unreachable, other].every(({answeredPolls}) => answeredPolls > 0),
      );
      fleet.faults(unreachable.description.id).isUnreachable = true;
      await first.kill();
      const second = await startKillable('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 500));
      for (let elapsed = 0; elapsed < 30_000; elapsed += 1_000) {
        clock.advance(1_000);
        second.started.ownership.confirm(clock.monotonic(), clock.wall());
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      await new Promise((resolve) => setTimeout(resolve, 500));
      await second.kill();
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not wait for ever for a minion that restarts before its first report and is not reached', async () => {
      const restarting = addMinion('m1');
      const other = addMinion('m2');
      const first = await startKillable('vm-1');
      await waitFor('both have reported', () =>
        [restarting, other].every(({answeredPolls}) => answeredPolls > 0),
      );
      fleet.faults(restarting.description.id).isUnreachable = true;
      await first.kill();
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const {ownership} = await start('vm-2');
      await new Promise((resolve) => setTimeout(resolve, 300));
      restarting.restart(2, clock.monotonic());
      fleet.add(restarting);
      for (let elapsed = 0; elapsed < 60_000; elapsed += 1_000) {
        clock.advance(1_000);
        ownership.confirm(clock.monotonic(), clock.wall());
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      await waitFor('the task runs', () => other.liveTasks.length === 1, 1_000);
    });
  });
});
