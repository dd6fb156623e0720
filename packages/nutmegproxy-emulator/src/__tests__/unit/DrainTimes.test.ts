import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {StartedOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {RESTART_DEADLINE_MS} from './LastingTaskScenario.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
const STEP_MS = 250;
const STEP_PAUSE_MS = 50;
const LEAVES_IN_MS = 8_000;
/** Time in milliseconds that a takeover takes by itself, after a planned stop. */
const TAKEOVER_MS = 2_200;

describe('A minion that drains', () => {
  let draining: EmulatedMinion;
  let harness: TakeoverHarness;
  let owner: StartedOwner;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    draining = harness.addMinion('m1');
    owner = await harness.start('vm-1');
  });

  afterEach(async () => {
    await harness.close();
  });

  /** Writes the minion's entry with the time that is left. */
  function reportLeaving(leavesInMs: number): void {
    draining.description = {...draining.description, isDraining: true, leavesInMs};
    harness.fleet.add(draining);
  }

  async function runTask(): Promise<void> {
    await submitJob(harness.store, createStoredJob(1, [createStepShape()]));
    await waitFor('the task runs', () => draining.liveTasks.length === 1);
    const {answeredPolls} = draining;
    await waitFor('the run is listed', () => draining.answeredPolls > answeredPolls + 1);
  }

  it('holds its tasks for so short a time once it has left that two more takeovers fit in', async () => {
    await runTask();
    reportLeaving(LEAVES_IN_MS);
    await harness.passTime(owner.ownership, LEAVES_IN_MS, STEP_MS, STEP_PAUSE_MS);
    await harness.stopAsPlanned(owner);
    draining.crash(Infinity, harness.clock.monotonic());
    harness.fleet.remove(draining.description.id);
    const other = harness.addMinion('m2');
    const {ownership} = await harness.start('vm-2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    const heldMs = RESTART_DEADLINE_MS - 2 * TAKEOVER_MS;
    await harness.passTime(ownership, heldMs, STEP_MS, STEP_PAUSE_MS);
    await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
  });
});
