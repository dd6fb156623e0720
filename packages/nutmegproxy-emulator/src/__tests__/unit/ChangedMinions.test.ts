/** Minions that differ from what the owner was told last. */

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in real milliseconds in which the owner acts on what has happened. */
const REACTION_MS = 1_000;

describe('A minion that changes its kind in a restart under its id', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  // Guards against starts by the labels of the former incarnation.
  it('gets no task that requires its former kind, before and after its entry is known', async () => {
    const minion = harness.addMinion('m1');
    minion.description = {...minion.description, labels: ['fast', 'r1']};
    await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 2);
    harness.fleet.delayWatches();
    minion.description = {...minion.description, labels: ['slow', 'r1']};
    minion.restart(2, harness.clock.monotonic());
    harness.fleet.add(minion);
    const {answeredPolls} = minion;
    await waitFor('it has reported again', () => minion.answeredPolls > answeredPolls + 2);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({requiredLabel: 'fast'})]));
    await submitJob(harness.store, createStoredJob(2, [createStepShape()]));
    await waitFor('the other task runs', () => minion.records.length > 0);
    await sleep(REACTION_MS);
    harness.fleet.resumeWatches();
    await sleep(REACTION_MS);
    assert.equal(minion.records.length, 1);
  });

  it('is used although the entry of another writer told of a later start once', async () => {
    const minion = harness.addMinion('m1', 2);
    const {description} = minion;
    await harness.start('vm-1');
    await waitFor('the minion has reported', () => minion.answeredPolls > 2);
    minion.description = {...description, bornAt: 9};
    harness.fleet.add(minion);
    minion.description = description;
    harness.fleet.add(minion);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({requiredLabel: 'a'})]));
    await waitFor('the task runs', () => minion.records.length > 0);
  });
});
