/** Applies what a minion lists of its runs and ends to the owner's books. */

import type {Instant} from '@nutmegproxy/core';
import type {Checkpoint, Run, RunNumber, RunOutcome, StepState, TaskRef} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** A run that a minion lists as live. */
export interface RunReport {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  /** Progress in percent; 100 for a long-running task that is at work. */
  readonly percent: number;
  /** Tail of the response time in ms for a serving run, thousandths of a core otherwise. */
  readonly reading: number | undefined;
  readonly task: TaskRef;
}

/** A run that a minion lists as ended. */
export interface EndReport {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  readonly outcome: RunOutcome;
  /** Number of the end in this life of the minion, from 1. */
  readonly sequence: number;
  readonly task: TaskRef;
}

export interface MinionListing {
  /** Start of the minion's life in Unix milliseconds; undefined when it is not told. */
  readonly bornAt: number | undefined;
  readonly clockMs: number;
  readonly ended: readonly EndReport[];
  readonly running: readonly RunReport[];
}

function findStep(fleet: Fleet, {job, occurrence, step}: TaskRef): StepState | undefined {
  return fleet.jobs.get(job)?.occurrence(occurrence)?.[step];
}

function findRun(
  step: StepState,
  minion: MinionState,
  {number, task}: EndReport | RunReport,
): Run | undefined {
  return step.runsOf(task.index).find((run) => run.number === number && run.minion === minion.id);
}

function refreshRun(run: Run, report: RunReport, now: Instant): void {
  run.knownFrom = 'listing';
  run.percent = report.percent;
  run.reading = report.reading;
  run.checkpoint = report.checkpoint ?? run.checkpoint;
  if (run.phase === 'starting') {
    run.phase = 'running';
    run.confirmedAt = now;
  }
}

/** Whether a run that is not in the books may go on. */
function mayAdopt(step: StepState, {task}: RunReport): boolean {
  return (
    !step.job.isFinal &&
    !step.done.has(task.index) &&
    (step.shape.speculative || step.runsOf(task.index).length === 0)
  );
}

/**
 * Drops runs that are only known from a former owner's record when a run with a higher number
 * shows: its starter was certain that they were over.
 */
function dropSuperseded(fleet: Fleet, step: StepState, {number, task}: RunReport): void {
  if (step.shape.speculative) {
    return;
  }
  for (const run of [...step.runsOf(task.index)]) {
    if (run.knownFrom === 'record' && run.number < number) {
      fleet.loseRun(run, 'superseded');
    }
  }
}

/** Books a run that a minion lists; false when its task is not known. */
function reviewRunning(
  fleet: Fleet,
  minion: MinionState,
  report: RunReport,
  now: Instant,
): boolean {
  const {number, task} = report;
  const step = findStep(fleet, task);
  if (step === undefined || task.index >= step.shape.count) {
    fleet.stops.push({minion: minion.id, number, reason: 'unknown', task});
    return false;
  }
  const known = findRun(step, minion, report);
  if (known !== undefined) {
    refreshRun(known, report, now);
    return true;
  }
  dropSuperseded(fleet, step, report);
  const isWanted = mayAdopt(step, report);
  const run = fleet.adoptRun(step, task, number, minion, now);
  refreshRun(run, report, now);
  if (isWanted) {
    step.recoveredTasks.add(task.index);
  } else {
    // It stays booked until its end, so that its task does not start beside it.
    fleet.stopRun(run, 'unknown');
  }
  return true;
}

function reviewEnd(fleet: Fleet, minion: MinionState, report: EndReport, now: Instant): void {
  const step = findStep(fleet, report.task);
  const run = step === undefined ? undefined : findRun(step, minion, report);
  if (run !== undefined) {
    fleet.endRun(run, report.outcome, report.checkpoint, now);
  } else if (step !== undefined) {
    fleet.noteEnd(step, report.task, report.number, report.outcome, report.checkpoint);
  }
}

/**
 * Applies a listing that answers a call sent at `askedAt`. Runs that were confirmed before the call
 * and are not listed are over. Ends up to `seenThrough` were applied before.
 */
export function reviewListing(
  fleet: Fleet,
  minion: MinionState,
  listing: MinionListing,
  times: {readonly askedAt: Instant; readonly now: Instant; readonly seenThrough: number},
): void {
  const {askedAt, now, seenThrough} = times;
  for (const report of listing.ended) {
    if (report.sequence > seenThrough) {
      reviewEnd(fleet, minion, report, now);
    }
  }
  const listed = new Set(listing.running.map(({number, task}) => describe(task, number)));
  minion.foreignRuns = 0;
  for (const report of listing.running) {
    if (!reviewRunning(fleet, minion, report, now)) {
      minion.foreignRuns += 1;
    }
  }
  for (const run of [...minion.runs]) {
    const wasThere = run.confirmedAt !== undefined && run.confirmedAt < askedAt;
    if (wasThere && !listed.has(describe(run.task, run.number))) {
      fleet.loseRun(run, 'not listed');
    }
  }
}

function describe({index, job, occurrence, step}: TaskRef, number: RunNumber): string {
  return `${job}.${occurrence}.${step}.${index}/${number}`;
}
