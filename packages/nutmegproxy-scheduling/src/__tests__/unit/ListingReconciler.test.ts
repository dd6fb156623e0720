import type {Checkpoint, JobState, RunNumber, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionListing, RunReport, RunResult} from '../../ListingReconciler.ts';
import type {MinionState} from '../../MinionState.ts';

import {reconcileListing} from '../../ListingReconciler.ts';
import {at, SampleFleet, shape} from './Samples.ts';

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

function review(
  sample: SampleFleet,
  minion: MinionState,
  listing: Partial<MinionListing>,
  times = {appliedThrough: 0, now: at(101), requestedAt: at(100)},
): void {
  const whole = {bornAt: 1, clockMs: 0, ended: [], running: [], ...listing};
  reconcileListing(sample.fleet, minion, whole, times);
}

describe('reviewListing', () => {
  describe('a run that this owner did not start', () => {
    it('is taken over when its task has none', () => {
      const sample = new SampleFleet(0);
      const minion = sample.addMinion('m1');
      const job = sample.addJob('proofs', [shape()]);
      review(sample, minion, {running: [running(job, 3)]});
      assert.equal(sample.plan(200).length, 0);
      assert.equal(minion.reserved.cpuMilli, 1_000);
    });

    it('is stopped when its task runs elsewhere, and keeps the task from a third start', () => {
      const sample = new SampleFleet(0);
      const [first, second] = [sample.addMinion('m1'), sample.addMinion('m2')];
      const job = sample.addJob('proofs', [shape()]);
      review(sample, first, {running: [running(job, 2)]});
      review(sample, second, {running: [running(job, 1)]});
      assert.deepEqual(
        sample.fleet.pendingStops.map(({minion, reason}) => [minion, reason]),
        [['m2', 'unknown']],
      );
      review(sample, first, {ended: [ended(job, 2, 'stopped')]});
      assert.equal(sample.plan(200).length, 0, 'started beside a run that is being stopped');
      review(sample, second, {ended: [ended(job, 1, 'stopped')]});
      assert.equal(sample.plan(300).length, 1);
    });

    it('replaces one that is only known from a record and has a lower number', () => {
      const sample = new SampleFleet(0);
      const [lost, live] = [sample.addMinion('m1'), sample.addMinion('m2')];
      const job = sample.addJob('proofs', [shape()]);
      const task = {index: 0, job: job.id, occurrence: 0, step: 0};
      const assumed = sample.fleet.adoptRun(getFirstStep(job), task, 1 as RunNumber, lost, at(0));
      assumed.knownFrom = 'record';
      review(sample, live, {running: [running(job, 2)]});
      assert.equal(sample.fleet.pendingStops.length, 0);
      assert.equal(lost.runs.size, 0);
      assert.equal(live.runs.size, 1);
    });

    it('is stopped when its job is over', () => {
      const sample = new SampleFleet(0);
      const minion = sample.addMinion('m1');
      const job = sample.addJob('proofs', [shape()]);
      sample.fleet.cancelJob(job);
      review(sample, minion, {running: [running(job, 1)]});
      assert.equal(sample.fleet.pendingStops.length, 1);
    });
  });

  describe('an end', () => {
    it('is applied once, though it is listed until it is acknowledged', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      const job = sample.addJob('proofs', [shape({count: 2})]);
      sample.plan(0);
      const listing = {ended: [ended(job, 1, 'done')], running: [running(job, 1, 1)]};
      review(sample, minion, listing);
      review(sample, minion, listing, {appliedThrough: 1, now: at(201), requestedAt: at(200)});
      assert.equal(getFirstStep(job).done.size, 1);
      assert.equal(job.isFinal, false);
    });

    it('brings the checkpoint to the next run of its task', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      const job = sample.addJob('proofs', [shape({checkpoints: true})]);
      sample.plan(0);
      const end = {...ended(job, 1, 'stopped'), checkpoint: 'saved-1' as Checkpoint};
      review(sample, minion, {ended: [end]});
      const [next] = sample.plan(300);
      assert.equal(next?.checkpoint, 'saved-1');
    });
  });

  describe('a run that is missing in the listing', () => {
    it('is over when it was confirmed before the call', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      sample.addJob('proofs', [shape()]);
      const [run] = sample.plan(0);
      assert.ok(run);
      run.confirmedAt = at(50);
      review(sample, minion, {});
      assert.equal(minion.runs.size, 0);
      assert.equal(sample.plan(300).length, 1);
    });

    it('may still come when its start has no answer yet', () => {
      const sample = new SampleFleet(1);
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      sample.addJob('proofs', [shape()]);
      sample.plan(0);
      review(sample, minion, {});
      assert.equal(minion.runs.size, 1);
    });
  });
});
