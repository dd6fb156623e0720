import type {Checkpoint} from '@nutmegproxy/jobs';

import {formatJobKey} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {waitForRecord} from './StoreSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

const CHECKPOINT = 'half' as Checkpoint;
const JOB = createStoredJob(1, [createStepShape({checkpoints: true})]);
const TASK_MS = 100;
/** Polls in which a result is listed, stored and acknowledged. */
const POLLS = 4;

describe('A task that has been stopped at a checkpoint', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  // Guards against a result that is acknowledged, and so dropped, before its checkpoint is stored.
  it('resumes from it under the next owner, although its minion has dropped the result', async () => {
    const minion = new EmulatedMinion(createMinionDescription('m1'), () => ({
      checkpoint: CHECKPOINT,
      durationMs: TASK_MS,
      outcome: 'stopped',
    }));
    harness.fleet.add(minion);
    const first = await harness.startKillable('vm-1');
    await submitJob(harness.store, JOB);
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    // Otherwise the write that the start causes would store the checkpoint as well.
    await waitForRecord(harness.store, formatJobKey(JOB.id, 'progress'), (text) =>
      text.includes('"running"'),
    );
    // It gets no work, so that no later run tells the next owner of the checkpoint.
    minion.description = {...minion.description, isDraining: true};
    harness.fleet.add(minion);
    harness.clock.advance(TASK_MS);
    first.started.ownership.confirm(harness.clock.monotonic(), harness.clock.wall());
    const {answeredPolls} = minion;
    await waitFor('its end is known', () => minion.answeredPolls >= answeredPolls + POLLS);
    await first.kill();
    const other = harness.addMinion('m2');
    await harness.start('vm-2');
    await waitFor('the task runs again', () => other.liveTasks.length === 1);
    assert.equal(minion.records.length, 1);
    assert.deepEqual(
      other.records.map(({checkpoint}) => checkpoint),
      [CHECKPOINT],
    );
  });
});
