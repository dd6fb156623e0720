import type {Checkpoint, JobState, RunNumber, StepShape, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionListing, RunReport, RunResult} from '../../ListingReconciler.ts';
import type {MinionState} from '../../MinionState.ts';

import {reconcileListing} from '../../ListingReconciler.ts';
import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {at, queue, RecordedEvents, SampleFleet, shape} from './Samples.ts';

function getFirstStep(job: JobState): StepState {
  const step = job.occurrence(0)?.[0];
  assert.ok(step);
  return step;
}

function running(job: JobState, number: number, index = 0): RunReport {
  return {
    checkpoint: undefined,
    number: number as RunNumber,
    percent: 50,
    reading: undefined,
    task: {index, job: job.id, occurrence: 0, step: 0},
  };
}

function ended(
  job: JobState,
  number: number,
  outcome: RunResult['outcome'],
  sequence = 1,
): RunResult {
  return {...running(job, number), checkpoint: undefined, outcome, sequence};
}

function reconcile(
  sample: SampleFleet,
  minion: MinionState,
  listing: Partial<MinionListing>,
  times = {appliedThrough: 0, now: at(101), requestedAt: at(100)},
): void {
  const empty = {bornAt: 1, clockMs: 0, ended: [], mayOmitResults: false, running: []};
  const whole = {...empty, ...listing};
  reconcileListing(sample.fleet, minion, whole, times);
}

