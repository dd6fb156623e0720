import type {OrderAnswer, OrderFailure, PollOrder, StartOrder} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {Result} from 'neverthrow';

import {PROGRESS_PREFIX, STATE_PREFIX} from '@nutmegproxy/jobs';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {StartedOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {createFailingStore, waitForRoster} from './StoreSamples.ts';
import {runForever, sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
/** Longest lease in milliseconds that a minion accepts; it shortens a longer one. */
const MAX_ACCEPTED_LEASE_MS = 10_000;

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

/** Checks that exactly one run is live on these minions. */
function assertRunsOnce(...minions: readonly EmulatedMinion[]): void {
  const live = minions.flatMap(({liveTasks}) => liveTasks);
  assert.equal(live.length, 1, `live runs: ${live.join(' ')}`);
}

describe('Minions that a new owner can not reach', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  function addRestartingMinion(): RestartingMinion {
    harness.clock.advance(500_000);
    const minion = new RestartingMinion(createMinionDescription('m1'), runForever);
    harness.fleet.add(minion);
    return minion;
  }

  /** Starts a task on a new incarnation of the minion of which its owner does not know. */
  async function startOnUnseenIncarnation(
    minion: RestartingMinion,
    onRestart: () => void = () => undefined,
  ): Promise<StartedOwner> {
    const first = await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    // The start reaches the new incarnation; the poll in flight has not returned.
    harness.fleet.maxPollWaitMs = 10_000;
    await sleep(100);
    minion.restartAt(harness.clock.monotonic(), 2);
    onRestart();
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await sleep(50);
    return first;
  }

  /** Stops the owner as planned; the next one can't reach the minion. */
  async function stopAndLose(first: StartedOwner, minion: EmulatedMinion): Promise<void> {
    await harness.stopAsPlanned(first);
    harness.fleet.maxPollWaitMs = 10;
    harness.fleet.faults(minion.description.id).isUnreachable = true;
  }

  it('does not start a task again while it runs on a restarted minion whose lease a call for its former incarnation extended', async () => {
    const minion = addRestartingMinion();
    const {ownership} = await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    minion.restartAt(harness.clock.monotonic(), 2);
    const {answeredPolls} = minion;
    await waitFor('the restart is known', () => minion.answeredPolls > answeredPolls + 3);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    harness.fleet.faults(minion.description.id).isUnreachable = true;
    const other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(500);
    // In small steps, as another owner's clock would go.
    await harness.passTime(ownership, 9_500, 500);
    await sleep(600);
    minion.advanceTo(harness.clock.monotonic());
    assertRunsOnce(minion, other);
  });

  it('does not start a task again while it runs on a minion that restarted just before the ownership ended', async () => {
    const minion = addRestartingMinion();
    const first = await startOnUnseenIncarnation(minion);
    harness.fleet.add(minion);
    await sleep(50);
    await stopAndLose(first, minion);
    const other = harness.addMinion('m2');
    await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    // No time passes, so that the lease of the first run has not expired.
    await sleep(1_500);
    assertRunsOnce(minion, other);
  });

  it('does not start a task again on the lease in an account that was computed for a former incarnation', async () => {
    const minion = addRestartingMinion();
    const first = await startOnUnseenIncarnation(minion);
    // The first owner ends before it learns of the restart.
    await stopAndLose(first, minion);
    harness.fleet.add(minion);
    const other = harness.addMinion('m2');
    const {ownership} = await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(800);
    await harness.passTime(ownership, 9_500, 500);
    await sleep(600);
    minion.advanceTo(harness.clock.monotonic());
    assertRunsOnce(minion, other);
  });

  it('does not take a run in an account for lost at a restart that its start may have reached', async () => {
    const minion = addRestartingMinion();
    const before = minion.description;
    let after = before;
    const first = await startOnUnseenIncarnation(minion, () => {
      after = minion.description;
      // The directory does not contain the new incarnation yet.
      minion.description = before;
    });
    await stopAndLose(first, minion);
    const other = harness.addMinion('m2');
    await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    // The minion missed calls and counts as running what the account names.
    await sleep(1_500);
    assert.equal(other.liveTasks.length, 0);
    minion.description = after;
    harness.fleet.add(minion);
    // No time passes, so that the lease of the first run has not expired.
    await sleep(1_000);
    assertRunsOnce(minion, other);
  });

  it('does not wait for ever for the result of a run in an account of a listed minion that is not reached', async () => {
    const minion = harness.addMinion('m1');
    const first = await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
    await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    await harness.stopAsPlanned(first);
    harness.fleet.faults(minion.description.id).isUnreachable = true;
    const other = harness.addMinion('m2');
    const {ownership} = await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(800);
    await harness.passTime(ownership, 60_000, 1_000);
    await waitFor('the task runs', () => other.liveTasks.length === 1, 1_000);
  });

  it('starts no task that runs when the jobs are read only at the second attempt', async () => {
    const first = harness.addMinion('m1');
    const {kill} = await harness.startKillable('vm-1');
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => first.liveTasks.length === 1);
    await kill();
    const other = harness.addMinion('m2');
    let failures = 0;
    const view = createFailingStore(harness.store, (args) => {
      const fails = failures < 1 && JSON.stringify(args).includes(PROGRESS_PREFIX);
      failures += fails ? 1 : 0;
      return fails;
    });
    await harness.start('vm-2', view);
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(1_500);
    assert.equal(failures, 1);
    const runs = [...first.records, ...other.records];
    assert.deepEqual(
      runs.map(({number, outcome}) => [number, outcome]),
      [[1, undefined]],
    );
  });

  it('does not wait for ever for a minion that rejects all calls', async () => {
    const rejecting = harness.addMinion('m1');
    const first = await harness.start('vm-1');
    await waitFor('the minion has reported', () => rejecting.answeredPolls > 0);
    await harness.stopAsPlanned(first);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    harness.fleet.faults(rejecting.description.id).rejection = {
      clockMs: harness.clock.monotonic(),
      kind: 'unhealthy',
      message: 'status 503',
    };
    const other = harness.addMinion('m2');
    const {ownership} = await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await harness.passTime(ownership, 60_000, 1_000, 50);
    assert.equal(other.liveTasks.length, 1);
  });

  describe('when owners are killed', () => {
    it('does not start a task again that an earlier version started on a minion whose draining record it kept', async () => {
      const first = harness.addMinion('m1');
      const {kill} = await harness.startKillable('vm-1');
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => first.liveTasks.length === 1);
      await kill();
      // An earlier version writes the entries that it read unchanged, with fields that it doesn't know: a
      // minion that drained and started again under its id keeps its record while it gets runs.
      const key = `${STATE_PREFIX}roster`;
      const stored =
        (await getKey(harness.store, key)).unwrapOr(undefined)?.value.toString() ?? '[]';
      const entries = (JSON.parse(stored) as object[]).map((entry) => ({
        ...entry,
        draining: {runs: [], term: -1},
      }));
      await put(harness.store, key, Buffer.from(JSON.stringify(entries)));
      harness.fleet.faults(first.description.id).isUnreachable = true;
      const other = harness.addMinion('m2');
      await harness.start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      // No time passes, so that the lease of the first run has not expired.
      await sleep(1_500);
      assertRunsOnce(first, other);
    });

    it('does not wait for a minion that no owner ever reached and that left long before', async () => {
      const other = harness.addMinion('m2');
      harness.fleet.faults(createMinionDescription('m1').id).isUnreachable = true;
      const {kill, started} = await harness.startKillable('vm-1');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      const unreached = harness.addMinion('m1');
      await waitForRoster(harness.store, (roster) => roster.includes('"m1"'));
      harness.fleet.remove(unreached.description.id);
      await harness.passTime(started.ownership, 60_000, 1_000);
      await sleep(500);
      await kill();
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await harness.start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not wait again for an unreachable minion whose lease had expired for the owner before', async () => {
      const unreachable = harness.addMinion('m1');
      const other = harness.addMinion('m2');
      const first = await harness.startKillable('vm-1');
      await waitFor('both have reported', () =>
        [unreachable, other].every(({answeredPolls}) => answeredPolls > 0),
      );
      harness.fleet.faults(unreachable.description.id).isUnreachable = true;
      await first.kill();
      const second = await harness.startKillable('vm-2');
      await sleep(500);
      await harness.passTime(second.started.ownership, 30_000, 1_000);
      await sleep(500);
      await second.kill();
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await harness.start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not wait for ever for a minion that restarts before its first report and is not reached', async () => {
      const restarting = harness.addMinion('m1');
      const other = harness.addMinion('m2');
      const first = await harness.startKillable('vm-1');
      await waitFor('both have reported', () =>
        [restarting, other].every(({answeredPolls}) => answeredPolls > 0),
      );
      harness.fleet.faults(restarting.description.id).isUnreachable = true;
      await first.kill();
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const {ownership} = await harness.start('vm-2');
      await sleep(300);
      restarting.restart(2, harness.clock.monotonic());
      harness.fleet.add(restarting);
      await harness.passTime(ownership, 60_000, 1_000);
      await waitFor('the task runs', () => other.liveTasks.length === 1, 1_000);
    });
  });
});
