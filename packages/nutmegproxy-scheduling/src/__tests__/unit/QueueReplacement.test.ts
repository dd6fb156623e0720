import type {StoredJob} from '@nutmegproxy/jobs';

import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {DEFAULT_QUEUE_POLICY} from '../../QueuePolicy.ts';
import {replaceQueues} from '../../QueueReplacement.ts';
import {play} from './ExclusionSamples.ts';
import {queue, SampleFleet, shape} from './Samples.ts';

/** Time in milliseconds in which a task fails once. */
const FIRST_RUN_MS = 100;
const PLAYED_MS = 60_000;

// Guards against attempts beyond those that a queue allowed before its route was removed.
describe('A job whose queue is removed after a task has failed', () => {
  for (const maxAttempts of [2, 5]) {
    it(`fails after ${maxAttempts} attempts, as its queue allowed`, () => {
      const sample = new SampleFleet(3, [queue('proofs', {maxAttempts})]);
      const job = sample.addJob('proofs', [shape()]);
      const first = play(sample, 0, FIRST_RUN_MS, () => 'failed').get(job)?.length ?? 0;
      assert.equal(first, 1);
      replaceQueues(sample.fleet, [queue('others')]);
      const later =
        play(sample, FIRST_RUN_MS + 100, PLAYED_MS, () => 'failed').get(job)?.length ?? 0;
      assert.equal(job.status, 'failed');
      assert.equal(first + later, maxAttempts);
    });
  }

  it('keeps their number under the next owner', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 5})]);
    const job = sample.addJob('proofs', [shape()]);
    replaceQueues(sample.fleet, []);
    assert.ok(sample.fleet.dirtyJobs.has(job));
    const next = new JobState(job.request, job.revision, job.exportProgress());
    assert.equal(sample.fleet.resolveQueuePolicy(next).maxAttempts, 5);
  });

  it('follows its queue once that is configured again', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 5})]);
    const job = sample.addJob('proofs', [shape()]);
    replaceQueues(sample.fleet, []);
    replaceQueues(sample.fleet, [queue('proofs', {maxAttempts: 2})]);
    assert.equal(sample.fleet.resolveQueuePolicy(job).maxAttempts, 2);
  });
});

// Guards against a default number of attempts under an owner that never had the queue, as the owner before was killed
// when the route was removed.
describe('A job whose queue was removed before its owner took over', () => {
  for (const maxAttempts of [2, 5]) {
    it(`fails after the ${maxAttempts} attempts that were stored with it`, () => {
      const sample = new SampleFleet(3, [queue('others')]);
      const job = addStoredJob(sample, {queuePolicy: {maxAttempts}});
      const starts = play(sample, 0, PLAYED_MS, () => 'failed').get(job) ?? [];
      assert.equal(job.status, 'failed');
      assert.equal(starts.length, maxAttempts);
    });
  }

  it('needs no other record of their number', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 5})]);
    const job = addStoredJob(sample, {queuePolicy: {maxAttempts: 5}});
    replaceQueues(sample.fleet, []);
    assert.equal(sample.fleet.dirtyJobs.has(job), false);
    assert.equal(job.exportProgress().maxAttempts, undefined);
  });

  it('keeps the number that its queue allowed last', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 5})]);
    const job = addStoredJob(sample, {queuePolicy: {maxAttempts: 2}});
    replaceQueues(sample.fleet, []);
    const next = new JobState(job.request, job.revision, job.exportProgress());
    assert.equal(sample.fleet.resolveQueuePolicy(next).maxAttempts, 5);
  });

  it('gets the default where an earlier version accepted it', () => {
    const sample = new SampleFleet(1, []);
    const job = addStoredJob(sample, {});
    assert.equal(
      sample.fleet.resolveQueuePolicy(job).maxAttempts,
      DEFAULT_QUEUE_POLICY.maxAttempts,
    );
  });
});

// Guards against starts without tickets, which minions reject for good, once the route of an advised queue is removed.
describe('A job of an advised queue that is removed', () => {
  const advice = {callMs: 20, perMinionMs: 2, validMs: 5_000};

  it('needs the advice that was stored with it, under an owner that never had the queue', () => {
    const sample = new SampleFleet(3, [queue('others')]);
    const job = addStoredJob(sample, {queuePolicy: {advice, maxAttempts: 2}});
    assert.deepEqual(sample.fleet.resolveQueuePolicy(job).advice, advice);
    assert.deepEqual([...sample.fleet.jobs.advised], [job]);
    assert.deepEqual(sample.plan(0), []);
  });

  it('keeps it under the next owner where an earlier version accepted it', () => {
    const sample = new SampleFleet(1, [queue('proofs', {advice})]);
    const job = addStoredJob(sample, {});
    replaceQueues(sample.fleet, []);
    assert.ok(sample.fleet.dirtyJobs.has(job));
    assert.deepEqual([...sample.fleet.jobs.advised], [job]);
    const next = new JobState(job.request, job.revision, job.exportProgress());
    assert.deepEqual(sample.fleet.resolveQueuePolicy(next).advice, advice);
  });

  it('needs no other record of it', () => {
    const sample = new SampleFleet(1, [queue('proofs', {advice, maxAttempts: 2})]);
    const job = addStoredJob(sample, {queuePolicy: {advice, maxAttempts: 2}});
    replaceQueues(sample.fleet, []);
    assert.equal(sample.fleet.dirtyJobs.has(job), false);
  });

  it('needs none if its queue needed none any more', () => {
    const sample = new SampleFleet(1, [queue('proofs')]);
    const job = addStoredJob(sample, {queuePolicy: {advice, maxAttempts: 2}});
    replaceQueues(sample.fleet, []);
    const next = new JobState(job.request, job.revision, job.exportProgress());
    assert.equal(sample.fleet.resolveQueuePolicy(next).advice, undefined);
    assert.equal(sample.fleet.jobs.advised.size, 0);
  });

  it('is not listed any more once it has ended', () => {
    const sample = new SampleFleet(1, []);
    const job = addStoredJob(sample, {queuePolicy: {advice, maxAttempts: 2}});
    sample.fleet.finishJob(job, 'failed');
    assert.equal(sample.fleet.jobs.advised.size, 0);
  });
});

/** Adds a job of one task whose stored request has these fields besides. */
function addStoredJob(sample: SampleFleet, change: Partial<StoredJob>): JobState {
  const {request, revision} = sample.addJob('proofs', [shape()]);
  const job = new JobState({...request, ...change}, revision);
  sample.fleet.jobs.set(job.id, job);
  return job;
}
