import type {RunNumber} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {reviewListing} from '../../ListingReview.ts';
import {at, queue, SampleFleet, shape} from './Samples.ts';

describe('planStarts', () => {
  describe('room', () => {
    it('never places more on a minion than it has', () => {
      const sample = new SampleFleet(2);
      sample.addJob('proofs', [shape({count: 20})]);
      assert.equal(sample.plan(0).length, 8);
      assert.equal(sample.plan(1).length, 0);
    });

    it('counts what is being stopped until its end', () => {
      const sample = new SampleFleet(1);
      const job = sample.addJob('proofs', [shape({count: 4})]);
      sample.plan(0);
      sample.fleet.cancelJob(job);
      sample.addJob('proofs', [shape()]);
      assert.equal(sample.plan(1).length, 0);
      sample.finish(job, at(2));
      assert.equal(sample.plan(3).length, 1);
    });

    it('does not count the processors of filling tasks', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 4, fillsSpareCpu: true})]);
      sample.addJob('proofs', [shape({count: 4})]);
      assert.equal(sample.plan(0).length, 8);
    });
  });

  describe('a backlog of filling steps', () => {
    it('lets in one task of a step that has waited, not all of them', () => {
      const sample = new SampleFleet(3);
      const job = sample.addJob('proofs', [shape({count: 6, fillsSpareCpu: true})]);
      const step = job.occurrence(0)?.[0];
      // A policy that bears a step only after a wait, as beside serving tasks.
      const view = {
        fillingCost: (): number | undefined =>
          (step?.placedAt ?? step?.readyAt ?? 0) < 5_000 && step?.readyAt !== undefined
            ? 0
            : undefined,
        servingCost: () => 0,
      };
      assert.ok(step);
      step.readyAt = at(0);
      assert.equal(sample.plan(10_000, view).length, 1);
    });

    it('leaves a step that found no minion alone for a moment', () => {
      const sample = new SampleFleet(1);
      let looks = 0;
      const view = {
        fillingCost: (): undefined => {
          looks += 1;
          return undefined;
        },
        servingCost: () => 0,
      };
      sample.addJob('proofs', [shape({fillsSpareCpu: true})]);
      sample.plan(0, view);
      sample.plan(50, view);
      assert.equal(looks, 1);
      sample.plan(200, view);
      assert.equal(looks, 2);
    });

    it('does not keep other steps waiting that found no minion', () => {
      const sample = new SampleFleet(1);
      const first = sample.addJob('proofs', [shape({count: 4})]);
      sample.addJob('proofs', [shape()]);
      sample.plan(0);
      sample.finish(first, at(1));
      assert.equal(sample.plan(2).length, 1);
    });
  });

  describe('recovery', () => {
    it('starts again what it saw run, while other tasks of former owners wait', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape({count: 2, longRunning: true})]);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion);
      sample.fleet.recoveryRevision = job.revision;
      const task = {index: 1, job: job.id, occurrence: 0, step: 0};
      const number = 1001 as RunNumber;
      const report = {checkpoint: undefined, number, percent: 100, reading: 10, task};
      const listing = {bornAt: 1, clockMs: 0, ended: [], running: [report]};
      reviewListing(sample.fleet, minion, listing, {askedAt: at(0), now: at(1), seenThrough: 0});
      assert.equal(sample.plan(2).length, 0);
      const end = {checkpoint: undefined, number, outcome: 'failed' as const, sequence: 1, task};
      const ended = {bornAt: 1, clockMs: 0, ended: [end], running: []};
      reviewListing(sample.fleet, minion, ended, {askedAt: at(3), now: at(4), seenThrough: 0});
      assert.deepEqual(
        sample.plan(5).map((run) => run.task.index),
        [1],
      );
      sample.fleet.recoveryRevision = 0;
      assert.deepEqual(
        sample.plan(6).map((run) => run.task.index),
        [0],
      );
    });

    it('does not take an end for proof when it did not see the run', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape({longRunning: true})]);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion);
      sample.fleet.recoveryRevision = job.revision;
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      const number = 1001 as RunNumber;
      const end = {checkpoint: undefined, number, outcome: 'failed' as const, sequence: 1, task};
      const ended = {bornAt: 1, clockMs: 0, ended: [end], running: []};
      reviewListing(sample.fleet, minion, ended, {askedAt: at(0), now: at(1), seenThrough: 0});
      // The former owner may have seen the end and started the task elsewhere.
      assert.equal(sample.plan(2).length, 0);
    });
  });

  describe('conditions of a step', () => {
    it('waits for the steps before it', () => {
      const sample = new SampleFleet(1);
      const job = sample.addJob('proofs', [shape(), shape({after: [0]})]);
      assert.deepEqual(
        sample.plan(0).map(({task}) => task.step),
        [0],
      );
      sample.finish(job, at(5));
      assert.deepEqual(
        sample.plan(6).map(({task}) => task.step),
        [1],
      );
    });

    it('keeps to the number of tasks that may share a minion', () => {
      const sample = new SampleFleet(3);
      sample.addJob('proofs', [shape({count: 5, maxPerMinion: 1})]);
      const runs = sample.plan(0);
      assert.equal(runs.length, 3);
      assert.equal(new Set(runs.map(({minion}) => minion)).size, 3);
    });

    it('needs the label', () => {
      const sample = new SampleFleet(1);
      sample.addMinion('gpu', {labels: ['b', 'r1']});
      sample.addJob('proofs', [shape({requiredLabel: 'b'})]);
      assert.deepEqual(
        sample.plan(0).map(({minion}) => minion),
        ['gpu'],
      );
    });

    it('starts a gang whole, under one number, or not at all', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 5, gang: true})]);
      assert.equal(sample.plan(0).length, 0);
      assert.equal([...sample.fleet.minions.values()][0]?.reserved.cpuMilli, 0);
      sample.addMinion('m2');
      const runs = sample.plan(1);
      assert.equal(runs.length, 5);
      assert.equal(new Set(runs.map(({number}) => number)).size, 1);
    });

    it('starts nothing on a leaving, silent, quarantined or unenrolled minion', () => {
      const sample = new SampleFleet(0);
      sample.addMinion('unenrolled').isEnrolled = false;
      sample.addMinion('leaving', {isDraining: true});
      sample.addMinion('silent').missedCalls = 1;
      sample.addMinion('marked').isMarkedSilent = true;
      sample.addMinion('quarantined').trust.noteStall(at(0));
      sample.addJob('proofs', [shape()]);
      assert.equal(sample.plan(1).length, 0);
    });
  });

  describe('after a failed run', () => {
    it('goes elsewhere under a higher number', () => {
      const sample = new SampleFleet(2);
      sample.addJob('proofs', [shape()]);
      const [first] = sample.plan(0);
      assert.ok(first);
      sample.fleet.endRun(first, 'failed', undefined, at(1));
      const [second] = sample.plan(2);
      assert.ok(second);
      assert.notEqual(second.minion, first.minion);
      assert.ok(second.number > first.number);
    });

    it('fails the job after as many failures as its queue allows', () => {
      const sample = new SampleFleet(3);
      const job = sample.addJob('proofs', [shape()]);
      for (const now of [0, 10]) {
        const [run] = sample.plan(now);
        assert.ok(run);
        sample.fleet.endRun(run, 'failed', undefined, at(now + 1));
      }
      assert.equal(job.status, 'failed');
      assert.equal(sample.plan(20).length, 0);
    });

    it('waits for the end of a lost run that may have been the last attempt', () => {
      const sample = new SampleFleet(3);
      sample.addJob('proofs', [shape()]);
      const [first] = sample.plan(0);
      assert.ok(first);
      const silent = sample.fleet.minions.get(first.minion);
      assert.ok(silent);
      sample.fleet.lapse(silent);
      silent.missedCalls = 2;
      const [second] = sample.plan(10);
      assert.ok(second, 'one attempt is left whatever became of the first');
      sample.fleet.endRun(second, 'failed', undefined, at(20));
      assert.equal(sample.plan(30).length, 0);
      sample.fleet.settleEnds(silent);
      assert.equal(sample.plan(40).length, 1);
    });

    it('counts one failed run once, though two owners hear of it', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape()]);
      const step = job.occurrence(0)?.[0];
      assert.ok(step);
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      sample.fleet.noteEnd(step, task, 1 as RunNumber, 'failed', undefined);
      sample.fleet.noteEnd(step, task, 1 as RunNumber, 'failed', undefined);
      assert.equal(job.status, 'queued');
    });
  });

  describe('order', () => {
    it('serves the queue with the lower priority number first', () => {
      const sample = new SampleFleet(1, [queue('digests', {priority: 2}), queue('alerts')]);
      sample.addJob('digests', [shape({count: 4})]);
      const alert = sample.addJob('alerts', [shape({count: 4})]);
      assert.deepEqual(new Set(sample.plan(0).map(({task}) => task.job)), new Set([alert.id]));
    });

    it('puts jobs that can be in time before those that are overdue', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 4})], -60_000);
      const fresh = sample.addJob('proofs', [shape({count: 4})]);
      assert.deepEqual(new Set(sample.plan(0).map(({task}) => task.job)), new Set([fresh.id]));
    });
  });

  describe('a long-running task that fails', () => {
    it('starts again at once, before short work takes its room', () => {
      const sample = new SampleFleet(2);
      const lasting = sample.addJob('proofs', [shape({count: 6, longRunning: true})]);
      const runs = sample.plan(0);
      const failed = runs.find(({task}) => task.job === lasting.id);
      assert.ok(failed);
      for (let job = 0; job < 3; job += 1) {
        sample.addJob('proofs', [shape({count: 2, estimateMs: 100})]);
      }
      sample.plan(1);
      sample.fleet.endRun(failed, 'failed', undefined, at(2));
      const [first] = sample.plan(3);
      assert.equal(first?.task.job, lasting.id);
    });
  });

  describe('long-running jobs that would take the whole fleet', () => {
    /** Callers of short work, four tasks every 100 ms, beside jobs that never give room back. */
    function countShortStarts(longJobs: number): number {
      const sample = new SampleFleet(10);
      for (let job = 0; job < longJobs; job += 1) {
        sample.addJob('proofs', [shape({count: 4, longRunning: true})]);
      }
      sample.plan(0);
      let started = 0;
      for (let now = 100; now <= 2_000; now += 100) {
        const job = sample.addJob('proofs', [shape({count: 4, estimateMs: 100})], now);
        started += sample.plan(now).filter(({task}) => task.job === job.id).length;
        sample.finish(job, at(now + 99));
      }
      return started;
    }

    it('leave room, so that short work starts at once', () => {
      assert.equal(countShortStarts(12), 80);
    });

    it('begin as long as there is room beside them', () => {
      const sample = new SampleFleet(10);
      const jobs = Array.from({length: 8}, () =>
        sample.addJob('proofs', [shape({count: 4, longRunning: true})]),
      );
      sample.plan(0);
      assert.ok(jobs.every(({hasStarted: started}) => started));
    });
  });
});
