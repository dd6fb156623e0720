import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {StartedOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds for which the directory's changes are late; a draining minion serves for less. */
const DELAY_MS = 3_000;
const STEP_MS = 250;
/** Time in real milliseconds in which an owner starts a task that it can place. */
const REACTION_MS = 500;

describe('A directory whose changes arrive late', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;
  let started: StartedOwner;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
    started = await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 3);
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Lets the minion report that it drains, which its owner learns only when the watches resume. */
  function drainUnseen(): void {
    harness.fleet.delayWatches();
    minion.description = {...minion.description, isDraining: true};
    harness.fleet.add(minion);
  }

  async function submitTask(): Promise<void> {
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
  }

  it('lets no task start on a minion that may have been draining for seconds', async () => {
    drainUnseen();
    await harness.passTime(started.ownership, DELAY_MS, STEP_MS);
    await submitTask();
    await sleep(REACTION_MS);
    assert.deepEqual(minion.liveTasks, []);
    const other = harness.addMinion('m2');
    harness.fleet.resumeWatches();
    await waitFor('the task runs on the other minion', () => other.liveTasks.length === 1);
    assert.deepEqual(minion.liveTasks, []);
  });

  it('lets no task start when only its watch fails while the store responds to other calls', async () => {
    drainUnseen();
    harness.fleet.areWatchesFailing = true;
    await harness.passTime(started.ownership, DELAY_MS, STEP_MS);
    await submitTask();
    await sleep(REACTION_MS);
    assert.deepEqual(minion.liveTasks, []);
  });

  it('lets tasks start while the store is down, since no minion can report that it drains', async () => {
    harness.fleet.delayWatches();
    harness.fleet.areWatchesFailing = true;
    harness.clock.advance(DELAY_MS);
    await submitTask();
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
  });

  it('lets tasks start when it is late by less than the time for which a draining minion serves', async () => {
    harness.fleet.delayWatches();
    await harness.passTime(started.ownership, 1_000, STEP_MS);
    await submitTask();
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
  });
});
