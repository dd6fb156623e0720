/**
 * Which tasks of a long-running step have begun. The next owner restarts those that were interrupted in any case,
 * and starts the others as there is room for first starts.
 */

import type {StepShape} from './JobModel.ts';
import type {JobState} from './JobState.ts';

/** Indexes of the tasks that have begun, as they are stored; absent when they are not known. */
export interface BegunProgress {
  readonly begun?: readonly number[];
}

/**
 * @example
 * const isNew = step.begun.add(index); // then the job's progress has to be stored
 */
export class BegunTasks {
  /** Undefined when it is not known which tasks have begun, as a former version does not store it. */
  readonly #indexes: Set<number> | undefined;
  readonly #isTracked: boolean;

  constructor(
    {hadStarted, hadStoredBegun}: Pick<JobState, 'hadStarted' | 'hadStoredBegun'>,
    {longRunning}: Pick<StepShape, 'longRunning'>,
    progress: BegunProgress | undefined,
  ) {
    this.#isTracked = longRunning;
    // An owner that stores what has begun leaves out only the steps of occurrences that were not due.
    const isKnown = !hadStarted || (progress ? progress.begun !== undefined : hadStoredBegun);
    this.#indexes = isKnown ? new Set(progress?.begun) : undefined;
  }

  /** Whether nothing is to be stored. */
  get isEmpty(): boolean {
    return !this.#isTracked || this.#indexes === undefined;
  }

  /** Returns whether this changes what is to be stored. */
  add(index: number): boolean {
    if (this.#indexes === undefined || !this.#isTracked || this.#indexes.has(index)) {
      return false;
    }
    this.#indexes.add(index);
    return true;
  }

  /** Whether the task of a long-running step has begun or it is not known whether it has. */
  mayInclude(index: number): boolean {
    return this.#isTracked && (this.#indexes?.has(index) ?? true);
  }

  exportProgress(): BegunProgress {
    return this.#indexes === undefined || !this.#isTracked ? {} : {begun: [...this.#indexes]};
  }
}
