import type {Instant} from '@nutmegproxy/core';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import {Retention} from '../../Retention.ts';
import {acquireOwnership, createStep} from './OwnerSamples.ts';

const JOBS = 8;
const RETENTION_MS = 1_000;

describe('Retention of ended jobs', () => {
  let fleet: Fleet;
  let jobs: readonly JobState[];
  let retention: Retention;
  let store: MemoryStore;

  function sweep(atMs: number): Promise<void> {
    return retention.sweep(atMs as Instant);
  }

  beforeEach(async () => {
    fleet = new Fleet(SILENT_EVENTS);
    store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    retention = new Retention({
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      fleet,
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
});
