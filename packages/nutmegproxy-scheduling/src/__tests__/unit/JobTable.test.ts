import type {JobId, WallTime} from '@nutmegproxy/core';
import type {JobStatus, QueueId} from '@nutmegproxy/jobs';

import {brand} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import fc from 'fast-check';
import {deepEqual} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {JobTable} from '../../JobTable.ts';
import {SERVICE, shape} from './Samples.ts';

const QUEUE = brand<QueueId>('proofs');
const STATUSES: readonly JobStatus[] = ['cancelled', 'completed', 'failed', 'queued', 'running'];
const ENDED = ['cancelled', 'completed', 'failed'] as const;
const IDS = Array.from({length: 6}, (_, number) =>
  brand<JobId>(number.toString(16).padStart(16, '0')),
);

function createJob(id: JobId, status: JobStatus, isTried: boolean): JobState {
  const request = {
    acceptedAt: 0 as WallTime,
    id,
    payload: '',
    queue: QUEUE,
    recurrence: undefined,
    service: SERVICE,
    steps: [shape()],
  };
  const job = new JobState(request, 1, {queue: QUEUE, status, steps: {}});
  job.mayHaveTrials = isTried;
  return job;
}

/** Changes of a table, as functions so that any sequence of them can be played. */
const CHANGE = fc.oneof(
  fc
    .tuple(fc.constantFrom(...IDS), fc.constantFrom(...STATUSES), fc.boolean())
    .map(([id, status, isTried]) => (table: JobTable): void => {
      table.set(id, createJob(id, status, isTried));
    }),
  fc.constantFrom(...IDS).map((id) => (table: JobTable): void => {
    table.delete(id);
  }),
  fc
    .tuple(fc.constantFrom(...IDS), fc.constantFrom(...ENDED), fc.boolean())
    .map(([id, status, isRecorded]) => (table: JobTable): void => {
      const job = table.get(id);
      if (job !== undefined) {
        job.status = status;
        if (isRecorded) {
          table.recordEnd(job);
        }
      }
    }),
  fc.constantFrom(...IDS).map((id) => (table: JobTable): void => {
    const job = table.get(id);
    if (job !== undefined) {
      table.recordTrial(job);
    }
  }),
  fc.constant((table: JobTable): void => {
    table.clear();
  }),
);

describe('JobTable', () => {
  describe('indexes', () => {
    it('agree with a walk over all jobs after any changes', () => {
      fc.assert(
        fc.property(fc.array(CHANGE, {maxLength: 40}), (changes) => {
          const table = new JobTable();
          for (const change of changes) {
            change(table);
            const jobs = [...table.values()];
            deepEqual(
              [...table.open()],
              jobs.filter(({isFinal}) => !isFinal),
            );
            deepEqual(
              new Set(table.tried),
              new Set(jobs.filter(({mayHaveTrials}) => mayHaveTrials)),
            );
          }
        }),
        {seed: 63},
      );
    });

    it('pass over a job that ends while they are walked', () => {
      const table = new JobTable();
      for (const id of IDS) {
        table.set(id, createJob(id, 'running', false));
      }
      const visited: JobId[] = [];
      for (const {id} of table.open()) {
        visited.push(id);
        const next = table.get(IDS[visited.length] ?? id);
        if (visited.length === 1 && next !== undefined) {
          next.status = 'cancelled';
        }
      }
      deepEqual(visited, [IDS[0], ...IDS.slice(2)]);
    });

    it('do not take a job that another one has replaced', () => {
      const table = new JobTable();
      const [id] = IDS;
      if (id === undefined) {
        return;
      }
      const replaced = createJob(id, 'running', false);
      table.set(id, replaced);
      table.set(id, createJob(id, 'running', false));
      table.recordTrial(replaced);
      deepEqual([...table.tried], []);
    });
  });
});
