import {STATE_PREFIX} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {HoldingStore} from './StoreSamples.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {createHoldingStore, ROSTER_KEY} from './StoreSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

const RECOVERY_KEY = `${STATE_PREFIX}recovery`;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;

describe('While minions join faster than the store responds', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  async function addMinion(name: string): Promise<EmulatedMinion> {
    const minion = harness.addMinion(name);
    await waitFor(`${name} has reported`, () => minion.answeredPolls > 0);
    return minion;
  }

  /** Submits a job with two lasting tasks that need a minion each. */
  async function submitTwoTasks(): Promise<void> {
    const step = createStepShape({count: 2, longRunning: true, maxPerMinion: 1});
    await submitJob(harness.store, createStoredJob(1, [step]));
  }

  /** Lets the first write go, and waits until the second one is held back. */
  async function waitForSecondWrite(held: HoldingStore): Promise<void> {
    assert.equal(held.count(), 1);
    held.release();
    await waitFor('the second write is held back', () => held.count() === 2, REACTION_MS);
  }

  for (const key of [ROSTER_KEY, RECOVERY_KEY]) {
    it(`each gets work once it is stored in ${key} itself`, async () => {
      const held = createHoldingStore(harness.store, key);
      const first = harness.addMinion('m1');
      await harness.start('vm-1', held.view);
      await submitTwoTasks();
      await waitFor('m1 has reported', () => first.answeredPolls > 0);
      await waitFor('its write is held back', () => held.count() === 1);
      const second = await addMinion('m2');
      assert.equal(first.liveTasks.length + second.liveTasks.length, 0);
      await waitForSecondWrite(held);
      await waitFor('a task runs', () => first.liveTasks.length === 1, REACTION_MS);
      assert.equal(second.liveTasks.length, 0);
      held.releaseAll();
      await waitFor('the other task runs', () => second.liveTasks.length === 1, REACTION_MS);
    });
  }

  it('one that responds again gets work once the removal of its record is stored', async () => {
    const silent = harness.addMinion('m1');
    const owner = await harness.startKillable('vm-1');
    await waitFor('the minion has reported', () => silent.answeredPolls > 0);
    await harness.cutOff(silent);
    await owner.kill();
    const held = createHoldingStore(harness.store, ROSTER_KEY);
    await harness.start('vm-2', held.view);
    await submitTwoTasks();
    harness.fleet.faults(silent.description.id).isUnreachable = false;
    await waitFor('its write is held back', () => held.count() === 1);
    const other = await addMinion('m2');
    assert.equal(silent.liveTasks.length + other.liveTasks.length, 0);
    await waitForSecondWrite(held);
    await waitFor('a task runs', () => silent.liveTasks.length === 1, REACTION_MS);
    assert.equal(other.liveTasks.length, 0);
    held.releaseAll();
    await waitFor('the other task runs', () => other.liveTasks.length === 1, REACTION_MS);
  });
});
