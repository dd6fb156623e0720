import type {EventFields} from '@nutmegproxy/core';
import type {JobState, RunNumber, StepState} from '@nutmegproxy/jobs';

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
});
