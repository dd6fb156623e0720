import type {Instant} from '@nutmegproxy/core';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {formatJobKey, JobState} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getPrefix, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import {CancellationMarks} from '../../CancellationMarks.ts';
import {RETENTION_BATCH_KEYS} from '../../OwnerConstants.ts';
import {Retention} from '../../Retention.ts';
import {acquireOwnership, createStep} from './OwnerSamples.ts';

const JOBS = 8;
const RETENTION_MS = 1_000;

describe('Retention of ended jobs', () => {
  let fleet: Fleet;
  let jobs: readonly JobState[];
  let marks: CancellationMarks;
  let retention: Retention;
  let store: MemoryStore;

  function sweep(atMs: number): Promise<void> {
    return retention.sweep(atMs as Instant);
  }

  async function countCancellations(): Promise<number> {
    const read = await getPrefix(store, 'nutmegproxy/fleet/jobs/');
    return read._unsafeUnwrap().values.length;
  }

  beforeEach(async () => {
    fleet = new Fleet(SILENT_EVENTS);
    marks = new CancellationMarks();
    store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    retention = new Retention({
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      fleet,
      marks,
      ownership,
      retentionMs: RETENTION_MS,
      store,
    });
    jobs = Array.from({length: JOBS}, (_, index) => createStep(index + 1).job);
    for (const job of jobs) {
      fleet.jobs.set(job.id, job);
      fleet.finishJob(job, 'completed');
    }
    fleet.dirtyJobs.clear();
  });

  afterEach(async () => {
    mock.restoreAll();
    await store.close();
  });

  it('looks for live runs when a job has ended and before it is removed, not in between', async () => {
    const reads = mock.getter(JobState.prototype, 'hasLiveRuns', () => false).mock;
    for (let atMs = 0; atMs <= RETENTION_MS; atMs += 100) {
      await sweep(atMs);
    }
    assert.equal(reads.callCount(), JOBS);
    assert.equal(fleet.jobs.size, JOBS);
    await sweep(RETENTION_MS + 1);
    assert.equal(reads.callCount(), 2 * JOBS);
    assert.equal(fleet.jobs.size, 0);
  });

  it('keeps a job whose progress is not stored, however long ago it has ended', async () => {
    await sweep(0);
    const [job] = jobs;
    assert.ok(job);
    fleet.dirtyJobs.add(job);
    await sweep(RETENTION_MS + 1);
    assert.deepEqual([...fleet.jobs.keys()], [job.id]);
    fleet.dirtyJobs.clear();
    await sweep(RETENTION_MS + 2);
    assert.equal(fleet.jobs.size, 0);
  });

  // Guards against records of cancelled jobs that were never stored, which nobody removes.
  it('ends for cancellations without a job as for jobs, some in each write', async () => {
    const ids = Array.from(
      {length: 2 * RETENTION_BATCH_KEYS},
      (_, index) => createStep(100 + index).job.id,
    );
    for (const id of ids) {
      (await put(store, formatJobKey(id, 'cancel'), Buffer.from('request-1')))._unsafeUnwrap();
      marks.add(id, 0 as Instant);
    }
    const [first, ...others] = ids;
    assert.ok(first);
    marks.delete(first);
    marks.add(first, 500 as Instant);
    await sweep(0);
    await sweep(RETENTION_MS);
    assert.equal(await countCancellations(), ids.length, 'not before the time');
    for (let batch = 0; batch < 4; batch += 1) {
      await sweep(RETENTION_MS + 1);
    }
    assert.equal(fleet.jobs.size, 0);
    assert.ok(others.every((id) => !marks.has(id)));
    assert.ok(marks.has(first));
    assert.equal(await countCancellations(), 1);
  });
});
