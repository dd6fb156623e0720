/** Reconciles the owner's state of the fleet with the runs and results that a minion lists. */

import type {Instant} from '@nutmegproxy/core';
import type {Checkpoint, Run, RunNumber, RunOutcome, StepState, TaskRef} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {dropUnsentTrials, resolveTrials} from './CrashRecorder.ts';
import {recordFailureOf, reviewFormerDistrust} from './MinionQuarantine.ts';
import {reviewTrials} from './TrialReview.ts';

/** Progress of a live run, as listed by its minion. */
export interface RunReport {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  /** Progress in percent; 100 for a long-running task that is ready. */
  readonly percent: number;
  /** Tail latency in milliseconds for a serving run; otherwise used thousandths of a core. */
  readonly reading: number | undefined;
  readonly task: TaskRef;
}

/** Result of a run that has ended, as listed by its minion. */
export interface RunResult {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  readonly outcome: RunOutcome;
  /** Sequence number of the result in this incarnation of the minion, from 1. */
  readonly sequence: number;
  readonly task: TaskRef;
}

export interface MinionListing {
  /** Start of the minion's incarnation in Unix milliseconds; undefined when it is not reported. */
  readonly bornAt: number | undefined;
  readonly clockMs: number;
  readonly ended: readonly RunResult[];
  /** Whether the minion may have more results than it lists: it lists a limited number at a time. */
  readonly mayOmitResults: boolean;
  readonly running: readonly RunReport[];
}

/** Returns the step of a task; undefined when its job is not known. */
export function findStep(fleet: Fleet, {job, occurrence, step}: TaskRef): StepState | undefined {
  return fleet.jobs.get(job)?.occurrence(occurrence)?.[step];
}

function findRun(
  step: StepState,
  minion: MinionState,
  {number, task}: RunResult | RunReport,
): Run | undefined {
  return step.runsOf(task.index).find((run) => run.number === number && run.minion === minion.id);
}

function updateRun(run: Run, report: RunReport, now: Instant): void {
  run.knownFrom = 'listing';
  run.step.job.hasBegun = true;
  run.leasedUntil = undefined;
  run.percent = report.percent;
  run.reading = report.reading;
  run.checkpoint = report.checkpoint ?? run.checkpoint;
  if (run.phase === 'starting') {
    run.phase = 'running';
    run.confirmedAt = now;
  }
}

/**
 * Handles that a run is over. While results may be omitted, its own may be among them: its task must
 * not start again before that is known, unless the task is to last and starts again in any case.
 */
function endUnlistedRun(fleet: Fleet, minion: MinionState, run: Run): void {
  if (minion.mayOmitResults && !run.step.shape.longRunning) {
    minion.endRun(run);
  } else {
    fleet.recordLostRun(run, 'not listed');
  }
}

/** Whether a run that this owner doesn't know may continue. */
function canAdopt(step: StepState, {task}: RunReport): boolean {
  return (
    !step.job.isFinal &&
    !step.done.has(task.index) &&
    (step.shape.speculative || step.runsOf(task.index).length === 0)
  );
}

/**
 * Removes runs of a task that are only known from a former owner's record and have a lower number
 * than another run of it: the owner that started the other one was certain that they were over.
 */
export function dropSupersededRuns(
  fleet: Fleet,
  step: StepState,
  {number, task}: Pick<RunReport, 'number' | 'task'>,
): void {
  if (step.shape.speculative) {
    return;
  }
  for (const run of [...step.runsOf(task.index)]) {
    if (run.knownFrom === 'record' && run.number < number) {
      const minion = fleet.minions.get(run.minion);
      if (minion !== undefined) {
        fleet.recordUnknownResult(step, task.index, run.number, minion);
      }
      fleet.recordLostRun(run, 'superseded');
    }
  }
}

/**
 * Adds or updates the live runs that a minion lists; stops those that are not wanted. Returns the
 * listed runs.
 */
