import type {Checkpoint, JobState, Run} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {at, SampleFleet, shape} from './Samples.ts';

const FIRST = 'first' as Checkpoint;
const SECOND = 'second' as Checkpoint;

// Guards against work that is done again after a takeover: nobody else keeps the checkpoint of a run that
// is over.
describe('A run that is over', () => {
  let job: JobState;
  let sample: SampleFleet;

  /** Starts the only task, as if all progress before had been stored. */
  function start(ms: number): Run {
    const [run] = sample.plan(ms);
    assert.ok(run);
    sample.fleet.dirtyJobs.clear();
    return run;
  }

  beforeEach(() => {
    sample = new SampleFleet(1);
    job = sample.addJob('proofs', [shape({checkpoints: true})]);
  });

  for (const outcome of ['failed', 'lapsed', 'stopped'] as const) {
    it(`lets its checkpoint be stored when its outcome is ${outcome}`, () => {
      sample.fleet.finishRun(start(0), outcome, FIRST, at(100));
      assert.ok(sample.fleet.dirtyJobs.has(job));
    });
  }

  it('lets its checkpoint be stored when it is lost', () => {
    const run = start(0);
    run.checkpoint = FIRST;
    sample.fleet.recordLostRun(run, 'hold lapsed');
    assert.ok(sample.fleet.dirtyJobs.has(job));
  });

  it('causes no write without a checkpoint', () => {
    sample.fleet.finishRun(start(0), 'stopped', undefined, at(100));
    assert.equal(sample.fleet.dirtyJobs.size, 0);
  });

  it('causes no write when its job is over', () => {
    const run = start(0);
    sample.fleet.cancelJob(job);
    sample.fleet.dirtyJobs.clear();
    sample.fleet.finishRun(run, 'stopped', FIRST, at(100));
    assert.equal(sample.fleet.dirtyJobs.size, 0);
  });

  describe('and had resumed from a stored checkpoint', () => {
    let run: Run;

    beforeEach(() => {
      sample.fleet.finishRun(start(0), 'stopped', FIRST, at(100));
      run = start(10_000);
    });

    it('causes no write when it has saved no other', () => {
      sample.fleet.finishRun(run, 'stopped', FIRST, at(10_100));
      assert.equal(sample.fleet.dirtyJobs.size, 0);
    });

    it('lets another one be stored', () => {
      sample.fleet.finishRun(run, 'stopped', SECOND, at(10_100));
      assert.ok(sample.fleet.dirtyJobs.has(job));
    });
  });
});
