import type {EventFields} from '@nutmegproxy/core';
import type {JobState, Run, StepShape, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';
import type {PendingReview} from '../../PendingTaskLog.ts';

import {PendingTaskLog} from '../../PendingTaskLog.ts';
import {findNamedJobs} from '../../RunFields.ts';
import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {startOn} from './CrashSamples.ts';
import {
  at,
  NO_SHARING_COSTS,
  queue,
  RecordedEvents,
  SampleFleet,
  shape,
  wallAt,
} from './Samples.ts';

/** Time in milliseconds between two rounds. */
const ROUND_MS = 100;
/** Most bytes of one write to a pipe that is not split. */
const MAX_LINE_BYTES = 4_096;
const FULL = {cpuMilli: 4_000, gpus: 0, memoryMb: 100};

describe('PendingTaskLog', () => {
  let events: RecordedEvents;
  let log: PendingTaskLog;
  let sample: SampleFleet;

  beforeEach(() => {
    events = new RecordedEvents();
    log = new PendingTaskLog();
    sample = new SampleFleet(1, [queue('proofs')], events);
  });

  function firstStep(job: JobState): StepState {
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    return step;
  }

  /** Adds a job that finds no room. */
  function addLargeJob(change: Partial<StepShape> = {}): JobState {
    return sample.addJob('proofs', [shape({resources: {...FULL, cpuMilli: 5_000}, ...change})]);
  }

  function review(nowMs: number, change: Partial<PendingReview> = {}): void {
    log.review({
      advice: {isPermitted: () => undefined},
      fleet: sample.fleet,
      hold: undefined,
      isBudgetUsedUp: false,
      isCut: false,
      now: at(nowMs),
      recoveryMs: Math.max(0, 10_000 - nowMs),
      sharingCosts: NO_SHARING_COSTS,
      wall: wallAt(nowMs),
      ...change,
    });
  }

  /** Plans and reviews every 100 ms; returns the lines. */
  function play(fromMs: number, toMs: number, change: Partial<PendingReview> = {}): EventFields[] {
    events.events.length = 0;
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += ROUND_MS) {
      sample.plan(nowMs);
      review(nowMs, change);
    }
    return events.events
      .filter(({kind}) => kind === SCHEDULING_EVENTS.TASKS_PENDING)
      .map(({fields}) => fields);
  }

  describe('its rate', () => {
    it('is one line a second while tasks have waited for over 3 s, and none before', () => {
      addLargeJob();
      assert.deepEqual(play(0, 2_900), []);
      assert.equal(play(3_000, 8_900).length, 6);
    });

    it('is one more line, with zeros, after the last of them', () => {
      const job = addLargeJob();
      play(0, 3_000);
      sample.fleet.cancelJob(job);
      const [line, ...others] = play(4_000, 8_000);
      assert.deepEqual([line?.pending, line?.pendingRoom, others.length], [0, 0, 0]);
    });

    it('needs no look at the tasks in the first 3 s', () => {
      addLargeJob();
      const {jobs} = sample.fleet;
      let looks = 0;
      const values = jobs.values.bind(jobs);
      jobs.values = () => {
        looks += 1;
        return values();
      };
      review(0);
      review(2_900);
      assert.equal(looks, 0);
      review(3_000);
      assert.equal(looks, 1);
    });

    it('is none while all tasks run', () => {
      sample.addJob('proofs', [shape()]);
      const [run] = sample.plan(0);
      assert.ok(run);
      run.phase = 'running';
      run.knownFrom = 'listing';
      assert.deepEqual(play(100, 8_000), []);
    });
  });

  describe('a line', () => {
    it('counts all tasks of a step and names the longest wait', () => {
      const job = addLargeJob({count: 3});
      const [line] = play(0, 3_000);
      assert.deepEqual(
        [line?.pending, line?.pendingRoom, line?.longestPendingMs, line?.named],
        [3, 3, 3_000, `${job.id}.0.0.0/room/3000`],
      );
      assert.match(String(line?.placement), new RegExp(`^job=${job.id} .*freeCores=4 `));
    });

    it('tells one task with a reason of its own from the others of its step', () => {
      const step = firstStep(addLargeJob({count: 3}));
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      step.failures.set(1, [1 as Run['number']]);
      sample.fleet.recordUnknownResult(step, 1, 2 as Run['number'], minion);
      const [line] = play(0, 3_000);
      assert.deepEqual([line?.pendingRoom, line?.pendingUnknownResult], [2, 1]);
      assert.match(String(line?.named), /\.0\.0\.1\/unknown-result\/3000\/on=m1/);
    });

    it('names the recovery with what is left of it', () => {
      const job = sample.addJob('proofs', [shape()]);
      sample.fleet.recoveryRevision = job.revision;
      const [line] = play(0, 3_000);
      assert.deepEqual(
        [line?.pendingRecovery, line?.named],
        [1, `${job.id}.0.0.0/recovery/3000/until=7000`],
      );
    });

    it('counts a task whose run may be live on a silent minion, from when that was seen', () => {
      const [minion] = sample.fleet.minions.values();
      assert.ok(minion);
      startOn(sample, sample.addJob('proofs', [shape()]), minion, 0);
      play(0, 4_000);
      minion.missedCalls = 1;
      assert.deepEqual(play(4_100, 7_900), []);
      const [line] = play(8_000, 8_000);
      assert.equal(line?.pendingLease, 1);
      assert.match(String(line.named), /\/lease\/3000\/until=\d+\/on=m1$/);
    });

    it('leaves out long-running tasks and steps whose turn has not come', () => {
      addLargeJob({longRunning: true});
      const [first, second] = [shape({resources: {...FULL, cpuMilli: 5_000}}), shape({after: [0]})];
      sample.addJob('proofs', [first, second]);
      assert.equal(play(0, 3_000)[0]?.pending, 1);
    });

    it('does not count the wait of a task anew when another one of its step starts', () => {
      const step = firstStep(sample.addJob('proofs', [shape({count: 5, resources: FULL})]));
      const [line] = play(0, 3_000);
      assert.deepEqual([step.waiting.size, line?.pendingRoom], [4, 4]);
      assert.equal(line?.longestPendingMs, 3_000);
    });
  });

  describe('of a task with a run', () => {
    let minion: MinionState;

    beforeEach(() => {
      const [first] = sample.fleet.minions.values();
      assert.ok(first);
      minion = first;
    });

    it('counts a start that is not confirmed from when it was sent', () => {
      const step = firstStep(sample.addJob('proofs', [shape()]));
      play(0, 3_900);
      const [run] = step.runs();
      assert.ok(run);
      sample.fleet.discardRun(run);
      sample.fleet.startRun(step, 0, minion, at(1_000));
      const [line] = play(4_000, 4_000);
      assert.match(String(line?.named), /\/start\/3000\/on=m1$/);
    });

    it('leaves out tasks that have another run, are done, last, or belong to an ended job', () => {
      const other = sample.addMinion('m2');
      const jobs = [{speculative: true}, {count: 2}, {longRunning: true}, {}].map((change) =>
        sample.addJob('proofs', [shape(change)]),
      );
      const [first, second, , last] = jobs;
      assert.ok(first && second && last);
      for (const job of jobs) {
        startOn(sample, job, minion, 0);
      }
      startOn(sample, first, other, 0, 0);
      startOn(sample, second, other, 0, 1);
      firstStep(second).markDone(0);
      sample.fleet.cancelJob(last);
      minion.missedCalls = 1;
      assert.deepEqual(play(0, 8_000), []);
    });
  });

  describe('with more jobs than a line names', () => {
    it('fits into one write, and names each job within the time that it takes in turns', () => {
      const jobs = Array.from({length: 300}, () => addLargeJob());
      play(0, 2_900);
      const lines = play(3_000, 60_000);
      const named = new Set(lines.flatMap((line) => findNamedJobs(line)));
      assert.equal(named.size, jobs.length);
      for (const line of lines) {
        assert.ok(JSON.stringify(line).length < MAX_LINE_BYTES - 300);
      }
    });

    it('counts the tasks whose reason it has not looked for', () => {
      for (let count = 0; count < 300; count += 1) {
        addLargeJob({count: 2});
      }
      const [line] = play(0, 3_000);
      assert.deepEqual(
        [line?.pending, line?.pendingRoom, line?.pendingUnexamined],
        [600, 120, 480],
      );
    });
  });
});
