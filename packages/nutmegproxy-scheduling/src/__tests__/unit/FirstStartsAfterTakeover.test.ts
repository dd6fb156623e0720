/** An owner tells the tasks of a lasting job that have run under a former owner from those that have not. */

import type {JobProgress, StepState} from '@nutmegproxy/jobs';

import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {isInterruptedTask} from '../../InterruptedTaskStarts.ts';
import {at, SampleFleet, shape, wallAt} from './Samples.ts';

const MINIONS = 10;
/** Tasks that start below the limit, of one core each. */
const STARTED = 34;
const LASTING = shape({count: 50, longRunning: true});

function findStep(job: JobState): StepState {
  const [step] = [...job.openOccurrences(wallAt(0))].flat();
  assert.ok(step);
  return step;
}

/** Starts what may start and returns the job's progress as it is stored. */
function playFormerOwner(): JobProgress {
  const sample = new SampleFleet(MINIONS);
  const job = sample.addJob('proofs', [LASTING]);
  assert.equal(sample.plan(0).length, STARTED);
  return JSON.parse(JSON.stringify(job.exportProgress())) as JobProgress;
}

/** Lets an owner read the job and adopt the runs of all its tasks below `STARTED` but one. */
function takeOver(progress: JobProgress, interrupted: number): SampleFleet {
  const sample = new SampleFleet(MINIONS);
  const {request, revision} = sample.addJob('proofs', [LASTING]);
  const job = new JobState(request, revision, progress);
  sample.fleet.jobs.set(job.id, job);
  const step = findStep(job);
  const minions = [...sample.fleet.minions.values()];
  for (let index = 0; index < STARTED; index += 1) {
    const minion = minions[index % MINIONS];
    assert.ok(minion);
    if (index !== interrupted) {
      sample.fleet.startRun(step, index, minion, at(0));
    }
  }
  return sample;
}

describe('A lasting job that a former owner has started', () => {
  it('gets room above the limit for its interrupted tasks and not for those that have not run', () => {
    const sample = takeOver(playFormerOwner(), 5);
    assert.deepEqual(
      sample.plan(1).map(({task}) => task.index),
      [5],
    );
  });

  it('gets it for all tasks when the former owner has not stored which have run', () => {
    const {queue, status} = playFormerOwner();
    const sample = takeOver({queue, status, steps: {}}, 5);
    assert.equal(sample.plan(1).length, MINIONS * 4 - STARTED + 1);
  });

  it('is stored again when more of its tasks start, and not when they start again', () => {
    const sample = new SampleFleet(MINIONS);
    const job = sample.addJob('proofs', [LASTING]);
    const [run] = sample.plan(0);
    sample.fleet.dirtyJobs.clear();
    assert.ok(run);
    sample.fleet.finishRun(run, 'stopped', undefined, at(1));
    assert.equal(sample.plan(1).length, 1);
    assert.equal(sample.fleet.dirtyJobs.size, 0);
    sample.addMinion('more');
    assert.notEqual(sample.plan(2).length, 0);
    assert.ok(sample.fleet.dirtyJobs.has(job));
  });

  it('keeps what several owners have stored', () => {
    const {fleet} = takeOver(playFormerOwner(), 5);
    const [second] = fleet.jobs.values();
    assert.ok(second);
    const third = new JobState(second.request, second.revision, second.exportProgress());
    const step = findStep(third);
    const interrupted = [...step.waiting].filter((index) => isInterruptedTask(step, index));
    assert.equal(interrupted.length, STARTED);
  });

  describe('that recurs', () => {
    /** Returns the interrupted tasks of the second occurrence for the owner that reads the progress. */
    function listInterrupted(adapt: (progress: JobProgress) => JobProgress): readonly number[] {
      const sample = new SampleFleet(MINIONS);
      const {request, revision} = sample.addJob('proofs', [shape({count: 4, longRunning: true})]);
      const recurrence = {count: 2, firstAt: wallAt(0), intervalMs: 1_000};
      const former = new JobState({...request, recurrence}, revision);
      sample.fleet.jobs.set(former.id, former);
      assert.equal(sample.plan(0).length, 4);
      const job = new JobState(former.request, revision, adapt(former.exportProgress()));
      const [, second] = [...job.openOccurrences(wallAt(1_000))];
      const [step] = second ?? [];
      assert.ok(step);
      return [...step.waiting].filter((index) => isInterruptedTask(step, index));
    }

    it('has no interrupted tasks in an occurrence that was not due yet', () => {
      assert.deepEqual(
        listInterrupted((progress) => progress),
        [],
      );
    });

    it('may have some in each that a former version has not stored', () => {
      assert.deepEqual(
        listInterrupted((progress) => ({...progress, steps: {}})),
        [0, 1, 2, 3],
      );
    });
  });
});
