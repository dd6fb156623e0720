import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {CrashHarness, MAX_STARTS} from './CrashHarness.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {waitForRoster} from './StoreSamples.ts';

/** Time in milliseconds for which a minion is down: longer than its owner needs to find it silent. */
const DOWN_MS = 1_200;

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
    const isGivenUp = (): boolean => harness.countEvents(SCHEDULING_EVENTS.TASK_GIVEN_UP) > 0;
    for (let owner = 1; owner <= MAX_STARTS + 1 && !isGivenUp(); owner += 1) {
      const starts = harness.listRuns(deadly).length;
      const kill = await harness.start(`vm-${owner}`);
      await waitFor(
        'the task starts or is given up',
        () => isGivenUp() || harness.listRuns(deadly).length > starts,
      );
      if (!isGivenUp()) {
        await waitForRoster(harness.store, (roster) => roster.includes('"suspects"'));
        await kill();
      }
    }
    assert.ok(harness.countStarts(deadly) <= MAX_STARTS);
    assert.ok(isGivenUp());
  });

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
