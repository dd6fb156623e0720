import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
/** Time in milliseconds for which a minion drains before its owner is killed, and the step in which it passes. */
const DRAINED_FOR_MS = 2_400;
const STEP_MS = 100;
const LASTING_TASK = '0000000000000001.0.0.0';

describe('Recovery after a takeover', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  describe('a minion that leaves as the ownership ends', () => {
    it('does not delay the tasks that it can not run', async () => {
      const leaving = harness.addMinion('m1');
      const first = await harness.start('vm-1');
      await waitFor('the minion has reported', () => leaving.answeredPolls > 0);
      await harness.stopAsPlanned(first);
      harness.fleet.remove(leaving.description.id);
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const other = harness.addMinion('m2');
      await harness.start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('delays the long-running tasks that it ran for less than their deadline', async () => {
      const leaving = harness.addMinion('m1');
      const first = await harness.start('vm-1');
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => leaving.liveTasks.length === 1);
      await harness.stopAsPlanned(first);
      harness.fleet.remove(leaving.description.id);
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await waitFor('the closing record is received', () =>
        harness.events.includes(OWNER_EVENTS.CLOSING_RECORD_RECEIVED),
      );
      harness.clock.advance(RESTART_DEADLINE_MS);
      ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay tasks when the next ownership ends before its recovery is complete', async () => {
      const leaving = harness.addMinion('m1');
      const first = await harness.start('vm-1');
      await waitFor('the minion has reported', () => leaving.answeredPolls > 0);
      await harness.stopAsPlanned(first);
      harness.fleet.remove(leaving.description.id);
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      const other = harness.addMinion('m2');
      const second = await harness.start('vm-2');
      await harness.stopAsPlanned(second);
      await harness.start('vm-3');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a draining minion that leaves when its owner is killed', () => {
    let draining: EmulatedMinion;
    let first: KillableOwner;

    beforeEach(async () => {
      draining = harness.addMinion('m1');
      first = await harness.startKillable('vm-1');
      await waitFor('the minion has reported', () => draining.answeredPolls > 0);
    });

    async function drain(): Promise<void> {
      draining.description = {...draining.description, isDraining: true};
      harness.fleet.add(draining);
      await waitForRoster(harness.store, (roster) => roster.includes('"draining"'));
    }

    async function takeOver(): Promise<EmulatedMinion> {
      await first.kill();
      harness.fleet.remove(draining.description.id);
      const other = harness.addMinion('m2');
      await harness.start('vm-2');
      return other;
    }

    it('does not delay the tasks that it can not run', async () => {
      await drain();
      const job = createStoredJob(1, [createStepShape({longRunning: true})]);
      await submitJob(harness.store, job);
      const other = await takeOver();
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });

    it('does not delay an interrupted task whose end the former owner knew, beside a run that it may still have', async () => {
      await submitJob(
        harness.store,
        createStoredJob(1, [createStepShape({longRunning: true}), createStepShape()]),
      );
      await waitFor('both tasks run', () => draining.liveTasks.length === 2);
      await drain();
      await waitFor('the lasting task is stopped', () => draining.liveTasks.length === 1);
      await harness.passTime(first.started.ownership, DRAINED_FOR_MS, STEP_MS);
      const other = await takeOver();
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
      assert.deepEqual(other.liveTasks, [LASTING_TASK]);
    });

    it('delays the tasks that it may still run until its lease has expired', async () => {
      await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
      await waitFor('the task runs', () => draining.liveTasks.length === 1);
      await drain();
      const other = await takeOver();
      await submitJob(harness.store, createStoredJob(2, [createStepShape()]));
      await waitFor('the other task runs', () => other.liveTasks.length === 1, REACTION_MS);
      await sleep(500);
      assert.deepEqual(
        other.liveTasks.filter((name) => name.includes('1.0.0.0')),
        [],
      );
    });

    it('gets work again only once the record of its runs is removed', async () => {
      await drain();
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await sleep(100);
      harness.store.faults.change({down: true});
      draining.description = {...draining.description, isDraining: false};
      harness.fleet.add(draining);
      await sleep(100);
      assert.deepEqual(draining.liveTasks, []);
      harness.store.faults.change({down: false});
      await waitFor('the task runs', () => draining.liveTasks.length === 1, REACTION_MS);
      await waitForRoster(harness.store, (roster) => !roster.includes('"draining"'));
    });
  });

  describe('a minion that restarts and leaves before it reports', () => {
    it('delays the tasks that it may have for a bounded time', async () => {
      const restarting = harness.addMinion('m1');
      const {ownership} = await harness.start('vm-1');
      await waitFor('the minion has reported', () => restarting.answeredPolls > 0);
      const faults = harness.fleet.faults(restarting.description.id);
      faults.startDelayMs = 60_000;
      await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task is sent', () =>
        harness.events.includes(SCHEDULING_EVENTS.RUN_PLACED),
      );
      faults.isUnreachable = true;
      restarting.restart(2, harness.clock.monotonic());
      harness.fleet.add(restarting);
      await waitFor('the restart is seen', () =>
        harness.events.includes(OWNER_EVENTS.MINION_RESTARTED),
      );
      harness.fleet.remove(restarting.description.id);
      const other = harness.addMinion('m2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await harness.passTime(ownership, 20_000, 5_000, 0);
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a minion that rejects all calls', () => {
    it('does not delay the tasks that it can not run', async () => {
      const unhealthy = harness.addMinion('m1');
      const first = await harness.start('vm-1');
      await waitFor('the minion has reported', () => unhealthy.answeredPolls > 0);
      harness.fleet.faults(unhealthy.description.id).rejection = {
        clockMs: undefined,
        kind: 'unhealthy',
        message: 'status 503',
      };
      await harness.stopAsPlanned(first);
      await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
      const other = harness.addMinion('m2');
      await harness.start('vm-2');
      await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });
});