function reconcileRuns(
  fleet: Fleet,
  minion: MinionState,
  reports: readonly RunReport[],
  now: Instant,
): ReadonlySet<Run> {
  const listed = new Set<Run>();
  const adopted: Run[] = [];
  const unwanted: Run[] = [];
  minion.unknownRuns = 0;
  for (const report of reports) {
    const {number, task} = report;
    const step = findStep(fleet, task);
    if (step === undefined || task.index >= step.shape.count) {
      fleet.pendingStops.push({minion: minion.id, number, reason: 'unknown', task});
      minion.unknownRuns += 1;
      continue;
    }
    const known = findRun(step, minion, report);
    if (known !== undefined) {
      if (minion.endedRuns.has(known)) {
        minion.addRun(known);
      }
      updateRun(known, report, now);
      listed.add(known);
      continue;
    }
    dropSupersededRuns(fleet, step, report);
    const isWanted = canAdopt(step, report);
    const run = fleet.adoptRun(step, task, number, minion, now);
    updateRun(run, report, now);
    listed.add(run);
    adopted.push(run);
    if (isWanted) {
      step.recoveredTasks.add(task.index);
    } else {
      unwanted.push(run);
    }
  }
  fleet.recordAdoption(minion, adopted);
  for (const run of unwanted) {
    // The run is kept until its result is known, so that its task doesn't start a second time.
    fleet.stopRun(run, 'unknown');
  }
  return listed;
}

/** Whether the result was known before, or tells of no work that has ended: backfill that was evicted waits on. */
function isStored({done, failures}: StepState, {number, outcome, task}: RunResult): boolean {
  const isKnownFailure = failures.get(task.index)?.includes(number) ?? false;
  return done.has(task.index) || isKnownFailure || (outcome !== 'done' && outcome !== 'failed');
}

function applyRunResult(fleet: Fleet, minion: MinionState, result: RunResult, now: Instant): void {
  const step = findStep(fleet, result.task);
  const run = step === undefined ? undefined : findRun(step, minion, result);
  if (run !== undefined) {
    fleet.finishRun(run, result.outcome, result.checkpoint, now);
  } else if (step !== undefined) {
    dropSupersededRuns(fleet, step, result);
    if (result.outcome === 'failed' && result.number >= fleet.runNumberBase) {
      // A run of this owner that counted as lost; the failures of former owners' runs have no known time.
      recordFailureOf(step, result.task.index, minion.id, now);
    }
    if (!isStored(step, result)) {
      step.job.endHeldWaits(now);
    }
    fleet.applyResult(step, result.task, result.number, result.outcome, result.checkpoint);
  }
}

/**
 * Applies the listing from the response to a call sent at `requestedAt`. Runs that were confirmed
 * before the call and are not listed are over; they are lost unless the listing may omit their
 * results. Results up to sequence number `appliedThrough` were applied before.
 */
export function reconcileListing(
  fleet: Fleet,
  minion: MinionState,
  listing: MinionListing,
  times: {readonly requestedAt: Instant; readonly now: Instant; readonly appliedThrough: number},
): void {
  const {appliedThrough, now, requestedAt} = times;
  const {trialRun} = minion;
  const mayHaveOmitted = !minion.hasReported || minion.mayOmitResults;
  minion.mayOmitResults = listing.mayOmitResults;
  minion.lapsedRuns = [];
  reviewFormerDistrust(fleet, minion, now);
  if (!minion.hasReported) {
    resolveTrials(fleet, minion, now);
  }
  for (const result of listing.ended) {
    if (result.sequence > appliedThrough) {
      applyRunResult(fleet, minion, result, now);
    }
  }
  const listed = reconcileRuns(fleet, minion, listing.running, now);
  for (const run of [...minion.runs, ...minion.endedRuns]) {
    const wasConfirmedBefore = run.confirmedAt !== undefined && run.confirmedAt < requestedAt;
    if (wasConfirmedBefore && !listed.has(run)) {
      endUnlistedRun(fleet, minion, run);
    }
  }
  if (mayHaveOmitted && !listing.mayOmitResults) {
    dropUnsentTrials(fleet, minion);
  }
  reviewTrials(fleet, minion, listing, trialRun, now);
}
