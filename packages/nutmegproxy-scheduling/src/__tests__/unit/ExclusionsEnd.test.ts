/** No belief about a minion excludes it for ever, nor one that is sound for longer than some seconds. */

import type {MinionId} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {failTwice, findMinion, JOB_A, LASTING, play} from './ExclusionSamples.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';

/** From 9 s after its last run a lasting task has to run on a sound minion with room, as the users specify. */
const MAX_IDLE_MS = 9_000;

describe('A minion that was quarantined and is sound again', () => {
  describe('with a lasting task', () => {
    it('gets work beside the task, which never ends', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [LASTING]);
      play(sample, 0, 0);
      failTwice(findMinion(sample), 100);
      const job = sample.addJob('proofs', [LASTING], 200);
      const startedAt = play(sample, 200, 200 + MAX_IDLE_MS).get(job)?.[0];
      assert.ok(startedAt !== undefined && startedAt < 200 + MAX_IDLE_MS, `${startedAt}`);
    });

    it('is trusted again once a lasting task has run there for some seconds without failing', () => {
      const sample = new SampleFleet(1);
      const minion = findMinion(sample);
      failTwice(minion, 0);
      sample.addJob('proofs', [
        shape({count: 4, longRunning: true, resources: {cpuMilli: 500, gpus: 0, memoryMb: 1}}),
      ]);
      play(sample, 100, 12_000);
      assert.equal(minion.trust.level(at(12_000)), 'trusted');
      assert.equal(minion.runs.size, 4);
    });

    it('does not count a run from before the quarantine as a proof', () => {
      const sample = new SampleFleet(1);
      const minion = findMinion(sample);
      sample.addJob('proofs', [LASTING]);
      play(sample, 0, 0);
      failTwice(minion, 100);
      play(sample, 200, 20_000);
      assert.equal(minion.trust.level(at(20_000)), 'trial');
    });
  });

  describe('with work that takes minutes', () => {
    it('gets other work before that work is done', () => {
      const sample = new SampleFleet(1);
      failTwice(findMinion(sample), 0);
      sample.addJob('proofs', [shape({estimateMs: 600_000})], 100);
      play(sample, 100, 3_000);
      const later = sample.addJob('proofs', [shape({estimateMs: 600_000})], 3_000);
      assert.ok(play(sample, 3_100, 30_000).has(later));
    });
  });

  it('gets one run at a time until one has shown that it is sound', () => {
    const sample = new SampleFleet(1);
    failTwice(findMinion(sample), 0);
    sample.addJob('proofs', [shape({count: 3})]);
    assert.equal(sample.plan(3_000).length, 1);
    assert.equal(sample.plan(3_100).length, 0);
  });

  it('gets no work that a trusted minion has room for', () => {
    const sample = new SampleFleet(2);
    const [failing, trusted] = [findMinion(sample), findMinion(sample, 1)];
    failTwice(failing, 0);
    sample.addJob('proofs', [shape({count: 3})]);
    const minions = sample.plan(3_000).map(({minion}) => minion);
    assert.deepEqual(minions, [trusted.id, trusted.id, trusted.id]);
  });
});

describe('A minion that fails all that it starts', () => {
  it('gets no more than one run in each four seconds', () => {
    const sample = new SampleFleet(1, [queue('proofs', {maxAttempts: 1_000})]);
    sample.addJob('proofs', [shape({count: 1})]);
    sample.addJob('proofs', [shape({count: 1})]);
    sample.addJob('proofs', [LASTING]);
    const minion = findMinion(sample);
    let failures = 0;
    play(sample, 0, 40_000, () => {
      failures += 1;
      return 'failed';
    });
    assert.equal(minion.runs.size <= 1, true);
    assert.ok(failures <= 3 + 40_000 / 4_000 + 1, `${failures}`);
  });

  // Jobs that fail on both minions are tried again before their quarantines are over, a few times each.
  it('gets no more than that and two runs of each job beside another one that does the same', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 1_000})]);
    for (let number = 0; number < 6; number += 1) {
      sample.addJob('proofs', [shape()]);
    }
    sample.addJob('proofs', [LASTING]);
    const failures = new Map<MinionId, number>();
    play(sample, 0, 40_000, ({minion}) => {
      failures.set(minion, (failures.get(minion) ?? 0) + 1);
      return 'failed';
    });
    const most = Math.max(...failures.values());
    assert.ok(most <= 3 + 40_000 / 4_000 + 1 + 6 * 2, `${most}`);
  });
});

