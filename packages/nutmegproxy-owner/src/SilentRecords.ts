/** Converts between the runs of a silent minion and the record of them for the next owner. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run, RunNumber, StepState} from '@nutmegproxy/jobs';
import type {Fleet, MinionState, RunResult} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';
import {formatTaskName, parseTaskName} from '@nutmegproxy/jobs';
import {dropSupersededRuns, findStep} from '@nutmegproxy/scheduling';

import type {MinionAccount} from './ClosingRecords.ts';
import type {SilentMinionRecord, SuspectRuns} from './RosterEntry.ts';

import {findSuspects, listSuspects} from './SuspectRecords.ts';

/** Runs that a minion may have, and the time in milliseconds after which its lease has certainly expired. */
export interface RecordedRuns {
  /** The same for the runs that are not unconfirmed, if some are; longer or absent when it is not known. */
  readonly confirmedMs?: number | undefined;
  readonly remainingMs: number;
  readonly runs: SilentMinionRecord['runs'];
  readonly suspects?: SuspectRuns | undefined;
  /** As in a silent record. */
  readonly unconfirmed?: SilentMinionRecord['runs'] | undefined;
}

/** The present time on both clocks of this process. */
interface PresentTime {
  readonly now: Instant;
  readonly wall: WallTime;
}

/** Whether a later run of the task is known: the owner that started it was certain that this one was over. */
function isSuperseded(step: StepState, index: number, number: RunNumber): boolean {
  return !step.shape.speculative && (step.findLastRun(index) ?? number) > number;
}

/** Returns how the time is found, in milliseconds, for which a recorded run may still hold its lease. */
function createRemainingTimes({
  confirmedMs = Infinity,
  remainingMs,
  unconfirmed,
}: RecordedRuns): (run: RecordedRuns['runs'][number]) => number {
  if (unconfirmed === undefined || confirmedMs >= remainingMs) {
    return () => remainingMs;
  }
  const longer = new Set(unconfirmed.map(formatRecordedName));
  return (run) => (longer.has(formatRecordedName(run)) ? remainingMs : confirmedMs);
}

/** Reserves capacity for the runs that a silent minion may have until its lease has expired. */
export function adoptRecordedRuns(
  fleet: Fleet,
  minion: MinionState,
  recorded: RecordedRuns,
  now: Instant,
): void {
  const {remainingMs, runs, suspects} = recorded;
  const findRemainingMs = createRemainingTimes(recorded);
  const unconfirmed = new Set(recorded.unconfirmed?.map(formatRecordedName));
  minion.formerSuspects = suspects ? findSuspects(fleet, suspects) : minion.formerSuspects;
  minion.isRecordedUnreachable = true;
  minion.areRunsKnown = true;
  minion.leaseClock.assumeLeasedUntil(after(now, remainingMs));
  const adopted: Run[] = [];
  for (const [name, number] of runs) {
    const task = parseTaskName(name);
    const step = task && findStep(fleet, task);
    if (task === undefined || step === undefined || step.job.isFinal) {
      continue;
    }
    step.job.hasBegun ||= !unconfirmed.has(formatRecordedName([name, number]));
    // Of several recorded runs of a task only the last may be live.
    dropSupersededRuns(fleet, step, {number, task});
    if (!step.waiting.has(task.index)) {
      // A later run is known; this one may have failed, which only its minion can tell.
      if (!step.done.has(task.index) && isSuperseded(step, task.index, number)) {
        fleet.recordUnknownResult(step, task.index, number, minion);
      }
      continue;
    }
    const runMs = findRemainingMs([name, number]);
    if (runMs > 0 && !isSuperseded(step, task.index, number)) {
      const run = fleet.adoptRun(step, task, number, minion, now);
      run.knownFrom = 'record';
      run.leasedUntil = runMs < remainingMs ? after(now, runMs) : undefined;
      adopted.push(run);
    } else {
      fleet.recordUnknownResult(step, task.index, number, minion);
    }
  }
  fleet.recordAdoption(minion, adopted);
}

/** Returns a name by which recorded runs are compared. */
export function formatRecordedName([task, number]: RecordedRuns['runs'][number]): string {
  return `${task} ${number}`;
}

/** Returns a run as records name it. */
export function nameRun({
  number,
  task,
}: Pick<Run, 'number' | 'task'>): readonly [string, RunNumber] {
  return [formatTaskName(task), number];
}

