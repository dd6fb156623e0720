import type {Checkpoint, JobState, Run, StepProgress, StepState} from '@nutmegproxy/jobs';

import {StepState as Step} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {at, SampleFleet, shape} from './Samples.ts';

const MEMBERS = 3;
const FIRST = 'first' as Checkpoint;
const SECOND = 'second' as Checkpoint;

// Guards against members that resume from different points: one value is valid for the whole gang.
describe('A gang whose members have saved different checkpoints', () => {
  let job: JobState;
  let runs: readonly Run[];
  let sample: SampleFleet;

  function findStep(): StepState {
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    return step;
  }

  beforeEach(() => {
    sample = new SampleFleet(MEMBERS);
    job = sample.addJob('proofs', [shape({checkpoints: true, count: MEMBERS, gang: true})]);
    runs = sample.plan(0);
    assert.equal(runs.length, MEMBERS);
  });

  function listCheckpoints(): readonly (Checkpoint | undefined)[] {
    return sample.plan(10_000).map(({checkpoint}) => checkpoint);
  }

  it('resumes all of them from the value that was saved last, when its runs are stopped', () => {
    for (const [index, run] of runs.entries()) {
      const checkpoint = index === 0 ? FIRST : SECOND;
      sample.fleet.finishRun(run, 'stopped', checkpoint, at(100 + index));
    }
    assert.deepEqual(listCheckpoints(), [SECOND, SECOND, SECOND]);
  });

  it('resumes all of them from the value of one, when its runs are lost', () => {
    for (const [index, run] of runs.entries()) {
      run.checkpoint = index === 1 ? FIRST : undefined;
      sample.fleet.recordLostRun(run, 'hold lapsed');
    }
    assert.deepEqual(listCheckpoints(), [FIRST, FIRST, FIRST]);
  });

  it('resumes all of them from one value under the next owner', () => {
    for (const [index, run] of runs.entries()) {
      sample.fleet.finishRun(run, 'stopped', index === 0 ? FIRST : SECOND, at(100 + index));
    }
    const progress = findStep().exportProgress();
    const next = new Step(job, 0, 0, findStep().shape, progress);
    const values = Array.from({length: MEMBERS}, (_, index) => next.findCheckpoint(index));
    assert.deepEqual(values, [SECOND, SECOND, SECOND]);
  });

  it('resumes all of them from one value that an earlier version has stored for one member', () => {
    const progress: StepProgress = {checkpoints: {2: FIRST}, done: [], failures: {}};
    const next = new Step(job, 0, 0, findStep().shape, progress);
    assert.equal(next.findCheckpoint(0), FIRST);
  });
});