describe('A task that has failed', () => {
  it('is tried again on the only minion that has its required label', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 3})]);
    sample.addMinion('fast', {labels: ['fast', 'r1']});
    const job = sample.addJob('proofs', [shape({requiredLabel: 'fast'})]);
    let failures = 0;
    play(sample, 0, 30_000, () => {
      failures += 1;
      return failures === 1 ? 'failed' : 'done';
    });
    assert.equal(job.status, 'completed');
  });

  it('is tried again once it has failed on both minions that have its required label', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 4})]);
    sample.addMinion('fast-1', {labels: ['fast', 'r1']});
    sample.addMinion('fast-2', {labels: ['fast', 'r1']});
    const job = sample.addJob('proofs', [shape({requiredLabel: 'fast'})]);
    const failedOn = new Set<MinionId>();
    play(sample, 0, 30_000, ({minion}) => {
      const isFirst = !failedOn.has(minion);
      failedOn.add(minion);
      return isFirst ? 'failed' : 'done';
    });
    assert.equal(failedOn.size, 2);
    assert.equal(job.status, 'completed');
  });

  it('is tried again on the minion that its label and the limit per minion leave', () => {
    const sample = new SampleFleet(2, [queue('proofs', {maxAttempts: 3})]);
    sample.addMinion('fast-1', {labels: ['fast', 'r1']});
    sample.addMinion('fast-2', {labels: ['fast', 'r1']});
    const step = shape({
      count: 2,
      estimateMs: 60_000,
      maxPerMinion: 1,
      requiredLabel: 'fast',
    });
    const job = sample.addJob('proofs', [step]);
    let failures = 0;
    const starts = play(sample, 0, 30_000, ({task}) => {
      failures += task.index === 0 ? 1 : 0;
      return task.index === 0 && failures === 1 ? 'failed' : undefined;
    });
    assert.equal(starts.get(job)?.length, 3);
  });

  it('fails its job at once where the queue allows one attempt, and keeps no other job', () => {
    const sample = new SampleFleet(0, [queue('proofs', {maxAttempts: 1})]);
    sample.addMinion('fast', {labels: ['fast', 'r1']});
    const failing = sample.addJob('proofs', [shape({requiredLabel: 'fast'})]);
    const other = sample.addJob('proofs', [shape({requiredLabel: 'fast'})], 100);
    play(sample, 0, 30_000, ({step}) => (step.job === failing ? 'failed' : 'done'));
    assert.equal(failing.status, 'failed');
    assert.equal(other.status, 'completed');
  });

  it('is tried again on the only minion that has room for it', () => {
    const sample = new SampleFleet(0, [queue('proofs', {maxAttempts: 3})]);
    sample.addMinion('small', {capacity: {cpuMilli: 500, gpus: 0, memoryMb: 8_000}});
    sample.addMinion('large');
    const job = sample.addJob('proofs', [shape()]);
    let failures = 0;
    play(sample, 0, 30_000, () => {
      failures += 1;
      return failures === 1 ? 'failed' : 'done';
    });
    assert.equal(job.status, 'completed');
  });

  it('gets its last attempt although no minion has had a successful run since', () => {
    const sample = new SampleFleet(3);
    const hopeless = [1, 2, 3].map(() => sample.addJob('proofs', [shape()]));
    play(sample, 0, 60_000, () => 'failed');
    assert.deepEqual(
      hopeless.map(({status}) => status),
      ['failed', 'failed', 'failed'],
    );
  });

  it('keeps its last attempt for a minion that has not failed lately, while there is one', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape()]);
    const [first] = sample.plan(0);
    assert.ok(first);
    sample.fleet.finishRun(first, 'failed', undefined, at(10));
    const other = [...sample.fleet.minions.values()].find(({id}) => id !== first.minion);
    assert.ok(other);
    other.trust.recordFailure(JOB_A, at(10));
    assert.equal(sample.plan(5_000).length, 0);
    assert.equal(job.status, 'running');
    assert.equal(sample.plan(20_000).length, 1);
  });
});
