import type {JobId} from '@nutmegproxy/core';
import type {StoredJob} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {StartedOwner} from './TakeoverHarness.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  QUEUE,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {runForever, sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a lasting task has to run again. */
const MAX_IDLE_MS = 9_000;
/** Time in milliseconds for which minions fail all that they start. */
const FAILING_MS = 6_500;
/** Time in milliseconds of that after which lasting tasks come that only the other minions keep. */
const LATER_JOB_MS = 3_000;
/** Time in milliseconds for which a minion that leaves drains. */
const DRAIN_MS = 2_000;
const STEP_MS = 100;
const PAUSE_MS = 20;
const LATER_TASKS = 6;
/** Time in real milliseconds in which an owner stores what has changed. */
const SETTLED_MS = 500;

describe('Minions that failed what they started for some seconds and are sound again', () => {
  let harness: TakeoverHarness;
  let owner: StartedOwner;
  let jobNumber = 0;
  const lastingJobs = new Set<JobId>();
  const failing = new Set<EmulatedMinion>();

  beforeEach(() => {
    harness = new TakeoverHarness();
    lastingJobs.clear();
    failing.clear();
  });

  afterEach(async () => {
    await harness.close();
  });

  function addMinions(names: readonly string[]): EmulatedMinion[] {
    return names.map((name) => {
      const minion: EmulatedMinion = new EmulatedMinion(createMinionDescription(name), ({job}) =>
        failing.has(minion)
          ? {durationMs: 50, outcome: 'failed'}
          : lastingJobs.has(job)
            ? runForever()
            : {durationMs: 50, outcome: 'done'},
      );
      harness.fleet.add(minion);
      return minion;
    });
  }

  async function submit(count: number, isLasting: boolean, maxPerMinion?: number): Promise<void> {
    jobNumber += 1;
    const step = createStepShape({count, longRunning: isLasting, maxPerMinion});
    const job: StoredJob = createStoredJob(jobNumber, [step]);
    if (isLasting) {
      lastingJobs.add(job.id);
    }
    await submitJob(harness.store, job);
  }

  function countLasting(minions: readonly EmulatedMinion[]): number {
    return minions
      .flatMap(({liveTasks}) => liveTasks)
      .filter((task) => [...lastingJobs].some((id) => task.startsWith(id))).length;
  }

  /** Lets time pass while short jobs come, until a time is over or a condition holds; returns the time. */
  async function pass(untilMs: number, isOver: () => boolean = () => false): Promise<number> {
    let elapsedMs = 0;
    while (elapsedMs < untilMs && !isOver()) {
      await submit(1, false);
      await harness.passTime(owner.ownership, STEP_MS, STEP_MS, PAUSE_MS);
      elapsedMs += STEP_MS;
    }
    return elapsedMs;
  }

  // Guards against lasting tasks that wait while minions that run another one get no trial.
  it('run the lasting tasks of minions that leave within 9 s', async () => {
    owner = await harness.start('vm-1');
    const kept = addMinions(['m0', 'm1', 'm2', 'm3']);
    await submit(kept.length, true, 1);
    await waitFor('each minion runs a lasting task', () =>
      kept.every((minion) => countLasting([minion]) === 1),
    );
    const leaving = addMinions(['m4', 'm5']);
    await waitFor('the others have reported', () =>
      leaving.every((each) => each.answeredPolls > 0),
    );
    kept.forEach((minion) => failing.add(minion));
    await pass(LATER_JOB_MS);
    await submit(LATER_TASKS, true);
    await pass(FAILING_MS - LATER_JOB_MS);
    failing.clear();
    assert.equal(countLasting(kept), kept.length);
    assert.equal(countLasting(leaving), LATER_TASKS);
    for (const minion of leaving) {
      minion.description = {...minion.description, isDraining: true};
      harness.fleet.add(minion);
    }
    const hasMoved = (): boolean => countLasting(kept) === kept.length + LATER_TASKS;
    const drainedMs = await pass(DRAIN_MS, hasMoved);
    for (const {description} of leaving) {
      harness.fleet.remove(description.id);
    }
    const idleMs = drainedMs + (await pass(2 * MAX_IDLE_MS, hasMoved));
    assert.ok(idleMs < MAX_IDLE_MS, `some task was idle for ${idleMs} ms`);
  });
});

describe('A task that has failed on the only minion with its label', () => {
  const FAILED_MS = 50;
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  for (const {count, outcome, runs} of [
    {count: 1, outcome: 'done' as const, runs: 2},
    {count: 1, outcome: 'failed' as const, runs: QUEUE.maxAttempts},
    {count: 3, outcome: 'done' as const, runs: 6},
  ]) {
    // Guards against tasks that no owner starts again, and against attempts that a takeover forgets.
    it(`starts again under the next owner (${count} tasks, then ${outcome})`, async () => {
      const fast = new EmulatedMinion(
        createMinionDescription('fast', {labels: ['fast', 'r1']}),
        (_task, number) => ({durationMs: FAILED_MS, outcome: number === 1 ? 'failed' : outcome}),
      );
      harness.fleet.add(fast);
      harness.addMinion('other');
      const first = await harness.startKillable('vm-1');
      await submitJob(
        harness.store,
        createStoredJob(1, [createStepShape({count, requiredLabel: 'fast'})]),
      );
      await waitFor('the tasks run', () => fast.records.length === count);
      harness.clock.advance(FAILED_MS);
      await sleep(SETTLED_MS);
      await first.kill();
      const {ownership} = await harness.start('vm-2');
      await harness.passTime(ownership, MAX_IDLE_MS, STEP_MS, PAUSE_MS);
      assert.equal(fast.records.length, runs);
      await harness.passTime(ownership, MAX_IDLE_MS, STEP_MS, PAUSE_MS);
      assert.equal(fast.records.length, runs);
    });
  }
});
