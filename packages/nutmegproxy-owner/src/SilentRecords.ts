/** Converts between the runs of a silent minion and the record of them for the next owner. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {Fleet, MinionState, RunResult} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';
import {formatTaskName, parseTaskName} from '@nutmegproxy/jobs';
import {dropSupersededRuns, findStep} from '@nutmegproxy/scheduling';

import type {SilentMinionRecord} from './Roster.ts';

import {MAX_WALL_CLOCK_SKEW_MS} from './OwnerConstants.ts';

/** Runs that a minion may have, and the time after which its lease has certainly expired. */
export interface RecordedRuns {
  readonly remainingMs: number;
  readonly runs: SilentMinionRecord['runs'];
}

/** The present time on both clocks of this process. */
interface PresentTime {
  readonly now: Instant;
  readonly wall: WallTime;
}

/** Converts a record by the wall clock, which may differ from that of the VM that wrote it. */
export function resolveSilentRecord(
  {heldUntil, runs}: SilentMinionRecord,
  wall: WallTime,
): RecordedRuns {
  return {remainingMs: Math.max(0, heldUntil + MAX_WALL_CLOCK_SKEW_MS - wall), runs};
}

/** Reserves capacity for the runs that a silent minion may have until its lease has expired. */
export function adoptRecordedRuns(
  fleet: Fleet,
  minion: MinionState,
  {remainingMs, runs}: RecordedRuns,
  now: Instant,
): void {
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
    // Of several recorded runs of a task only the last may be live.
    dropSupersededRuns(fleet, step, {number, task});
    if (!step.waiting.has(task.index)) {
      continue;
    }
    if (remainingMs > 0) {
      const run = fleet.adoptRun(step, task, number, minion, now);
      run.knownFrom = 'record';
      adopted.push(run);
    } else {
      fleet.recordUnknownResult(step, task.index, minion);
    }
  }
  fleet.recordAdoption(minion, adopted);
}

/**
 * Lists the runs that a minion may have. Runs whose results are not stored count as well: the next
 * owner learns their results only from the minion.
 */
export function listPossibleRuns(
  minion: MinionState,
  unstoredResults: readonly RunResult[],
): SilentMinionRecord['runs'] {
  return [...minion.runs, ...unstoredResults].map(({number, task}) => [
    formatTaskName(task),
    number,
  ]);
}

/** Returns the record of what a silent minion may run, and until when. */
export function createSilentRecord(
  minion: MinionState,
  unstoredResults: readonly RunResult[],
  {now, wall}: PresentTime,
): SilentMinionRecord {
  return {
    heldUntil: (wall + minion.leaseClock.expiresInMs(now)) as WallTime,
    runs: listPossibleRuns(minion, unstoredResults),
  };
}
