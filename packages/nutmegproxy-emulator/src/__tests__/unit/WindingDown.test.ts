import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in real milliseconds in which an owner would start a task. */
const IDLE_MS = 1_500;

describe('An owner that is about to hand the fleet over', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  it('starts nothing that crashes its minion uncounted in the takeover, but keeps what runs', async () => {
    const started = await harness.start('vm-1');
    await harness.runLastingTask(minion);
    started.owner.windDown();
    await submitJob(harness.store, createStoredJob(2, [createStepShape()]));
    await sleep(IDLE_MS);
    assert.equal(minion.liveTasks.length, 1);
    await harness.stopAsPlanned(started);
    await harness.start('vm-2');
    await waitFor('the next owner starts it', () => minion.liveTasks.length === 2);
  });
});
