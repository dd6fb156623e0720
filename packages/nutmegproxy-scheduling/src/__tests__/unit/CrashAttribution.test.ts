import type {JobState, Run, RunNumber, TaskCrash} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {CRASH_ATTRIBUTIONS} from '../../CrashAttribution.ts';
import {recordMinionCrash} from '../../CrashRecorder.ts';
import {CRASH_VERDICTS} from '../../CrashVerdict.ts';
import {at, SampleFleet, shape} from './Samples.ts';

/** A task that two minions have crashed under, the second one alone, has not started again by then. */
const RESTRAINED_MS = 4_000;

/** Confirms the runs of a minion at a time. */
function confirmRuns({runs}: MinionState, atMs: number): void {
  for (const run of runs) {
    run.phase = 'running';
    run.confirmedAt = at(atMs);
    run.knownFrom = 'listing';
  }
}

/** Crashes a minion, which last responded at `atMs` and is back two seconds later. */
function crash(
  {fleet}: SampleFleet,
  minion: MinionState,
  atMs: number,
  {mayBeCutOff = false} = {},
): void {
  minion.lastAnswerAt = at(atMs);
  minion.mayBeCutOff = mayBeCutOff;
  minion.silentSince = at(atMs + 20);
  minion.bornAt = (minion.bornAt ?? 0) + 1;
  recordMinionCrash(fleet, minion, at(atMs + 2_000));
  for (const run of [...minion.runs]) {
    fleet.recordLostRun(run, 'minion restarted');
  }
  minion.silentSince = undefined;
}

function listEvidence(job: JobState): string[] {
  return [...job.steps()].flatMap(({crashes}) =>
    crashes.indexes.flatMap((index) => crashes.of(index).map(({evidence}) => evidence)),
  );
}

function startOn(sample: SampleFleet, job: JobState, minion: MinionState, atMs: number): Run {
  const step = job.occurrence(0)?.[0];
  const index = [...(step?.waiting ?? [])][0];
  assert.ok(step !== undefined && index !== undefined);
  const run = sample.fleet.startRun(step, index, minion, at(atMs));
  run.confirmedAt = at(atMs);
  return run;
}

