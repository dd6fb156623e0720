import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedMachineList} from '../../EmulatedMachineList.ts';
import {CrashHarness, LASTING, MAX_STARTS} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRoster} from './StoreSamples.ts';

/** Time in milliseconds for which a minion is down: longer than its owner needs to find it silent. */
const DOWN_MS = 1_200;
/** The same, longer than the next owner needs to find its machine without a minion. */
const LONG_DOWN_MS = 3_000;

describe('A minion that is down when its owner is killed', () => {
  let harness: CrashHarness;

  beforeEach(() => {
    harness = new CrashHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  it('counts against the task that had just started on it, with several owners in turn', async () => {
    harness.addMinions(4);
    const deadly = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(deadly.id, {crashDownMs: DOWN_MS, durationMs: 10, outcome: 'done'});
    await submitJob(harness.store, deadly);
    const isRestrained = (): boolean => harness.countEvents(SCHEDULING_EVENTS.TASK_RESTRAINED) > 0;
    for (let owner = 1; owner <= MAX_STARTS + 1 && !isRestrained(); owner += 1) {
      const starts = harness.listRuns(deadly).length;
      const kill = await harness.start(`vm-${owner}`);
      await waitFor(
        'the task starts or is restrained',
        () => isRestrained() || harness.listRuns(deadly).length > starts,
      );
      if (!isRestrained()) {
        await waitForRoster(harness.store, (roster) => roster.includes('"suspects"'));
        await kill();
      }
    }
    assert.ok(harness.countStarts(deadly) <= MAX_STARTS);
    assert.ok(isRestrained());
  });

  for (const list of ['no list of machines', 'a list of machines']) {
    it(`counts against a task on trial before that starts again, with ${list}`, async () => {
      if (list === 'a list of machines') {
        harness.fleet.machineList = new EmulatedMachineList(SYSTEM_CLOCK, harness.fleet.minions);
      }
      const minions = harness.addMinions(4);
      const deadly = createStoredJob(1, [createStepShape()]);
      harness.behaviours.set(deadly.id, LASTING);
      await submitJob(harness.store, deadly);
      const kill = await harness.start('vm-1');
      await waitFor('the task runs', () => harness.listRuns(deadly).length === 1);
      const first = minions.find(({liveTasks}) => liveTasks.length > 0);
      first?.crash(0, SYSTEM_CLOCK.monotonic());
      await waitFor('the trial has begun', () => harness.listRuns(deadly).length === 2);
      assert.equal(harness.countEvents(SCHEDULING_EVENTS.TRIAL_STARTED), 1);
      await kill();
      const trialMinion = minions.find(({liveTasks}) => liveTasks.length > 0);
      assert.ok(trialMinion);
      trialMinion.crash(LONG_DOWN_MS, SYSTEM_CLOCK.monotonic());
      assert.equal(harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION), 1);
      await harness.start('vm-2');
      const countCrashes = (): number => harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION);
      await waitFor(
        'the crash counts or the task starts again',
        () => countCrashes() === 2 || harness.listRuns(deadly).length > 2,
      );
      assert.equal(countCrashes(), 2);
    });
  }

  it('counts against no task when it was only out of reach', async () => {
    const minions = harness.addMinions(2);
    const good = createStoredJob(1, [createStepShape()]);
    harness.behaviours.set(good.id, {durationMs: 1_500, outcome: 'done'});
    await submitJob(harness.store, good);
    const kill = await harness.start('vm-1');
    await waitFor('the task runs', () => harness.listRuns(good).length === 1);
    const minion = minions.find(({liveTasks}) => liveTasks.length > 0);
    assert.ok(minion);
    const faults = harness.fleet.faults(minion.description.id);
    faults.isUnreachable = true;
    await waitForRoster(harness.store, (roster) => roster.includes('"suspects"'));
    await kill();
    await harness.start('vm-2');
    faults.isUnreachable = false;
    await harness.waitForStatus(good, 'completed');
    assert.equal(harness.listRuns(good).length, 1);
    assert.equal(harness.countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION), 0);
  });
});
