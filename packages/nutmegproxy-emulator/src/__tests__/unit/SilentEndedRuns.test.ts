/** Cases of EndedRuns in which the owner knows that a run is over before the lease of its silent minion has expired. */

import {brand} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS, RESTART_DEADLINE_MS} from './LastingTaskScenario.ts';
import {isWriteOf} from './StoreSamples.ts';
import {type KillableOwner, PLATFORMS, sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

for (const {hasList, name} of PLATFORMS) {
  describe(`A lasting task of a silent minion whose run its owner knew to be over, ${name}`, () => {
    let areJobsStored: boolean;
    let harness: TakeoverHarness;
    let minion: EmulatedMinion;
    let owner: KillableOwner;

    beforeEach(async () => {
      harness = new TakeoverHarness();
      if (hasList) {
        harness.addMachineList();
      }
      areJobsStored = true;
      minion = harness.addMinion('m1');
      owner = await harness.startKillable(
        'vm-1',
        (args) => !areJobsStored && isWriteOf('/progress', args),
      );
      await harness.runLastingTask(minion);
    });

    afterEach(async () => {
      await harness.close();
    });

    /** Kills the owner; room for the task joins, and the next owner lets it run in time. */
    async function takeOver(): Promise<void> {
      const [record] = minion.records;
      assert.ok(record?.endedAtMs !== undefined, 'the run is over');
      await owner.kill(OWNERSHIP_TTL_MS);
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      const remainingMs = record.endedAtMs + RESTART_DEADLINE_MS - harness.clock.monotonic();
      await harness.passTime(ownership, remainingMs, STEP_MS, STEP_PAUSE_MS);
      await waitFor(
        'the task runs again',
        () => other.liveTasks.includes(record.task),
        REACTION_MS,
      );
    }

    it('runs again in time when its minion had restarted by its entry', async () => {
      minion.restart(2, harness.clock.monotonic());
      await harness.cutOff(minion);
      await harness.passTime(owner.started.ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      harness.fleet.add(minion);
      await waitFor('the restart is seen', () =>
        harness.events.includes(OWNER_EVENTS.MINION_RESTARTED),
      );
      await sleep(SETTLED_MS);
      await takeOver();
    });

    for (const isSilent of [true, false]) {
      const before = isSilent ? 'it had fallen silent' : 'it had not';
      it(`runs again in time when another minion had taken the address before the kill, and ${before}`, async () => {
        if (isSilent) {
          await harness.cutOff(minion);
        }
        const faults = harness.fleet.faults(minion.description.id);
        faults.rejection = {clockMs: undefined, kind: 'other-life', message: 'another minion'};
        faults.isUnreachable = false;
        minion.restart(2, harness.clock.monotonic());
        await waitFor('its end is seen', () => harness.events.includes(SCHEDULING_EVENTS.RUN_LOST));
        await sleep(SETTLED_MS);
        faults.isUnreachable = true;
        await takeOver();
      });
    }

    it('runs again in time when the end was listed and progress of other jobs was not stored', async () => {
      areJobsStored = false;
      await submitJob(harness.store, createStoredJob(2, [createStepShape()]));
      await waitFor('the other task runs', () => minion.liveTasks.length === 2);
      const [record] = minion.records;
      assert.ok(record);
      const {capacity} = minion.description;
      minion.description = {...minion.description, capacity: {...capacity, cpuMilli: 1_000}};
      harness.fleet.add(minion);
      const {token} = owner.started.ownership;
      const {number, task} = record;
      minion.stop({number, task: brand(task), token}, harness.clock.monotonic());
      const {answeredPolls} = minion;
      await waitFor('the end is listed', () => minion.answeredPolls > answeredPolls + 1);
      await harness.passTime(owner.started.ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      await harness.cutOff(minion);
      areJobsStored = true;
      await sleep(SETTLED_MS);
      await takeOver();
    });
  });
}