describe('CRASH_ATTRIBUTIONS', () => {
  it('counts a crash against runs that had just started, unlike the baseline', () => {
    const sample = new SampleFleet(0);
    const minion = sample.addMinion('m1');
    const [old, young] = [0, 1].map(() => sample.addJob('proofs', [shape()]));
    assert.ok(old && young);
    startOn(sample, old, minion, 0);
    confirmRuns(minion, 0);
    startOn(sample, young, minion, 3_000).confirmedAt = at(3_001);
    const exposed = minion.listExposedRuns(1);
    const inputs = {areRunsKnown: true, exposed, isDraining: false, others: []};
    assert.equal(CRASH_ATTRIBUTIONS.byMachine(inputs).recorded.length, 0);
    crash(sample, minion, 3_010);
    assert.deepEqual(listEvidence(young), ['shared']);
    assert.deepEqual(listEvidence(old), []);
  });

  it('counts no start that its minion did not confirm, as it may have crashed before', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape()]);
    const step = job.occurrence(0)?.[0];
    const [down, other] = [...sample.fleet.minions.values()];
    assert.ok(down && other);
    startOn(sample, job, down, 100).confirmedAt = undefined;
    crash(sample, down, 90);
    startOn(sample, job, other, 20_000);
    crash(sample, other, 20_010);
    assert.deepEqual(listEvidence(job), ['unconfirmed', 'alone']);
    assert.equal(CRASH_VERDICTS.byTrial(step?.crashes.of(0) ?? []), 'suspect');
  });

  it('counts no crash of a minion that may have been cut off before', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape()]);
    const step = job.occurrence(0)?.[0];
    for (const [round, minion] of [...sample.fleet.minions.values()].entries()) {
      startOn(sample, job, minion, round * 20_000);
      crash(sample, minion, round * 20_000 + 10, {mayBeCutOff: true});
    }
    assert.deepEqual(listEvidence(job), ['unconfirmed', 'unconfirmed']);
    assert.equal(CRASH_VERDICTS.byTrial(step?.crashes.of(0) ?? []), 'suspect');
  });

  it('does not count the departure of a draining minion', () => {
    const sample = new SampleFleet(0);
    const minion = sample.addMinion('m1', {isDraining: true});
    const job = sample.addJob('proofs', [shape()]);
    startOn(sample, job, minion, 0);
    crash(sample, minion, 10);
    assert.deepEqual(listEvidence(job), []);
  });

  it('counts no machines that fail together with one that ran nothing young', () => {
    const sample = new SampleFleet(3);
    const [idle, first, second] = [...sample.fleet.minions.values()];
    assert.ok(idle && first && second);
    const jobs = [first, second].map((minion) => {
      const job = sample.addJob('proofs', [shape()]);
      startOn(sample, job, minion, 100);
      return job;
    });
    // The idle one is noticed between the others, and has not restarted yet when the first one has.
    crash(sample, first, 110);
    assert.deepEqual(jobs.map(listEvidence), [['alone'], []]);
    crash(sample, idle, 110);
    crash(sample, second, 110);
    assert.deepEqual(jobs.map(listEvidence), [['coincident'], ['coincident']]);
  });

  describe('of two minions with a trial each at the same time', () => {
    function crashOnTrial(sample: SampleFleet, others: readonly MinionState[]): string[] {
      const trials = ['t1', 't2'].map((name) => {
        const minion = sample.addMinion(name);
        const job = sample.addJob('proofs', [shape()]);
        startOn(sample, job, minion, 1_000);
        const {number} = [...minion.runs][0] ?? {};
        assert.ok(number !== undefined);
        const trial = {bornAt: 1, minion: minion.id, run: number};
        job.occurrence(0)?.[0]?.crashes.trials.set(0, trial);
        return {job, minion};
      });
      for (const minion of [...others, ...trials.map((each) => each.minion)]) {
        crash(sample, minion, 4_000);
      }
      return trials.flatMap(({job}) => listEvidence(job));
    }

    it('counts both against the tasks on trial', () => {
      const sample = new SampleFleet(0);
      assert.deepEqual(crashOnTrial(sample, []), ['alone', 'alone']);
    });

    it('counts neither when another machine fails with them', () => {
      const sample = new SampleFleet(1);
      const others = [...sample.fleet.minions.values()];
      assert.deepEqual(crashOnTrial(sample, others), ['coincident', 'coincident']);
    });

    it('counts neither when another task had just started on a third one', () => {
      const sample = new SampleFleet(1);
      const others = [...sample.fleet.minions.values()];
      for (const minion of others) {
        startOn(sample, sample.addJob('proofs', [shape()]), minion, 4_000);
      }
      assert.deepEqual(crashOnTrial(sample, others), ['coincident', 'coincident']);
    });
  });

  it('suspects a run under which two minions crash late, and not one that ran for long', () => {
    const sample = new SampleFleet(2);
    const late = sample.addJob('proofs', [shape()]);
    const long = sample.addJob('proofs', [shape()]);
    const step = late.occurrence(0)?.[0];
    let now = 0;
    for (const minion of sample.fleet.minions.values()) {
      startOn(sample, long, minion, now);
      confirmRuns(minion, now);
      startOn(sample, late, minion, now + 19_000).confirmedAt = at(now + 19_000);
      crash(sample, minion, now + 20_000);
      now += 40_000;
    }
    assert.deepEqual(listEvidence(long), []);
    assert.equal(CRASH_VERDICTS.byTrial(step?.crashes.of(0) ?? []), 'suspect');
  });
});

