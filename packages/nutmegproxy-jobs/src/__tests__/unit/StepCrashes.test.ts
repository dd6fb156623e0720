import type {Instant, MinionId} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {RunNumber, StepShape, StoredJob} from '../../JobModel.ts';
import type {JobProgress} from '../../JobProgress.ts';
import type {TaskCrash, TaskTrial} from '../../StepCrashes.ts';

import {decodeProgress, encodeRecord} from '../../JobRecords.ts';
import {JobState} from '../../JobState.ts';

const NOW = 1_000 as Instant;
const TRIAL: TaskTrial = {bornAt: 7, minion: 'm2' as MinionId, run: 2 as RunNumber};
const REQUEST = {
  queue: 'proofs',
  recurrence: {count: 5, firstAt: 0, intervalMs: 10},
  steps: [{count: 2, gang: false} as Partial<StepShape>],
} as unknown as StoredJob;

function createCrash(run: number): TaskCrash {
  const minion = `m${run}` as MinionId;
  return {address: `${minion}:1`, ageMs: 0, evidence: 'shared', minion, run: run as RunNumber};
}

/** Stores the progress of a job and returns the job as the next owner reads it. */
function reload(job: JobState): JobState {
  const progress = decodeProgress(encodeRecord(job.exportProgress()))._unsafeUnwrap();
  return new JobState(REQUEST, 1, progress);
}

function createJobWithCrash(): JobState {
  const job = new JobState(REQUEST, 1);
  const step = job.occurrence(3)?.[0];
  step?.crashes.record(1, createCrash(1), NOW);
  step?.crashes.trials.set(1, TRIAL);
  return job;
}

describe('StepCrashes', () => {
  it('are read by the next owner, with the occurrence of a trial in memory', () => {
    const job = reload(createJobWithCrash());
    const [step] = [...job.steps()];
    assert.equal(step?.occurrence, 3);
    assert.deepEqual(step.crashes.of(1), [createCrash(1)]);
    assert.deepEqual(step.crashes.trials.get(1), TRIAL);
  });

  // Guards against waits that begin anew under an owner that asks for one of the two times before the other.
  for (const first of ['consideredAt', 'idleSince'] as const) {
    it(`that are read count since they were stored, whichever time is asked for first (${first})`, () => {
      const storedAt = 400 as Instant;
      const crashes = reload(createJobWithCrash()).occurrence(3)?.[0]?.crashes;
      assert.equal(crashes?.[first](1, NOW, storedAt), storedAt);
      assert.equal(crashes.idleSince(1, NOW, storedAt), storedAt);
      assert.equal(crashes.consideredAt(1, NOW, storedAt), storedAt);
    });
  }

  it('leave the stored progress when they are dropped', () => {
    const job = reload(createJobWithCrash());
    job.occurrence(3)?.[0]?.crashes.clear(1);
    assert.deepEqual(job.exportProgress().steps, {});
  });

  it('are absent from the progress that an earlier version has written', () => {
    const steps = {'3.0': {checkpoints: {}, done: [0], failures: {}}};
    const former = {queue: REQUEST.queue, status: 'running', steps} satisfies JobProgress;
    const job = new JobState(REQUEST, 1, former);
    assert.equal(job.occurrence(3)?.[0]?.crashes.isEmpty, true);
    assert.deepEqual(job.exportProgress(), former);
  });

  it('count the crash under a run once', () => {
    const step = new JobState(REQUEST, 1).occurrence(0)?.[0];
    assert.equal(step?.crashes.record(0, createCrash(1), NOW), true);
    assert.equal(step.crashes.record(0, createCrash(1), NOW), false);
  });
});
