import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {TaskBehaviour} from '../../EmulatedMinion.ts';

import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const FAILED_MS = 50;
/** Time in real milliseconds in which an owner stores what has changed. */
const SETTLED_MS = 500;
const STEP_MS = 250;
const PAUSE_MS = 50;
/** Time in milliseconds for which a task may wait after it is certain that it does not run. */
const MAX_WAIT_MS = 2_000;

const JOB = createStoredJob(1, [createStepShape()]);
const FAULTY_JOBS = [2, 3].map((number) => createStoredJob(number, [createStepShape()]));

/** The job's second run is done, and the others always fail. */
function chooseBehaviour(job: string, number: number): TaskBehaviour {
  const outcome = job === JOB.id && number > 1 ? 'done' : 'failed';
  return {durationMs: FAILED_MS, outcome};
}

describe('The last attempt of a task on a minion that fails other tasks after a takeover', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  it('does not wait anew once a minion that was lost with the owner runs nothing any more', async () => {
    const minion = new EmulatedMinion(createMinionDescription('m1'), ({job}, number) =>
      chooseBehaviour(job, number),
    );
    harness.fleet.add(minion);
    const first = await harness.startKillable('vm-1');
    await submitJob(harness.store, JOB);
    await waitFor('the task runs', () => minion.records.length === 1);
    const lost = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => lost.answeredPolls > 2);
    harness.clock.advance(FAILED_MS);
    await sleep(SETTLED_MS);
    harness.fleet.faults(lost.description.id).isUnreachable = true;
    await first.kill();
    const startedAt = harness.clock.monotonic();
    const {answeredPolls} = minion;
    const {ownership} = await harness.start('vm-2');
    await waitFor('the minion has reported', () => minion.answeredPolls > answeredPolls + 2);
    for (const job of FAULTY_JOBS) {
      await submitJob(harness.store, job);
    }
    await waitFor('the faulty tasks run', () => minion.records.length === 3);
    await harness.passTime(
      ownership,
      DEFAULT_LEASE_TIMES.maxFormerStartLeaseMs + MAX_WAIT_MS,
      STEP_MS,
      PAUSE_MS,
    );
    const runs = minion.records.filter(({task}) => task.startsWith(JOB.id));
    assert.deepEqual(
      runs.map(({outcome}) => outcome),
      ['failed', 'done'],
      `${harness.clock.monotonic() - startedAt} ms after the takeover`,
    );
  });
});
