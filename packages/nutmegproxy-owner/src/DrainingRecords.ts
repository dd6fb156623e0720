/**
 * Keeps the stored records of what draining minions may run in step with their runs. A draining minion
 * may have left before the next owner's first call, so that only its record tells which tasks may be
 * live there; a task that the record names in vain waits until the minion's lease has expired.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Fleet, MinionState, RunResult} from '@nutmegproxy/scheduling';

import {parseTaskName} from '@nutmegproxy/jobs';
import {findStep} from '@nutmegproxy/scheduling';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {Roster} from './Roster.ts';
import type {DrainingMinionRecord} from './RosterEntry.ts';

import {DRAINING_REVIEW_INTERVAL_MS} from './OwnerConstants.ts';
import {formatRecordedName, listPossibleRuns} from './SilentRecords.ts';

export interface DrainingRecordsOptions {
  /** Removes the record of a minion that no longer drains. */
  readonly clearRecord: (minion: MinionState) => void;
  readonly fleet: Fleet;
  readonly ownership: FleetOwnership;
  readonly roster: Roster;
}

/** A minion, and its results that are applied but may not be stored yet. */
export interface MinionRuns {
  readonly minion: MinionState;
  readonly unstoredResults: readonly RunResult[];
}

export class DrainingRecords {
  readonly #options: DrainingRecordsOptions;
  #reviewedAt = -Infinity;

  constructor(options: DrainingRecordsOptions) {
    this.#options = options;
  }

  /**
   * Records the runs of each minion that begins to drain, once no run is left and, at intervals, when
   * a task waits whose run is over; removes the record of a minion that no longer drains.
   */
  update(minions: Iterable<MinionRuns>, now: Instant): void {
    const isReview = now - this.#reviewedAt >= DRAINING_REVIEW_INTERVAL_MS;
    this.#reviewedAt = isReview ? now : this.#reviewedAt;
    for (const each of minions) {
      const {areRunsKnown, description, isRecordedDraining, isRecordedUnreachable} = each.minion;
      if (isRecordedUnreachable || !areRunsKnown) {
        continue;
      }
      if (description.isDraining) {
        this.#updateRecord(each, isReview);
      } else if (isRecordedDraining) {
        this.#options.clearRecord(each.minion);
      }
    }
  }

  #updateRecord({minion, unstoredResults}: MinionRuns, isReview: boolean): void {
    const {fleet, ownership, roster} = this.#options;
    const {term} = ownership;
    const recorded = roster.find(minion.id)?.draining;
    const runs = listPossibleRuns(fleet, minion, unstoredResults);
    const isOutdated =
      recorded?.term !== term ||
      (runs.length === 0 && recorded.runs.length > 0) ||
      (isReview && this.#namesWaitingTask(recorded.runs, runs));
    if (isOutdated) {
      minion.isRecordedDraining = true;
      roster.markDraining(minion.description, {runs, term});
    }
  }

  /** Whether a record names a run that is over, and whose task waits to run again. */
  #namesWaitingTask(
    recorded: DrainingMinionRecord['runs'],
    possible: DrainingMinionRecord['runs'],
  ): boolean {
    const {fleet} = this.#options;
    const possibleNames = new Set(possible.map(formatRecordedName));
    return recorded.some((run) => {
      const task = possibleNames.has(formatRecordedName(run)) ? undefined : parseTaskName(run[0]);
      const step = task && findStep(fleet, task);
      return task !== undefined && step?.job.isFinal === false && step.waiting.has(task.index);
    });
  }
}
