import type {Run} from '@nutmegproxy/jobs';

import {JobState} from '@nutmegproxy/jobs';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {planStarts} from '../../StartPlanner.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const DIGESTS = queue('digests', {priority: 2});

/** Plans a round that may make `deferrableStarts` starts of deferrable tasks. */
function plan(
  sample: SampleFleet,
  nowMs: number,
  deferrableStarts: number,
  isBacklogged = false,
): readonly Run[] {
  return planStarts(sample.fleet, {
    advice: {isPermitted: () => undefined},
    deferrableStarts,
    estimator: sample.estimator,
    isBacklogged,
    now: at(nowMs),
    sharingCosts: NO_SHARING_COSTS,
    wall: wallAt(nowMs),
  });
}

function addRecurringJob(sample: SampleFleet, intervalMs: number, firstAtMs = 0): JobState {
  const {request, revision} = sample.addJob('digests', [shape()], firstAtMs);
  const recurrence = {count: 1_000, firstAt: wallAt(firstAtMs), intervalMs};
  const job = new JobState({...request, recurrence}, revision);
  sample.fleet.jobs.set(job.id, job);
  return job;
}

function hasLiveRun(job: JobState): boolean {
  return [...job.steps()].some(({liveRuns}) => liveRuns > 0);
}

describe('A limited number of deferrable starts', () => {
  it('does not withhold a job of which nothing runs beside an older one that runs', () => {
    const sample = new SampleFleet(10, [DIGESTS]);
    sample.addJob('digests', [shape({count: 30})]);
    plan(sample, 0, 2);
    const idle = sample.addJob('digests', [shape({count: 30})], 10);
    plan(sample, 20, 2);
    assert.ok(hasLiveRun(idle));
  });

  it('does not withhold the rest of the job that has waited longest from idle jobs', () => {
    const sample = new SampleFleet(10, [DIGESTS]);
    const oldest = sample.addJob('digests', [shape({count: 30})]);
    plan(sample, 0, 2);
    for (let index = 0; index < 20; index += 1) {
      sample.addJob('digests', [shape()], 10);
    }
    const starts = plan(sample, 20, 6);
    assert.ok(starts.some(({step}) => step.job === oldest));
  });

  it('lets every job run something, whatever their tasks, once there were starts for all', () => {
    const counts = fc.array(fc.integer({max: 20, min: 1}), {maxLength: 8, minLength: 1});
    fc.assert(
      fc.property(counts, fc.integer({max: 6, min: 1}), (tasks, limit) => {
        const sample = new SampleFleet(40, [DIGESTS]);
        const jobs = tasks.map((count, index) => sample.addJob('digests', [shape({count})], index));
        for (let round = 1; round <= jobs.length; round += 1) {
          plan(sample, 10 * round, limit);
        }
        assert.deepEqual(
          jobs.filter((job) => !hasLiveRun(job)),
          [],
        );
      }),
      {seed: 70},
    );
  });

  it('is not exceeded by jobs of which nothing runs', () => {
    fc.assert(
      fc.property(fc.integer({max: 9, min: 0}), fc.integer({max: 9, min: 1}), (limit, jobs) => {
        const sample = new SampleFleet(20, [DIGESTS]);
        for (let index = 0; index < jobs; index += 1) {
          sample.addJob('digests', [shape({count: 3})], index);
        }
        assert.ok(plan(sample, 10, limit).length <= limit);
      }),
      {seed: 71},
    );
  });

  describe('that are used up', () => {
    /** Time in milliseconds after which a job of which nothing runs starts a task beyond the limit. */
    const MAX_IDLE_MS = 2_000;

    it('does not withhold a job of which nothing has run for 2 s', () => {
      const sample = new SampleFleet(10, [DIGESTS]);
      const jobs = Array.from({length: 5}, () => sample.addJob('digests', [shape({count: 30})]));
      assert.deepEqual(plan(sample, 0, 0), []);
      assert.deepEqual(plan(sample, MAX_IDLE_MS - 1, 0), []);
      const starts = plan(sample, MAX_IDLE_MS, 0);
      assert.deepEqual(new Set(starts.map(({step}) => step.job)), new Set(jobs));
      assert.equal(starts.length, jobs.length);
    });

    it('count from the end of the last task', () => {
      const sample = new SampleFleet(10, [DIGESTS]);
      const job = sample.addJob('digests', [shape({count: 30})]);
      const [run] = plan(sample, 0, 1);
      assert.ok(run);
      sample.fleet.finishRun(run, 'done', undefined, at(1_500));
      plan(sample, 1_500 + MAX_IDLE_MS - 1, 0);
      assert.ok(!hasLiveRun(job));
      plan(sample, 1_500 + MAX_IDLE_MS, 0);
      assert.ok(hasLiveRun(job));
    });

    for (const intervalMs of [0, 500, 1_500, 1_900, 2_500]) {
      it(`do not withhold a job that recurs each ${intervalMs} ms for over 2 s`, () => {
        const sample = new SampleFleet(10, [DIGESTS]);
        const job = addRecurringJob(sample, intervalMs);
        for (let nowMs = 0; nowMs <= MAX_IDLE_MS; nowMs += 100) {
          plan(sample, nowMs, 0);
        }
        assert.ok(hasLiveRun(job));
      });
    }

    it('withhold all deferrable work while too many starts wait to be sent', () => {
      const sample = new SampleFleet(10, [DIGESTS]);
      sample.addJob('digests', [shape({count: 30})]);
      plan(sample, 0, 0);
      assert.deepEqual(plan(sample, MAX_IDLE_MS, 1, true), []);
    });

    it('withhold no job that has been idle for long beside a gang that has', () => {
      const sample = new SampleFleet(10, [DIGESTS]);
      sample.addJob('digests', [shape({count: 8, gang: true})]);
      plan(sample, 0, 0);
      const others = Array.from({length: 5}, () => sample.addJob('digests', [shape()], 10));
      plan(sample, 10, 0);
      plan(sample, 10 + MAX_IDLE_MS, 0);
      assert.deepEqual(
        others.filter((job) => !hasLiveRun(job)),
        [],
      );
    });
  });

  it('goes first to the job of which nothing has run for longest', () => {
    const sample = new SampleFleet(10, [DIGESTS]);
    const older = sample.addJob('digests', [shape({count: 30})]);
    const younger = sample.addJob('digests', [shape({count: 30})], 10);
    const [run] = plan(sample, 20, 1);
    assert.equal(run?.step.job, older);
    sample.fleet.finishRun(run, 'done', undefined, at(100));
    plan(sample, 110, 1);
    assert.ok(hasLiveRun(younger));
  });

  it('goes to a recurring job before younger ones, whenever its last occurrence was due', () => {
    const sample = new SampleFleet(10, [DIGESTS]);
    const recurring = addRecurringJob(sample, 100);
    plan(sample, 0, 0);
    for (let nowMs = 100; nowMs <= 1_000; nowMs += 100) {
      sample.addJob('digests', [shape()], nowMs);
      plan(sample, nowMs, 0);
    }
    plan(sample, 1_100, 1);
    assert.ok(hasLiveRun(recurring));
  });

  it('does not look through the occurrences of a job for each of its steps', (context) => {
    const sample = new SampleFleet(1, [DIGESTS]);
    const job = addRecurringJob(sample, 0);
    plan(sample, 0, 1);
    const {mock} = context.mock.method(job, 'steps');
    plan(sample, 100, 1);
    assert.ok(mock.callCount() < 10, String(mock.callCount()));
  });
});
