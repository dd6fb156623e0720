import {JobState} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

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
