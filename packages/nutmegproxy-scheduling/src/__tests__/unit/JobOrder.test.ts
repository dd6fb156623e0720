import type {JobState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {classifyPunctuality, orderSteps} from '../../JobOrder.ts';
import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';

describe('classifyPunctuality', () => {
  it('compares the expected end with the objective and with three times the objective', () => {
    const objectiveMs = 2_000;
    assert.equal(classifyPunctuality({elapsedMs: 500, objectiveMs, remainingMs: 1_500}), 'on-time');
    assert.equal(classifyPunctuality({elapsedMs: 600, objectiveMs, remainingMs: 1_500}), 'late');
    assert.equal(
      classifyPunctuality({elapsedMs: 5_000, objectiveMs, remainingMs: 1_500}),
      'overdue',
    );
  });
});

describe('orderSteps', () => {
  function order(sample: SampleFleet, nowMs: number): string[] {
    const steps = [...sample.fleet.jobs.values()].flatMap((job) => job.occurrence(0) ?? []);
    return orderSteps(sample.fleet, steps, sample.estimator, wallAt(nowMs)).map(
      ({step}) => step.job.id,
    );
  }

  it('orders equal jobs by remaining work, least first', () => {
    const sample = new SampleFleet(0);
    const large = sample.addJob('proofs', [shape({count: 10})]);
    const small = sample.addJob('proofs', [shape({count: 2})]);
    assert.deepEqual(order(sample, 0), [small.id, large.id]);
  });

  it('orders a large job that has waited before a small one', () => {
    const sample = new SampleFleet(0, [queue('proofs', {targetDurationMs: 60_000})]);
    const large = sample.addJob('proofs', [shape({count: 4})], 0);
    const small = sample.addJob('proofs', [shape({count: 2})], 20_000);
    assert.deepEqual(order(sample, 20_000), [large.id, small.id]);
  });

  describe('long-running jobs', () => {
    /** Starts some tasks of a job that lasts. */
    function addStarted(sample: SampleFleet, count: number, started: number, dueMs = 0): JobState {
      const job = sample.addJob('proofs', [shape({count, longRunning: true})], dueMs);
      const [step] = job.occurrence(0) ?? [];
      const [minion] = sample.fleet.minions.values();
      assert.ok(step !== undefined && minion !== undefined);
      for (let index = 0; index < started; index += 1) {
        sample.fleet.startRun(step, index, minion, at(0));
      }
      return job;
    }

    for (const ratio of [2, 6, 12]) {
      it(`precede one with the same share at work that lacks 1/${ratio} of the processors and came later`, () => {
        const sample = new SampleFleet(0);
        const narrow = sample.addJob('proofs', [shape({count: 2, longRunning: true})], 1);
        const wide = sample.addJob('proofs', [shape({count: 2 * ratio, longRunning: true})], 0);
        assert.deepEqual(order(sample, 1), [wide.id, narrow.id]);
      });

      it(`precede at once one that lacks 1/${ratio} of the processors and has a larger share at work`, () => {
        const sample = new SampleFleet(1);
        const narrow = addStarted(sample, 2, 1);
        const wide = addStarted(sample, 2 * ratio, ratio - 1, 1_000);
        assert.deepEqual(order(sample, 1_000), [wide.id, narrow.id]);
      });
    }

    it('follow one with a smaller share at work however long they have waited', () => {
      const sample = new SampleFleet(1);
      const narrow = addStarted(sample, 2, 1);
      const wide = sample.addJob('proofs', [shape({count: 12, longRunning: true})], 100_000);
      assert.deepEqual(order(sample, 100_000), [wide.id, narrow.id]);
    });

    it('follow short work that has value left and precede work that has none', () => {
      const sample = new SampleFleet(0);
      const overdue = sample.addJob('proofs', [shape()], 0);
      const late = sample.addJob('proofs', [shape()], 15_000);
      const lasting = sample.addJob('proofs', [shape({longRunning: true})], 0);
      assert.deepEqual(order(sample, 20_000), [late.id, lasting.id, overdue.id]);
    });
  });

  describe('a stream of small jobs', () => {
    /** Wait in milliseconds after which a new job of a tenth of the work is not first any more. */
    const AGING_BOUND_MS = 36_000;

    it('does not precede a job of ten times the work for longer than the aging bound', () => {
      const sample = new SampleFleet(0, [queue('proofs', {targetDurationMs: 600_000})]);
      const large = sample.addJob('proofs', [shape({count: 10})], 0);
      const before = sample.addJob('proofs', [shape()], AGING_BOUND_MS - 1);
      assert.deepEqual(order(sample, AGING_BOUND_MS - 1), [before.id, large.id]);
      sample.fleet.jobs.delete(before.id);
      const after = sample.addJob('proofs', [shape()], AGING_BOUND_MS + 1);
      assert.deepEqual(order(sample, AGING_BOUND_MS + 1), [large.id, after.id]);
    });
  });

  it('orders by the priority number of the queue first, lowest first', () => {
    const sample = new SampleFleet(0, [queue('alerts'), queue('digests', {priority: 2})]);
    const digest = sample.addJob('digests', [shape()]);
    const alert = sample.addJob('alerts', [shape({count: 50})], -100_000);
    assert.deepEqual(order(sample, 0), [alert.id, digest.id]);
  });
});

describe('a recurring job', () => {
  it('starts each occurrence when it is due, even while an earlier one runs', () => {
    const sample = new SampleFleet(1);
    const job = sample.addJob('proofs', [shape()]);
    const recurrence = {count: 3, firstAt: wallAt(1_000), intervalMs: 500};
    Object.assign(job.request, {recurrence});
    assert.equal(sample.plan(999).length, 0);
    assert.deepEqual(
      sample.plan(1_000).map(({task}) => task.occurrence),
      [0],
    );
    assert.deepEqual(
      sample.plan(2_100).map(({task}) => task.occurrence),
      [1, 2],
    );
    sample.finishRuns(job, at(2_200));
    assert.equal(job.status, 'completed');
  });
});