/**
 * Lets the recorded runs of a minion end with their own lease where a later account, which was read at `now`,
 * tells that it ends before that of unconfirmed runs.
 */
export function shortenRecordedLeases(
  minion: MinionState,
  {confirmedForMs, runs = [], unconfirmed}: MinionAccount,
  now: Instant,
): void {
  if (confirmedForMs === undefined || unconfirmed === undefined) {
    return;
  }
  const longer = new Set(unconfirmed.map(formatRecordedName));
  const confirmed = new Set(runs.map(formatRecordedName).filter((name) => !longer.has(name)));
  const until = after(now, confirmedForMs);
  for (const run of minion.runs) {
    const {knownFrom, leasedUntil = Infinity} = run;
    if (
      knownFrom === 'record' &&
      until < leasedUntil &&
      confirmed.has(formatRecordedName(nameRun(run)))
    ) {
      run.leasedUntil = until;
    }
  }
}

/**
 * Whether the task of a result starts again however its run has ended. From a checkpoint that is not stored
 * it can only do so once the minion has listed that to the next owner.
 */
function startsAgain(fleet: Fleet, {checkpoint, task}: RunResult): boolean {
  const step = findStep(fleet, task);
  return (
    step?.shape.longRunning === true &&
    !(step.shape.checkpoints && checkpoint !== undefined) &&
    !step.job.isFinal &&
    !step.done.has(task.index)
  );
}

/** Lists runs that are over and may have failed, which only the minion can tell; lasting tasks start again in any case. */
export function listUnknownResults({
  id,
  unknownResultSteps,
}: Pick<MinionState, 'id' | 'unknownResultSteps'>): SilentMinionRecord['runs'] {
  return [...unknownResultSteps].flatMap(
    ({done, job, number: step, occurrence, shape, unknownResults}) =>
      shape.longRunning || job.isFinal
        ? []
        : [...unknownResults].flatMap(([index, runs]) =>
            [...runs]
              .filter(([, minion]) => minion === id && !done.has(index))
              .map(([number]) => nameRun({number, task: {index, job: job.id, occurrence, step}})),
          ),
  );
}

/**
 * Lists the runs that a minion may have. Runs whose results are not known or not stored count as well, since
 * the next owner learns them only from the minion; those of lasting tasks don't, which would wait in vain.
 */
export function listPossibleRuns(
  fleet: Fleet,
  minion: MinionState,
  unstoredResults: readonly RunResult[],
): SilentMinionRecord['runs'] {
  const telling = unstoredResults.filter((result) => !startsAgain(fleet, result));
  const named = [...minion.runs, ...minion.endedRuns, ...telling].map(nameRun);
  const names = new Set(named.map(formatRecordedName));
  const unknown = listUnknownResults(minion);
  return [...named, ...unknown.filter((run) => !names.has(formatRecordedName(run)))];
}

/**
 * Lists the starts that may have granted a longer lease than they were meant to. A start that no listing
 * confirms may have reached a new incarnation. Its lease was computed for that one's clock only if the
 * response shows the same clock. One without a response may do so although the run was listed since.
 */
export function listUnconfirmedStarts({leaseClock, runs}: MinionState, now: Instant): Run[] {
  const {maxStartLeaseMs} = leaseClock.times;
  return [...runs].filter(
    ({isClockConfirmed = false, knownFrom, unansweredAt = -Infinity}) =>
      (knownFrom === 'order' && !isClockConfirmed) || now - unansweredAt < maxStartLeaseMs,
  );
}

/** Returns the record of what a silent minion may run, and until when. */
export function createSilentRecord(
  fleet: Fleet,
  minion: MinionState,
  unstoredResults: readonly RunResult[],
  {now, wall}: PresentTime,
): SilentMinionRecord {
  const suspects = listSuspects(fleet, minion);
  const unconfirmed = listUnconfirmedStarts(minion, now).map(nameRun);
  return {
    heldUntil: (wall + minion.leaseClock.expiresInMs(now)) as WallTime,
    runs: listPossibleRuns(fleet, minion, unstoredResults),
    ...(suspects && {suspects}),
    ...(unconfirmed.length === 0 ? {} : {unconfirmed}),
  };
}
