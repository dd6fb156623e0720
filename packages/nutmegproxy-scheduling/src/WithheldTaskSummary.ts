/** Counts the interrupted tasks of long-running jobs that do not run, by what they wait for. */

import type {EventFields} from '@nutmegproxy/core';
import type {RunSource} from '@nutmegproxy/jobs';

/**
 * `lease`: a run may be live on a minion that does not respond, until its lease has expired.
 * `placement`: it may start and has found no minion. `recovery`: minions that have not reported may
 * run it. `start`: its minion has not listed it yet. `stop`: the result of its stopped run is not listed.
 */
export type WithheldReason = 'lease' | 'placement' | 'recovery' | 'start' | 'stop';

/** `record`: a `lease` or `start` of a run that a former owner's record alone names. */
export type WithheldCause = 'record' | WithheldReason;

/** A task that does not run. */
export interface TaskWait {
  /** Returns the event fields of the wait; takes a look at all minions for some reasons. */
  readonly describe: () => EventFields;
  /** Whether the task had run before, or had been sent to a minion that has not listed it. */
  readonly isInterrupted: boolean;
  /** How the run that may be live is known; undefined when none is. */
  readonly knownFrom: RunSource | undefined;
  readonly reason: WithheldReason;
  /** Time in milliseconds since this owner first saw that it does not run. */
  readonly waitedMs: number;
}

/** Names of the event fields of each cause. */
const FIELD_NAMES: Readonly<Record<WithheldCause, string>> = {
  lease: 'waitingLease',
  placement: 'waitingPlacement',
  record: 'waitingRecord',
  recovery: 'waitingRecovery',
  start: 'waitingStart',
  stop: 'waitingStop',
};

function findCause({knownFrom, reason}: TaskWait): WithheldCause {
  const isRecorded = knownFrom === 'record' && (reason === 'lease' || reason === 'start');
  return isRecorded ? 'record' : reason;
}

/**
 * @example
 * const summary = new WithheldTaskSummary();
 * summary.add({describe, isInterrupted: true, knownFrom: 'record', reason: 'lease', waitedMs: 2_000});
 * summary.describe(); // {reason: 'lease', waitedMs: 2_000, waitingRecord: 1, waitingLease: 0, ...}
 */
export class WithheldTaskSummary {
  readonly #counts: Record<WithheldCause, number> = {
    lease: 0,
    placement: 0,
    record: 0,
    recovery: 0,
    start: 0,
    stop: 0,
  };
  #firstStarts = 0;
  #longest: TaskWait | undefined;

  /** Longest time in milliseconds for which an interrupted task has waited; 0 when none does. */
  get longestMs(): number {
    return this.#longest?.waitedMs ?? 0;
  }

  add(wait: TaskWait): void {
    if (!wait.isInterrupted) {
      this.#firstStarts += 1;
      return;
    }
    this.#counts[findCause(wait)] += 1;
    if (this.#longest === undefined || wait.waitedMs > this.#longest.waitedMs) {
      this.#longest = wait;
    }
  }

  /** Returns the counts and the longest wait of an interrupted task as event fields. */
  describe(): EventFields {
    const counts = Object.entries(this.#counts) as [WithheldCause, number][];
    return {
      ...this.#longest?.describe(),
      ...Object.fromEntries(counts.map(([cause, count]) => [FIELD_NAMES[cause], count])),
      waitingFirst: this.#firstStarts,
    };
  }
}
