import type {JobId, WallTime} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueId, Recurrence, ServiceId, StepShape} from '../../JobModel.ts';

import {JobState} from '../../JobState.ts';

const SHAPE: StepShape = {
  after: [],
  checkpoints: false,
  count: 1,
  disruptionBudget: undefined,
  estimateMs: 1_000,
  fillsSpareCpu: false,
  gang: false,
  image: undefined,
  longRunning: false,
  maxPerMinion: undefined,
  preferredRack: undefined,
  rackLocal: false,
  requiredLabel: undefined,
  resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
  speculative: false,
  tailTargetMs: undefined,
};

const at = (ms: number): WallTime => ms as WallTime;

function createJob(steps: number, recurrence?: Recurrence): JobState {
  return new JobState(
    {
      acceptedAt: at(0),
      id: brand<JobId>('00000000000000a1'),
      payload: '',
      queue: 'queue' as QueueId,
      recurrence,
      service: 'service' as ServiceId,
      steps: Array.from({length: steps}, () => SHAPE),
    },
    1,
  );
}

function finish(job: JobState, occurrence: number): void {
  for (const step of job.occurrence(occurrence) ?? []) {
    step.markDone(0);
  }
}

/** Returns the numbers of the occurrences that are open. */
function listOpen(job: JobState, ms: number): (number | undefined)[] {
  return [...job.openOccurrences(at(ms))].map(([first]) => first?.occurrence);
}

describe('JobState', () => {
  describe('the open occurrences', () => {
    it('of a job that runs once are its only one, as one list that rounds pass over often', () => {
      const job = createJob(2);
      const open = job.openOccurrences(at(0));
      assert.deepEqual([...open], [job.occurrence(0)]);
      assert.equal(job.openOccurrences(at(5)), open);
      job.occurrence(0)?.[0]?.markDone(0);
      assert.equal(job.openOccurrences(at(5)), open);
      finish(job, 0);
      assert.deepEqual([...job.openOccurrences(at(5))], []);
      assert.ok(job.isDone());
    });

    it('of a job without steps are none', () => {
      assert.deepEqual([...createJob(0).openOccurrences(at(0))], []);
    });

    it('of a recurring job are those that are due and not finished, oldest first', () => {
      const job = createJob(1, {count: 4, firstAt: at(100), intervalMs: 50});
      assert.deepEqual(listOpen(job, 99), []);
      assert.deepEqual(listOpen(job, 200), [0, 1, 2]);
      finish(job, 1);
      assert.deepEqual(listOpen(job, 1_000), [0, 2, 3]);
      assert.ok(!job.isDone());
      for (const occurrence of [0, 2, 3]) {
        finish(job, occurrence);
      }
      assert.deepEqual(listOpen(job, 1_000), []);
      assert.ok(job.isDone());
    });
  });
});
