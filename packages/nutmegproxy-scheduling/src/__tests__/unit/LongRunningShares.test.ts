/** Long-running jobs that ask for more than there is rise by their shares at work, under each owner. */

import type {JobProgress, StepShape} from '@nutmegproxy/jobs';

import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {at, SampleFleet, shape} from './Samples.ts';

describe('Long-running jobs that ask for more than the room', () => {
  /** Tasks of one core that start below the limit on ten minions. */
  const LIMIT = 34;

  // Guards against narrow jobs that start whole and keep the room while wide ones never start.
  it('rise together by their shares at work when they arrive together', () => {
    const sample = new SampleFleet(10);
    const jobs = [2, 4, 6, 8, 12, 24].map((count) =>
      sample.addJob('proofs', [shape({count, longRunning: true})]),
    );
    assert.equal(sample.plan(0).length, LIMIT);
    const shares = jobs.map(({liveRuns, request}) => {
      const count = request.steps[0]?.count ?? 1;
      return {last: (liveRuns.size - 0.5) / count, next: (liveRuns.size + 0.5) / count};
    });
    // No task would have been of more use to another job, counted at its middle.
    const latest = Math.max(...shares.map(({last}) => last));
    const earliest = Math.min(...shares.map(({next}) => next));
    assert.ok(latest <= earliest, `last tasks at ${latest}, next ones at ${earliest}`);
  });

  it('leave what ebbs to a wide one that arrives when the room is full', () => {
    const sample = new SampleFleet(10);
    const narrow = Array.from({length: 17}, () =>
      sample.addJob('proofs', [shape({count: 3, longRunning: true})]),
    );
    assert.equal(sample.plan(0).length, LIMIT);
    const wide = sample.addJob('proofs', [shape({count: 12, longRunning: true})], 1);
    assert.deepEqual(sample.plan(1), []);
    const [ended] = narrow;
    assert.ok(ended);
    const ebbed = ended.liveRuns.size;
    sample.finishRuns(ended, at(2));
    sample.fleet.jobs.delete(ended.id);
    assert.deepEqual(
      sample.plan(2).map(({task}) => task.job),
      Array.from({length: ebbed}, () => wide.id),
    );
  });

  it('hold what ebbs for one with the smallest share whose tasks are larger than that', () => {
    const sample = new SampleFleet(10);
    const narrow = Array.from({length: 40}, () =>
      sample.addJob('proofs', [shape({count: 1, longRunning: true})]),
    );
    assert.equal(sample.plan(0).length, LIMIT);
    const resources = {cpuMilli: 2_000, gpus: 0, memoryMb: 100};
    const large = sample.addJob('proofs', [shape({count: 2, longRunning: true, resources})], -1);
    for (const [index, job] of narrow.slice(0, 2).entries()) {
      sample.finishRuns(job, at(index + 1));
      sample.fleet.jobs.delete(job.id);
      const started = sample.plan(index + 1).map(({task}) => task.job);
      assert.deepEqual(started, index === 0 ? [] : [large.id]);
    }
  });

  it('do not hold what ebbs for one that fits on no minion', () => {
    const sample = new SampleFleet(10);
    const [ended, ...others] = Array.from({length: 40}, () =>
      sample.addJob('proofs', [shape({count: 1, longRunning: true})]),
    );
    assert.equal(sample.plan(0).length, LIMIT);
    const resources = {cpuMilli: 2_000, gpus: 0, memoryMb: 100};
    const unfit = shape({count: 2, longRunning: true, requiredLabel: 'none', resources});
    sample.addJob('proofs', [unfit], -1);
    assert.ok(ended);
    sample.finishRuns(ended, at(1));
    assert.equal(sample.plan(1).length, 1);
    assert.equal(others.filter(({hasLiveRuns}) => hasLiveRuns).length, LIMIT);
  });
});

describe('Long-running jobs after a takeover', () => {
  const WIDE = shape({count: 12, longRunning: true});
  const NARROW = shape({count: 4, longRunning: true});

  /** Lets an owner read a job of which a former one has started the first tasks. */
  function readJob(sample: SampleFleet, step: StepShape, started: number, dueMs = 0): JobState {
    const {request, revision} = sample.addJob('proofs', [step], dueMs);
    const begun = Array.from({length: started}, (_, index) => index);
    const steps = {'0.0': {begun, checkpoints: {}, done: [], failures: {}}};
    const progress: JobProgress = {queue: request.queue, status: 'running', steps};
    const job = new JobState(request, revision, progress);
    sample.fleet.jobs.set(job.id, job);
    return job;
  }

  /** Lists the first runs of a job on the fleet's minions, as these report them. */
  function listRuns(sample: SampleFleet, job: JobState, runs: number): void {
    const [step] = job.occurrence(0) ?? [];
    assert.ok(step);
    const minions = [...sample.fleet.minions.values()];
    for (let index = 0; index < runs; index += 1) {
      const minion = minions[index % minions.length];
      assert.ok(minion);
      sample.fleet.startRun(step, index, minion, at(0));
    }
  }

  // Guards against a new owner that gives room to jobs whose runs it does not know yet.
  it('count runs that are not listed yet as at work', () => {
    const sample = new SampleFleet(1);
    const wide = readJob(sample, WIDE, 9);
    const narrow = readJob(sample, NARROW, 1);
    sample.fleet.recoveryRevision = Infinity;
    for (const job of [wide, narrow]) {
      const [step] = job.occurrence(0) ?? [];
      assert.ok(step);
      step.recoveredTasks.add(step.shape.count - 1);
      listRuns(sample, job, 1);
    }
    assert.deepEqual(
      sample.plan(1).map(({task}) => task.job),
      [narrow.id],
    );
  });

  for (const order of ['the order of arrival', 'the opposite order']) {
    it(`rise in the same order when they are read in ${order}`, () => {
      const sample = new SampleFleet(1);
      const dueMs = order === 'the opposite order' ? [2, 1, 0] : [0, 1, 2];
      const jobs = dueMs.map((due) => readJob(sample, WIDE, 0, due));
      const started = sample.plan(3).map(({task}) => task.job);
      const byArrival = jobs.toSorted((a, b) => a.dueAt(0) - b.dueAt(0)).map(({id}) => id);
      assert.deepEqual(started, byArrival);
    });
  }
});
