import type {EventFields} from '@nutmegproxy/core';
import type {JobState, RunNumber, ServiceId, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {WithheldTaskLog} from '../../WithheldTaskLog.ts';
import {at, queue, RecordedEvents, SampleFleet, shape, wallAt} from './Samples.ts';

const RECOVERY_MS = 4_000;

describe('WithheldTaskLog', () => {
  let events: RecordedEvents;
  let job: JobState;
  let log: WithheldTaskLog;
  let minion: MinionState;
  let sample: SampleFleet;
  let step: StepState;

  beforeEach(() => {
    events = new RecordedEvents();
    log = new WithheldTaskLog();
    sample = new SampleFleet(0, [queue('proofs')], events);
    minion = sample.addMinion('m1');
    job = sample.addJob('proofs', [shape({longRunning: true})]);
    const [first] = [...job.openOccurrences(wallAt(0))].flat();
    assert.ok(first);
    step = first;
  });

  /** Reviews the tasks until a time, every 500 ms; returns the lines. */
  function reviewUntil(untilMs: number): EventFields[] {
    for (let nowMs = 0; nowMs <= untilMs; nowMs += 500) {
      log.review(sample.fleet, {now: at(nowMs), recoveryMs: RECOVERY_MS, wall: wallAt(nowMs)});
    }
    return events.events
      .filter(({kind}) => kind === SCHEDULING_EVENTS.TASK_WITHHELD)
      .map(({fields}) => fields);
  }

  function adoptRun(): void {
    const task = {index: 0, job: job.id, occurrence: 0, step: 0};
    const run = sample.fleet.adoptRun(step, task, 7 as RunNumber, minion, at(0));
    run.knownFrom = 'listing';
  }

  it('logs nothing of a task that runs on a minion that responds', () => {
    adoptRun();
    assert.deepEqual(reviewUntil(10_000), []);
  });

  it('names the recovery and its longest wait', () => {
    sample.fleet.recoveryRevision = job.revision;
    const [line] = reviewUntil(1_500);
    assert.deepEqual(line, {
      job: job.id,
      reason: 'recovery',
      task: `${job.id}.0.0.0`,
      untilMs: RECOVERY_MS,
      waitedMs: 1_500,
    });
  });

  it('names the silent minion on which a run may be live, and when its lease has expired', () => {
    adoptRun();
    minion.missedCalls = 2;
    const {minion: id, reason, run, untilMs} = reviewUntil(1_500)[0] ?? {};
    const expiresInMs = Math.round(minion.leaseClock.expiresInMs(at(1_500)));
    assert.deepEqual(
      {id, reason, run, untilMs},
      {id: 'm1', reason: 'lease', run: 7, untilMs: expiresInMs},
    );
  });

  it('names a stop whose result is not listed', () => {
    adoptRun();
    for (const run of step.runs()) {
      sample.fleet.stopRun(run, 'evacuated');
    }
    assert.equal(reviewUntil(1_500)[0]?.reason, 'stop');
  });

  it('names a run that its minion has not listed', () => {
    sample.plan(0);
    assert.equal(reviewUntil(1_500)[0]?.reason, 'start');
  });

  it('says that a task may start and has found no minion', () => {
    assert.equal(reviewUntil(1_500)[0]?.reason, 'placement');
  });

  describe('a task that has found no minion', () => {
    function fill(filled: MinionState, cpuMilli: number): void {
      const resources = {cpuMilli, gpus: 0, memoryMb: 100};
      const other = sample.addJob('proofs', [shape({longRunning: true, resources})]);
      const [first] = [...other.openOccurrences(wallAt(0))].flat();
      assert.ok(first);
      sample.fleet.startRun(first, 0, filled, at(0));
    }

    /** Returns the fields of the first line about the waiting task. */
    function survey(): EventFields {
      return reviewUntil(1_500).find(({job: named}) => named === job.id) ?? {};
    }

    it('tells free pieces that are too small from room on minions that are passed over', () => {
      fill(minion, 3_200);
      fill(sample.addMinion('m2'), 3_700);
      const trial = sample.addMinion('m3');
      trial.trust.recordStall(at(-60_000));
      fill(trial, 1_500);
      sample.addMinion('m4', {isDraining: true});
      sample.addMinion('m5').missedCalls = 1;
      sample.addMinion('m6').trust.recordStall(at(0));
      assert.deepEqual(survey(), {
        allowed: 2,
        backfillCores: 0,
        fitting: 0,
        fittingWithoutBackfill: 0,
        freeCores: 0.8,
        freeMb: 7_900,
        freeMinion: 'm1',
        interrupted: false,
        job: job.id,
        passedOver: 'draining=1:4 not-responding=1:4 quarantined=1:4 trial=1:2.5',
        passedOverCores: 4,
        passedOverMb: 8_000,
        passedOverMinion: 'm4',
        reason: 'placement',
        task: `${job.id}.0.0.0`,
        taskCores: 1,
        taskMb: 100,
        waitedMs: 1_500,
      });
    });

    it('tells room that backfill holds from room that others hold', () => {
      const resources = {cpuMilli: 3_000, gpus: 0, memoryMb: 7_950};
      const backfill = sample.addJob('proofs', [shape({fillsSpareCpu: true, resources})]);
      const [first] = [...backfill.openOccurrences(wallAt(0))].flat();
      assert.ok(first);
      sample.fleet.startRun(first, 0, minion, at(0));
      fill(sample.addMinion('m2'), 4_000);
      const {backfillCores, fitting, fittingWithoutBackfill, freeCores, freeMb} = survey();
      assert.deepEqual(
        {backfillCores, fitting, fittingWithoutBackfill, freeCores, freeMb},
        {backfillCores: 3, fitting: 0, fittingWithoutBackfill: 1, freeCores: 4, freeMb: 50},
      );
    });

    it('tells a task that was interrupted from one that waits for the limit of first starts', () => {
      job = sample.addJob('proofs', [shape({count: 2, longRunning: true})]);
      const [first] = [...job.openOccurrences(wallAt(0))].flat();
      first?.recordRunNumber(1, 7 as RunNumber);
      const lines = reviewUntil(1_500).filter(({job: named}) => named === job.id);
      assert.deepEqual(
        lines.map(({interrupted}) => interrupted),
        [false, true],
      );
    });

    it('counts minions without the required label as passed over', () => {
      job = sample.addJob('proofs', [shape({longRunning: true, requiredLabel: 'fast'})]);
      const {allowed, passedOver, passedOverMinion} = survey();
      assert.deepEqual(
        {allowed, passedOver, passedOverMinion},
        {allowed: 0, passedOver: 'label=1:4', passedOverMinion: 'm1'},
      );
    });

    it('says how many minions fit a task that waits for another reason', () => {
      const {allowed, fitting, passedOver} = survey();
      assert.deepEqual({allowed, fitting, passedOver}, {allowed: 1, fitting: 1, passedOver: ''});
    });

    it('does not take a piece with more cores for the largest when its memory is reserved', () => {
      fill(minion, 2_000);
      const other = sample.addMinion('m2', {capacity: {cpuMilli: 4_000, gpus: 0, memoryMb: 50}});
      const {fitting, freeMinion} = survey();
      assert.deepEqual({fitting, freeMinion}, {fitting: 1, freeMinion: minion.id});
      assert.equal(other.runs.size, 0);
    });

    it('looks at each minion once for all tasks of a step that it logs', (context) => {
      const resources = {cpuMilli: 5_000, gpus: 0, memoryMb: 100};
      job = sample.addJob('proofs', [shape({count: 12, longRunning: true, resources})]);
      const looks = context.mock.method(minion, 'hasCapacity').mock;
      const lines = reviewUntil(1_500).filter(({job: named}) => named === job.id);
      const tasks = new Set(lines.map(({task}) => task));
      const looksAtOtherSteps = 1;
      assert.deepEqual(
        {fitting: new Set(lines.map(({fitting}) => fitting)), tasks: tasks.size},
        {fitting: new Set([0]), tasks: 12},
      );
      assert.equal(looks.callCount() - looksAtOtherSteps, 1);
    });

    it('counts only minions of its own service', () => {
      const service = 'horno' as ServiceId;
      sample.addMinion('m2', {isDraining: true, service});
      assert.equal(survey().passedOver, '');
    });
  });

  it('repeats a line every 3 s, and at once when the reason changes', () => {
    assert.equal(reviewUntil(7_500).length, 3);
    adoptRun();
    minion.missedCalls = 2;
    log.review(sample.fleet, {now: at(8_000), recoveryMs: 0, wall: wallAt(8_000)});
    const {reason, waitedMs} = reviewUntil(0).at(-1) ?? {};
    assert.deepEqual({reason, waitedMs}, {reason: 'lease', waitedMs: 8_000});
  });

  it('logs nothing of a cancelled job', () => {
    sample.fleet.cancelJob(job);
    assert.deepEqual(reviewUntil(3_000), []);
  });

  describe('the summary of a review', () => {
    /** Returns the fields of a summary, and of the waits of interrupted tasks only those that count. */
    function summarize(nowMs: number): EventFields {
      const wall = wallAt(nowMs);
      const summary = log.review(sample.fleet, {now: at(nowMs), recoveryMs: RECOVERY_MS, wall});
      assert.ok(summary);
      return Object.fromEntries(Object.entries(summary.describe()).filter(([, value]) => value));
    }

    it('counts a task that has not run as a first start', () => {
      assert.deepEqual(summarize(0), {waitingFirst: 1});
    });

    it('is left out when the last review was a short time ago', () => {
      summarize(0);
      const time = {now: at(400), recoveryMs: RECOVERY_MS, wall: wallAt(400)};
      assert.equal(log.review(sample.fleet, time), undefined);
    });

    it('counts no task that runs', () => {
      adoptRun();
      assert.deepEqual(summarize(0), {});
    });

    it('counts a task of a former owner that recovery holds', () => {
      step.recordRunNumber(0, 7 as RunNumber);
      sample.fleet.recoveryRevision = job.revision;
      const {reason, waitingRecovery} = summarize(0);
      assert.deepEqual({reason, waitingRecovery}, {reason: 'recovery', waitingRecovery: 1});
    });

    for (const [knownFrom, field] of [
      ['record', 'waitingRecord'],
      ['listing', 'waitingLease'],
      ['order', 'waitingLease'],
    ] as const) {
      it(`counts the lease of a run that is known from: ${knownFrom}`, () => {
        adoptRun();
        for (const run of step.runs()) {
          run.knownFrom = knownFrom;
        }
        minion.missedCalls = 2;
        const {[field]: count, reason} = summarize(0);
        assert.deepEqual({count, reason}, {count: 1, reason: 'lease'});
      });
    }

    it('counts an interrupted task that finds no minion, and describes the longest wait', () => {
      step.recordRunNumber(0, 7 as RunNumber);
      minion.missedCalls = 2;
      summarize(0);
      const later = sample.addJob('proofs', [shape({count: 2, longRunning: true})]);
      for (const each of [...later.openOccurrences(wallAt(0))].flat()) {
        each.recordRunNumber(1, 7 as RunNumber);
      }
      const {passedOver, reason, task, waitedMs, waitingFirst, waitingPlacement} = summarize(900);
      assert.deepEqual(
        {passedOver, reason, task, waitedMs, waitingFirst, waitingPlacement},
        {
          passedOver: 'not-responding=1:4',
          reason: 'placement',
          task: `${job.id}.0.0.0`,
          waitedMs: 900,
          waitingFirst: 1,
          waitingPlacement: 2,
        },
      );
    });
  });
});
