/** What an owner saw of the crashes under tasks; the next owner does not know it. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState, TaskCrash} from '@nutmegproxy/jobs';

type CrashedRun = Pick<TaskCrash, 'minion' | 'run'>;

/** A crash under a task that this owner saw. */
export interface SeenCrash {
  /** When it was recorded. */
  readonly at: Instant;
  /** Number of jobs with runs that may be to blame for it. */
  readonly suspects: number;
}

/** The members of a gang start under one number, each with a minion of its own, or crash with it together. */
function formatKey({shape}: StepState, index: number, {minion, run}: CrashedRun): string {
  return `${shape.gang ? minion : index}.${run}`;
}

/**
 * @example
 * seenCrashes.add(step, index, crash, {at: now, suspects: 1});
 * seenCrashes.find(step, index, crash); // {at: now, suspects: 1}
 */
export class SeenCrashes {
  readonly #crashes = new WeakMap<StepState, Map<string, SeenCrash>>();

  add(step: StepState, index: number, crash: CrashedRun, seen: SeenCrash): void {
    const crashes = this.#crashes.get(step) ?? new Map<string, SeenCrash>();
    this.#crashes.set(step, crashes.set(formatKey(step, index, crash), seen));
  }

  find(step: StepState, index: number, crash: CrashedRun): SeenCrash | undefined {
    return this.#crashes.get(step)?.get(formatKey(step, index, crash));
  }
}
