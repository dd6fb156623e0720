/** Tasks of a lasting job that have not run wait for the limit of first starts under the next owner, too. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Tasks of one core each that start below the limit on two minions of four cores. */
const STARTED = 6;
const TASKS = 8;
/** Time in real milliseconds in which an owner stores what has changed. */
const STORED_MS = 500;
const OWNERSHIP_TTL_MS = 2_000;

describe('A lasting job of which some tasks wait for the limit of first starts', () => {
  let harness: TakeoverHarness;
  let minions: readonly EmulatedMinion[];

  beforeEach(() => {
    harness = new TakeoverHarness();
    minions = ['m1', 'm2'].map((name) => harness.addMinion(name));
  });

  afterEach(() => harness.close());

  function listLive(): string[] {
    return minions.flatMap(({liveTasks}) => liveTasks);
  }

  it('has the same tasks running under the next owner', async () => {
    const first = await harness.startKillable('vm-1');
    const shape = createStepShape({count: TASKS, longRunning: true});
    await submitJob(harness.store, createStoredJob(1, [shape]));
    await waitFor('tasks run', () => listLive().length === STARTED);
    await sleep(STORED_MS);
    const before = listLive().sort();
    await first.kill(OWNERSHIP_TTL_MS);
    const second = await harness.startKillable('vm-2');
    await harness.passTime(second.started.ownership, 3_000, 100);
    assert.deepEqual(listLive().sort(), before);
  });
});
