import type {JobState, RunNumber} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {reconcileListing} from '../../ListingReconciler.ts';
import {at, NO_SHARING_COSTS, queue, SampleFleet, shape} from './Samples.ts';

describe('planStarts', () => {
  describe('capacity', () => {
    it('never places more on a minion than its capacity', () => {
      const sample = new SampleFleet(2);
      sample.addJob('proofs', [shape({count: 20})]);
      assert.equal(sample.plan(0).length, 8);
      assert.equal(sample.plan(1).length, 0);
    });

    it('reserves the resources of a stopping run until its result is known', () => {
      const sample = new SampleFleet(1);
      const job = sample.addJob('proofs', [shape({count: 4})]);
      sample.plan(0);
      sample.fleet.cancelJob(job);
      sample.addJob('proofs', [shape()]);
      assert.equal(sample.plan(1).length, 0);
      sample.finishRuns(job, at(2));
      assert.equal(sample.plan(3).length, 1);
    });

    it('does not reserve the processors of backfill tasks', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 4, fillsSpareCpu: true})]);
      sample.addJob('proofs', [shape({count: 4})]);
      assert.equal(sample.plan(0).length, 8);
    });
  });

  describe('a backlog of backfill steps', () => {
    it('places one task of a step that has waited, not all of them', () => {
      const sample = new SampleFleet(3);
      const job = sample.addJob('proofs', [shape({count: 6, fillsSpareCpu: true})]);
      const step = job.occurrence(0)?.[0];
      // Costs that allow a step only after a wait, as on minions with serving tasks.
      const sharingCosts = {
        ...NO_SHARING_COSTS,
        backfillCost: (): number | undefined =>
          (step?.placedAt ?? step?.readyAt ?? 0) < 5_000 && step?.readyAt !== undefined
            ? 0
            : undefined,
      };
      assert.ok(step);
      step.readyAt = at(0);
      assert.equal(sample.plan(10_000, sharingCosts).length, 1);
    });

    it('waits before it retries a step that found no minion', () => {
      const sample = new SampleFleet(1);
      let calls = 0;
      const sharingCosts = {
        ...NO_SHARING_COSTS,
        backfillCost: (): undefined => {
          calls += 1;
          return undefined;
        },
      };
      sample.addJob('proofs', [shape({fillsSpareCpu: true})]);
      sample.plan(0, sharingCosts);
      sample.plan(50, sharingCosts);
      assert.equal(calls, 1);
      sample.plan(200, sharingCosts);
      assert.equal(calls, 2);
    });

    it('retries other kinds of steps that found no minion at once', () => {
      const sample = new SampleFleet(1);
      const first = sample.addJob('proofs', [shape({count: 4})]);
      sample.addJob('proofs', [shape()]);
      sample.plan(0);
      sample.finishRuns(first, at(1));
      assert.equal(sample.plan(2).length, 1);
    });
  });

  describe('recovery', () => {
    it('restarts a task whose run it has seen, while other tasks of former owners wait', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape({count: 2, longRunning: true})]);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion);
      sample.fleet.recoveryRevision = job.revision;
      const task = {index: 1, job: job.id, occurrence: 0, step: 0};
      const number = 1001 as RunNumber;
      const report = {checkpoint: undefined, number, percent: 100, reading: 10, task};
      const listing = {
        bornAt: 1,
        clockMs: 0,
        ended: [],
        mayOmitResults: false,
        running: [report],
      };
      reconcileListing(sample.fleet, minion, listing, {
        appliedThrough: 0,
        now: at(1),
        requestedAt: at(0),
      });
      assert.equal(sample.plan(2).length, 0);
      const end = {checkpoint: undefined, number, outcome: 'failed' as const, sequence: 1, task};
      const ended = {
        bornAt: 1,
        clockMs: 0,
        ended: [end],
        mayOmitResults: false,
        running: [],
      };
      reconcileListing(sample.fleet, minion, ended, {
        appliedThrough: 0,
        now: at(4),
        requestedAt: at(3),
      });
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

    it('does not restart a task after a failed run that it has not seen live', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape({longRunning: true})]);
      const [minion] = [...sample.fleet.minions.values()];
      assert.ok(minion);
      sample.fleet.recoveryRevision = job.revision;
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      const number = 1001 as RunNumber;
      const end = {checkpoint: undefined, number, outcome: 'failed' as const, sequence: 1, task};
      const ended = {
        bornAt: 1,
        clockMs: 0,
        ended: [end],
        mayOmitResults: false,
        running: [],
      };
      reconcileListing(sample.fleet, minion, ended, {
        appliedThrough: 0,
        now: at(1),
        requestedAt: at(0),
      });
      // The former owner may have received the result and started the task on another minion.
      assert.equal(sample.plan(2).length, 0);
    });
  });

  describe('constraints of a step', () => {
    it('waits for the steps that it depends on', () => {
      const sample = new SampleFleet(1);
      const job = sample.addJob('proofs', [shape(), shape({after: [0]})]);
      assert.deepEqual(
        sample.plan(0).map(({task}) => task.step),
        [0],
      );
      sample.finishRuns(job, at(5));
      assert.deepEqual(
        sample.plan(6).map(({task}) => task.step),
        [1],
      );
    });

    it('places at most the permitted number of tasks on a minion', () => {
      const sample = new SampleFleet(3);
      sample.addJob('proofs', [shape({count: 5, maxPerMinion: 1})]);
      const runs = sample.plan(0);
      assert.equal(runs.length, 3);
      assert.equal(new Set(runs.map(({minion}) => minion)).size, 3);
    });

    it('places tasks only on minions with the required label', () => {
      const sample = new SampleFleet(1);
      sample.addMinion('gpu', {labels: ['b', 'r1']});
      sample.addJob('proofs', [shape({requiredLabel: 'b'})]);
      assert.deepEqual(
        sample.plan(0).map(({minion}) => minion),
        ['gpu'],
      );
    });

    it('starts all tasks of a gang under one run number, or none of them', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 5, gang: true})]);
      assert.equal(sample.plan(0).length, 0);
      assert.equal([...sample.fleet.minions.values()][0]?.reserved.cpuMilli, 0);
      sample.addMinion('m2');
      const runs = sample.plan(1);
      assert.equal(runs.length, 5);
      assert.equal(new Set(runs.map(({number}) => number)).size, 1);
    });

    it('starts nothing on a draining, unreachable, quarantined or unregistered minion', () => {
      const sample = new SampleFleet(0);
      sample.addMinion('unregistered').isRegistered = false;
      sample.addMinion('draining', {isDraining: true});
      sample.addMinion('unreachable').missedCalls = 1;
      sample.addMinion('recorded').isRecordedUnreachable = true;
      sample.addMinion('quarantined').trust.recordStall(at(0));
      sample.addJob('proofs', [shape()]);
      assert.equal(sample.plan(1).length, 0);
    });
  });

  describe('after a failed run', () => {
    it('retries the task on another minion under a higher run number', () => {
      const sample = new SampleFleet(2);
      sample.addJob('proofs', [shape()]);
      const [first] = sample.plan(0);
      assert.ok(first);
      sample.fleet.finishRun(first, 'failed', undefined, at(1));
      const [second] = sample.plan(2);
      assert.ok(second);
      assert.notEqual(second.minion, first.minion);
      assert.ok(second.number > first.number);
    });

    it('fails the job after the number of failures that its queue allows', () => {
      const sample = new SampleFleet(3);
      const job = sample.addJob('proofs', [shape()]);
      for (const now of [0, 10]) {
        const [run] = sample.plan(now);
        assert.ok(run);
        sample.fleet.finishRun(run, 'failed', undefined, at(now + 1));
      }
      assert.equal(job.status, 'failed');
      assert.equal(sample.plan(20).length, 0);
    });

    it('waits for the result of a lost run that may have been the last attempt', () => {
      const sample = new SampleFleet(3);
      sample.addJob('proofs', [shape()]);
      const [first] = sample.plan(0);
      assert.ok(first);
      const silent = sample.fleet.minions.get(first.minion);
      assert.ok(silent);
      sample.fleet.expireLease(silent);
      silent.missedCalls = 2;
      const [second] = sample.plan(10);
      assert.ok(second, 'one attempt is left whatever the result of the first');
      sample.fleet.finishRun(second, 'failed', undefined, at(20));
      assert.equal(sample.plan(30).length, 0);
      sample.fleet.clearUnknownResults(silent);
      assert.equal(sample.plan(40).length, 1);
    });

    it('counts a failed run once when its result is applied twice', () => {
      const sample = new SampleFleet(2);
      const job = sample.addJob('proofs', [shape()]);
      const step = job.occurrence(0)?.[0];
      assert.ok(step);
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      sample.fleet.applyResult(step, task, 1 as RunNumber, 'failed', undefined);
      sample.fleet.applyResult(step, task, 1 as RunNumber, 'failed', undefined);
      assert.equal(job.status, 'queued');
    });
  });

  describe('order', () => {
    it('starts jobs of the queue with the lower priority number first', () => {
      const sample = new SampleFleet(1, [queue('digests', {priority: 2}), queue('alerts')]);
      sample.addJob('digests', [shape({count: 4})]);
      const alert = sample.addJob('alerts', [shape({count: 4})]);
      assert.deepEqual(new Set(sample.plan(0).map(({task}) => task.job)), new Set([alert.id]));
    });

    it('starts jobs that can meet their objective before overdue ones', () => {
      const sample = new SampleFleet(1);
      sample.addJob('proofs', [shape({count: 4})], -60_000);
      const fresh = sample.addJob('proofs', [shape({count: 4})]);
      assert.deepEqual(new Set(sample.plan(0).map(({task}) => task.job)), new Set([fresh.id]));
    });
  });

  describe('a long-running task that fails', () => {
    it('restarts at once, before short work takes its capacity', () => {
      const sample = new SampleFleet(2);
      const longRunningJob = sample.addJob('proofs', [shape({count: 6, longRunning: true})]);
      const runs = sample.plan(0);
      const failed = runs.find(({task}) => task.job === longRunningJob.id);
      assert.ok(failed);
      for (let job = 0; job < 3; job += 1) {
        sample.addJob('proofs', [shape({count: 2, estimateMs: 100})]);
      }
      sample.plan(1);
      sample.fleet.finishRun(failed, 'failed', undefined, at(2));
      const [first] = sample.plan(3);
      assert.equal(first?.task.job, longRunningJob.id);
    });
  });

  describe('long-running jobs that would take the whole fleet', () => {
    /**
     * Submits four short tasks every 100 ms beside jobs that never end. Returns how many of the
     * tasks start at once.
     */
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
        sample.finishRuns(job, at(now + 99));
      }
      return started;
    }

    it('leave capacity, so that short work starts at once', () => {
      assert.equal(countShortStarts(12), 80);
    });

    it('start as long as enough capacity remains for short work', () => {
      const sample = new SampleFleet(10);
      const jobs = Array.from({length: 8}, () =>
        sample.addJob('proofs', [shape({count: 4, longRunning: true})]),
      );
      sample.plan(0);
      assert.ok(jobs.every(({hasStarted}) => hasStarted));
    });
  });

  describe('a wide long-running job beside a stream of narrow ones', () => {
    const ROUND_MS = 100;
    const NARROW_MS = 8_000;
    const TASKS = 12;
    /** Wait in milliseconds in which room for the wide job is released. */
    const BOUND_MS = 30_000;

    const countRuns = (job: JobState): number =>
      [...job.steps()].reduce((sum, {liveRuns}) => sum + liveRuns, 0);

    /** Returns the tasks at work of the wide job and of each narrow one, of two tasks, after the bound. */
    function playStream(narrowEachMs: number): {narrow: readonly number[]; wide: number} {
      const sample = new SampleFleet(10);
      const live: {endsAtMs: number; job: JobState}[] = [];
      for (let job = 0; job < 16; job += 1) {
        live.push({
          endsAtMs: (job + 1) * 500,
          job: sample.addJob('proofs', [shape({count: 2, longRunning: true})]),
        });
      }
      sample.plan(0);
      const wide = sample.addJob('proofs', [shape({count: TASKS, longRunning: true})], 1);
      for (let now = ROUND_MS; now <= BOUND_MS; now += ROUND_MS) {
        if (now % narrowEachMs === 0) {
          const job = sample.addJob('proofs', [shape({count: 2, longRunning: true})], now);
          live.push({endsAtMs: now + NARROW_MS, job});
        }
        for (const {job} of live.filter(({endsAtMs}) => endsAtMs === now)) {
          sample.finishRuns(job, at(now));
          sample.fleet.jobs.delete(job.id);
        }
        const short = sample.addJob('proofs', [shape({count: 2, estimateMs: 100})], now);
        sample.plan(now);
        sample.finishRuns(short, at(now + ROUND_MS - 1));
      }
      const narrow = live.filter(({endsAtMs}) => endsAtMs > BOUND_MS);
      return {narrow: narrow.map(({job}) => countRuns(job)), wide: countRuns(wide)};
    }

    it('has all its tasks at work within the bound, although each later one needs less', () => {
      assert.equal(playStream(1_000).wide, TASKS);
    });

    it('has no smaller share at work than they but for a task of each, where they ask for more than there is', () => {
      const {narrow, wide} = playStream(500);
      assert.ok(wide < TASKS, `${wide} tasks of the wide job`);
      assert.ok(narrow.length > 0);
      for (const tasks of narrow) {
        assert.ok((tasks - 1) / 2 <= wide / TASKS, `${wide} of ${TASKS}, ${tasks} of 2`);
      }
      const all = narrow.reduce((sum, tasks) => sum + tasks / 2, wide / TASKS);
      const average = all / (narrow.length + 1);
      assert.ok(wide / TASKS >= average / 2, `${wide} of ${TASKS}, average ${average}`);
    });
  });

  describe('a long-running job of which not all tasks have room', () => {
    it('starts as many as have, and the others do not precede short work', () => {
      const sample = new SampleFleet(10);
      const job = sample.addJob('proofs', [shape({count: 50, longRunning: true})]);
      assert.equal(sample.plan(0).length, 34);
      const short = sample.addJob('proofs', [shape({count: 6})], 1);
      assert.deepEqual(
        sample.plan(1).map(({task}) => task.job),
        Array.from({length: 6}, () => short.id),
      );
      assert.equal(job.status, 'running');
    });

    it('does not keep later jobs waiting when no minion fits a task of it', () => {
      const sample = new SampleFleet(10);
      const unfit = shape({count: 50, longRunning: true, requiredLabel: 'none'});
      sample.addJob('proofs', [unfit]);
      const later = sample.addJob('proofs', [shape({count: 2, longRunning: true})], 200_000);
      assert.deepEqual(
        sample.plan(200_000).map(({task}) => task.job),
        [later.id, later.id],
      );
    });

    it('restarts an interrupted task above the limit', () => {
      const sample = new SampleFleet(10);
      sample.addJob('proofs', [shape({count: 50, longRunning: true})]);
      const [run] = sample.plan(0);
      assert.ok(run, 'no task started');
      sample.addJob('proofs', [shape({count: 4})], 1);
      sample.plan(1);
      sample.fleet.finishRun(run, 'failed', undefined, at(2));
      assert.deepEqual(
        sample.plan(3).map(({task}) => task.index),
        [run.task.index],
      );
    });

    it('restarts a task above the limit when a former owner had started its job', () => {
      const sample = new SampleFleet(10);
      sample.addJob('proofs', [shape({count: 50, longRunning: true})]);
      assert.notEqual(sample.plan(0).length, 0);
      const started = sample.addJob('proofs', [shape({longRunning: true})], 1, 'running');
      assert.deepEqual(
        sample.plan(1).map(({step}) => step.job),
        [started],
      );
    });
  });
});