describe('planTrials', () => {
  /** Plays a minute in which each run of a job crashes its minion; returns how often. */
  function countCrashes(
    sample: SampleFleet,
    job: JobState,
    beside: JobState,
    options?: {readonly mayBeCutOff: boolean},
    untilMs = 60_000,
  ): number {
    let starts = 0;
    for (let now = 0; now < untilMs; now += 100) {
      for (const run of sample.plan(now)) {
        run.confirmedAt = at(now);
        run.phase = 'running';
        run.knownFrom = 'listing';
      }
      for (const minion of sample.fleet.minions.values()) {
        if ([...minion.runs].some(({step}) => step.job === job)) {
          starts += 1;
          crash(sample, minion, now + 10, options);
        }
      }
    }
    assert.ok(!beside.isFinal && !job.isFinal);
    return starts;
  }

  it('restrains a task after two crashes, the second one alone on its minion', () => {
    const sample = new SampleFleet(3);
    const good = sample.addJob('proofs', [shape({count: 3, longRunning: true})]);
    const deadly = sample.addJob('proofs', [shape()]);
    assert.equal(countCrashes(sample, deadly, good, undefined, RESTRAINED_MS), 2);
  });

  it('starts a task that crashes minions five times at most when no minion is free for it', () => {
    const sample = new SampleFleet(3);
    const good = sample.addJob('proofs', [shape({count: 6, longRunning: true, maxPerMinion: 2})]);
    sample.plan(0);
    for (const minion of sample.fleet.minions.values()) {
      confirmRuns(minion, -60_000);
    }
    const deadly = sample.addJob('proofs', [shape()]);
    assert.ok(countCrashes(sample, deadly, good) <= 5);
  });

  it('starts a task five times at most when the crashes may have been cuts', () => {
    const sample = new SampleFleet(3);
    const good = sample.addJob('proofs', [shape({count: 3, longRunning: true})]);
    const deadly = sample.addJob('proofs', [shape()]);
    assert.ok(countCrashes(sample, deadly, good, {mayBeCutOff: true}) <= 5);
  });

  it('starts a task that crashes each minion later in its run five times at most when the crashes may have been cuts', () => {
    const maxStarts = 5;
    const sample = new SampleFleet(8);
    const deadly = sample.addJob('proofs', [shape()]);
    let starts = 0;
    for (let now = 0; now < 120_000 && !deadly.isFinal; now += 5_000) {
      for (const run of sample.plan(now)) {
        starts += 1;
        run.confirmedAt = at(now);
        run.phase = 'running';
        run.knownFrom = 'listing';
        const minion = sample.fleet.minions.get(run.minion);
        assert.ok(minion);
        crash(sample, minion, now + 700, {mayBeCutOff: true});
      }
    }
    assert.ok(starts <= maxStarts, `${starts} starts`);
    assert.ok(!deadly.isFinal);
  });

  it('counts a crash in the trial of a run that the next owner has adopted', () => {
    const sample = new SampleFleet(1);
    const [minion] = [...sample.fleet.minions.values()];
    const job = sample.addJob('proofs', [shape({longRunning: true})]);
    const step = job.occurrence(0)?.[0];
    assert.ok(minion && step);
    sample.fleet.runNumberBase = 1_001;
    step.crashes.trials.set(0, {bornAt: 1, minion: minion.id, run: 2 as RunNumber});
    const task = {index: 0, job: job.id, occurrence: 0, step: 0};
    sample.fleet.adoptRun(step, task, 2 as RunNumber, minion, at(0));
    crash(sample, minion, 2_000);
    assert.deepEqual(listEvidence(job), ['alone']);
  });

  it('leaves a task that no minion can run on trial to the rules of all tasks', () => {
    const sample = new SampleFleet(2);
    const job = sample.addJob('proofs', [shape({count: 2})]);
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    for (const minion of sample.fleet.minions.values()) {
      const run = startOn(sample, job, minion, 0);
      run.step.avoid(0, minion.id, at(10));
      run.step.avoid(1, minion.id, at(10));
      crash(sample, minion, 10);
    }
    step.crashes.record(0, {...step.crashes.of(0)[0], run: 9} as TaskCrash, at(2_000));
    assert.equal(sample.plan(2_100).length, 0);
    assert.ok(sample.plan(6_000).length > 0);
  });

  it('places nothing beside a task on trial and holds the rest of its job', () => {
    const sample = new SampleFleet(3);
    const job = sample.addJob('proofs', [shape({count: 4})]);
    const [minion] = [...sample.fleet.minions.values()];
    assert.ok(minion);
    startOn(sample, job, minion, 0);
    crash(sample, minion, 10);
    const starts = sample.plan(3_000);
    assert.equal(starts.length, 1);
    const trial = sample.fleet.minions.get(starts[0]?.minion ?? minion.id);
    assert.equal(trial?.trialRun, starts[0]);
    assert.notEqual(trial?.id, minion.id);
    sample.addJob('proofs', [shape({count: 6})]);
    const others = sample.plan(3_010);
    assert.equal(others.length, 6);
    assert.ok(others.every(({minion: id}) => id !== trial?.id));
  });
});