describe('reconcileListing', () => {
  describe('a result of a run under a former owner', () => {
    // Guards against work that counts as overdue although it ran until a moment ago.
    for (const [outcome, heldSince] of [
      ['done', 101],
      ['failed', 101],
      ['stopped', 0],
    ] as const) {
      it(`begins the waits of its job anew unless it was stopped (${outcome})`, () => {
        const sample = new SampleFleet(0);
        const minion = sample.addMinion('m1');
        const job = sample.addJob('proofs', [shape({count: 2})]);
        job.heldSince = at(0);
        const step = getFirstStep(job);
        step.heldSince = at(0);
        reconcile(sample, minion, {ended: [ended(job, 1, outcome)]});
        assert.deepEqual([job.heldSince, step.heldSince], [heldSince, heldSince]);
        assert.equal(step.turnAt, heldSince);
        // Stored by then, the same result tells nothing new.
        const later = {appliedThrough: 0, now: at(301), requestedAt: at(300)};
        reconcile(sample, minion, {ended: [ended(job, 1, outcome)]}, later);
        assert.equal(job.heldSince, heldSince);
      });
    }
  });

  describe('a run that this owner did not start', () => {
    it('is adopted when its task has no other run', () => {
      const sample = new SampleFleet(0);
      const minion = sample.addMinion('m1');
      const job = sample.addJob('proofs', [shape()]);
      reconcile(sample, minion, {running: [running(job, 3)]});
      assert.equal(sample.plan(200).length, 0);
      assert.equal(minion.reserved.cpuMilli, 1_000);
    });

    it('is stopped when its task has another run, and prevents a third start until it ends', () => {
      const sample = new SampleFleet(0);
      const [first, second] = [sample.addMinion('m1'), sample.addMinion('m2')];
      const job = sample.addJob('proofs', [shape()]);
      reconcile(sample, first, {running: [running(job, 2)]});
      reconcile(sample, second, {running: [running(job, 1)]});
      assert.deepEqual(
        sample.fleet.pendingStops.map(({minion, reason}) => [minion, reason]),
        [['m2', 'unknown']],
      );
      reconcile(sample, first, {ended: [ended(job, 2, 'stopped')]});
      assert.equal(sample.plan(200).length, 0, 'the task started while a run of it was stopping');
      reconcile(sample, second, {ended: [ended(job, 1, 'stopped')]});
      assert.equal(sample.plan(300).length, 1);
    });

    it('replaces a run with a lower number that is only known from a record', () => {
      const sample = new SampleFleet(0);
      const [lost, live] = [sample.addMinion('m1'), sample.addMinion('m2')];
      const job = sample.addJob('proofs', [shape()]);
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      const assumed = sample.fleet.adoptRun(getFirstStep(job), task, 1 as RunNumber, lost, at(0));
      assumed.knownFrom = 'record';
      reconcile(sample, live, {running: [running(job, 2)]});
      assert.equal(sample.fleet.pendingStops.length, 0);
      assert.equal(lost.runs.size, 0);
      assert.equal(live.runs.size, 1);
    });

    it('ends one with a lower number that is only known from a record when its own end is listed', () => {
      const sample = new SampleFleet(0);
      const [lost, live] = [sample.addMinion('m1'), sample.addMinion('m2')];
      const job = sample.addJob('proofs', [shape()]);
      const step = getFirstStep(job);
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      const assumed = sample.fleet.adoptRun(step, task, 1 as RunNumber, lost, at(0));
      assumed.knownFrom = 'record';
      reconcile(sample, live, {ended: [ended(job, 2, 'failed')]});
      assert.equal(lost.runs.size, 0);
      // The earlier run may have failed too, and its minion may still say so.
      assert.equal(step.countPossibleFailures(0), 2);
    });

    it('is stopped when its job is over', () => {
      const sample = new SampleFleet(0);
      const minion = sample.addMinion('m1');
      const job = sample.addJob('proofs', [shape()]);
      sample.fleet.cancelJob(job);
      reconcile(sample, minion, {running: [running(job, 1)]});
      assert.equal(sample.fleet.pendingStops.length, 1);
    });
  });

  describe('the events of a listing', () => {
    it('name all runs that it adopts once, before the stops of those that are not wanted', () => {
      const log = new RecordedEvents();
      const sample = new SampleFleet(0, [queue('proofs')], log);
      const minion = sample.addMinion('m1');
      const [first, second] = [
        sample.addJob('proofs', [shape()]),
        sample.addJob('proofs', [shape()]),
      ];
      const listing = {running: [running(first, 1), running(second, 7), running(second, 6)]};
      reconcile(sample, minion, listing);
      reconcile(sample, minion, listing);
      const named = `${first.id}.0.0.0/1 ${second.id}.0.0.0/7 ${second.id}.0.0.0/6`;
      const task = `${second.id}.0.0.0`;
      assert.deepEqual(log.events, [
        {fields: {minion: 'm1', named, runs: 3}, kind: SCHEDULING_EVENTS.RUNS_ADOPTED},
        {
          fields: {job: second.id, minion: 'm1', reason: 'unknown', run: 6, task},
          kind: SCHEDULING_EVENTS.RUN_STOPPED,
        },
      ]);
    });
  });

  describe('a result', () => {
    it('is applied once, although it is listed until it is acknowledged', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      const job = sample.addJob('proofs', [shape({count: 2})]);
      sample.plan(0);
      const listing = {ended: [ended(job, 1, 'done')], running: [running(job, 1, 1)]};
      reconcile(sample, minion, listing);
      reconcile(sample, minion, listing, {appliedThrough: 1, now: at(201), requestedAt: at(200)});
      assert.equal(getFirstStep(job).done.size, 1);
      assert.equal(job.isFinal, false);
    });

    it('passes its checkpoint to the next run of the task', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      const job = sample.addJob('proofs', [shape({checkpoints: true})]);
      sample.plan(0);
      const end = {...ended(job, 1, 'stopped'), checkpoint: 'saved-1' as Checkpoint};
      reconcile(sample, minion, {ended: [end]});
      const [next] = sample.plan(300);
      assert.equal(next?.checkpoint, 'saved-1');
    });
  });

  describe('a run that is missing in the listing', () => {
    it('is lost when it was confirmed before the call', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      sample.addJob('proofs', [shape()]);
      const [run] = sample.plan(0);
      assert.ok(run);
      run.confirmedAt = at(50);
      reconcile(sample, minion, {});
      assert.equal(minion.runs.size, 0);
      assert.equal(sample.plan(300).length, 1);
    });

    it('is kept when its start is not confirmed yet', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      sample.addJob('proofs', [shape()]);
      sample.plan(0);
      reconcile(sample, minion, {});
      assert.equal(minion.runs.size, 1);
    });

    describe('while the minion may omit results', () => {
      const later = {appliedThrough: 0, now: at(201), requestedAt: at(200)};
      let sample: SampleFleet;
      let minion: MinionState;

      function startConfirmed(change: Partial<StepShape> = {}): JobState {
        const job = sample.addJob('proofs', [shape(change)]);
        for (const run of sample.plan(0)) {
          run.confirmedAt = at(50);
        }
        return job;
      }

      beforeEach(() => {
        sample = new SampleFleet(1);
        const [only] = sample.fleet.minions.values();
        assert.ok(only);
        minion = only;
      });

      it('does not let its task start a second time before its result is listed', () => {
        const job = startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        assert.equal(sample.plan(150).length, 0, 'the task started again');
        reconcile(sample, minion, {ended: [ended(job, 1, 'done')]}, later);
        assert.equal(job.status, 'completed');
        assert.equal(minion.endedRuns.size, 0);
      });

      it('counts as an attempt of its task when its result shows that it has failed', () => {
        const job = startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        reconcile(sample, minion, {ended: [ended(job, 1, 'failed')]}, later);
        assert.equal(getFirstStep(job).countPossibleFailures(0), 1);
        assert.equal(minion.endedRuns.size, 0);
      });

      it('reserves nothing', () => {
        startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        assert.equal(minion.runs.size, 0);
        assert.equal(minion.reserved.cpuMilli, 0);
      });

      it('is lost once the minion lists all its results without its own', () => {
        startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        reconcile(sample, minion, {}, later);
        assert.equal(sample.plan(300).length, 1);
      });

      it('is live again when a later listing names it', () => {
        const job = startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        reconcile(sample, minion, {running: [running(job, 1)]}, later);
        assert.equal(minion.runs.size, 1);
        assert.equal(minion.reserved.cpuMilli, 1_000);
        assert.equal(minion.endedRuns.size, 0);
      });

      it('is not stopped with its job', () => {
        const job = startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        sample.fleet.cancelJob(job);
        assert.equal(sample.fleet.pendingStops.length, 0);
      });

      it('is lost at once when its task is to last, since that starts again in any case', () => {
        startConfirmed({longRunning: true});
        reconcile(sample, minion, {mayOmitResults: true});
        assert.equal(sample.plan(150).length, 1);
      });

      it('is lost when the lease of the minion has expired and it does not respond', () => {
        startConfirmed();
        reconcile(sample, minion, {mayOmitResults: true});
        sample.fleet.expireLease(minion);
        assert.equal(sample.plan(150).length, 0, 'the minion still lists its results');
        minion.missedCalls = 2;
        sample.fleet.expireLease(minion);
        minion.missedCalls = 0;
        assert.equal(sample.plan(300).length, 1);
      });
    });
  });
});
