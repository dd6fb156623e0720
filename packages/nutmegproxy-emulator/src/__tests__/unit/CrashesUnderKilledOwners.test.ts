import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {CrashHarness, LASTING} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep} from './TakeoverHarness.ts';

/** Time in milliseconds from the first start under an owner to its kill: it has made no silent record by then. */
const KILLED_AFTER_MS = 60;
/** Time in milliseconds for which a minion is down. */
const DOWN_MS = 2_000;
const KILLED_OWNERS = 3;
/** A task that has crashed this many minions starts fewer than `MAX_LATER_STARTS` times within `WATCHED_MS`. */
const CRASHED_MINIONS = 3;
const MAX_LATER_STARTS = 3;
const WATCHED_MS = 10_000;
/** Time in milliseconds in which a harmless lasting task runs again. */
const IDLE_BOUND_MS = 9_000;

describe('Owners that are killed right after the first starts of tasks', () => {
  let harness: CrashHarness;

  beforeEach(() => {
    harness = new CrashHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  for (const count of [1, 2]) {
    it(`hold tasks that crash their minions although none of them has found one silent (${count})`, async () => {
      harness.addMinions(12);
      const deadly = Array.from({length: count}, (_, each) =>
        createStoredJob(each + 1, [createStepShape()]),
      );
      for (const job of deadly) {
        harness.behaviours.set(job.id, {crashDownMs: DOWN_MS, durationMs: 10, outcome: 'done'});
        await submitJob(harness.store, job);
      }
      for (let owner = 1; owner <= KILLED_OWNERS; owner += 1) {
        const kill = await harness.start(`vm-${owner}`);
        await waitFor('the tasks start', () =>
          deadly.every((job) => harness.listRuns(job).length >= owner),
        );
        await sleep(KILLED_AFTER_MS);
        await kill();
      }
      for (const job of deadly) {
        assert.equal(harness.listRuns(job).length, CRASHED_MINIONS);
      }
      await harness.start('vm-last');
      await sleep(WATCHED_MS);
      const later = deadly.map((job) => harness.listRuns(job).length - CRASHED_MINIONS);
      assert.ok(
        Math.max(...later) < MAX_LATER_STARTS,
        `${later.join(', ')} starts after ${CRASHED_MINIONS} crashes each`,
      );
    });
  }

  for (const count of [1, 4]) {
    it(`do not hold harmless tasks on minions that restart at each takeover (${count})`, async () => {
      harness.addMinions(8);
      const jobs = Array.from({length: count}, (_, each) =>
        createStoredJob(each + 1, [createStepShape({longRunning: true})]),
      );
      for (const job of jobs) {
        harness.behaviours.set(job.id, LASTING);
        await submitJob(harness.store, job);
      }
      const isRunning = (): boolean =>
        jobs.every(({id}) =>
          [...harness.fleet.minions.values()].some(({liveTasks}) =>
            liveTasks.some((task) => task.startsWith(id)),
          ),
        );
      for (let owner = 1; owner <= KILLED_OWNERS; owner += 1) {
        const kill = await harness.start(`vm-${owner}`);
        await waitFor('the tasks run', isRunning, IDLE_BOUND_MS);
        await sleep(KILLED_AFTER_MS);
        await kill();
        for (const minion of harness.fleet.minions.values()) {
          if (minion.liveTasks.length > 0) {
            minion.crash(DOWN_MS, SYSTEM_CLOCK.monotonic());
          }
        }
      }
      await harness.start('vm-last');
      await waitFor('the tasks run', isRunning, IDLE_BOUND_MS);
      assert.equal(harness.countEvents(SCHEDULING_EVENTS.TASK_RESTRAINED), 0);
      assert.equal(harness.countGuiltyVerdicts(), 0);
    });
  }
});
