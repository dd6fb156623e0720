/**
 * The stored progress of a job: completed tasks, failed runs, checkpoints and crashes
 * of minions, but no starts other than those of suspected tasks and which long-running ones have begun.
 */

import type {BegunProgress} from './BegunTasks.ts';
import type {AdvicePolicy, Checkpoint, JobStatus, QueueId, RunNumber} from './JobModel.ts';
import type {StepCrashProgress} from './StepCrashes.ts';

/** Progress of one step of one occurrence. */
export interface StepProgress extends BegunProgress, StepCrashProgress {
  /** Latest checkpoint by task index. */
  readonly checkpoints: Readonly<Record<number, Checkpoint>>;
  /** Indexes of the tasks that are done. */
  readonly done: readonly number[];
  /** Numbers of the failed runs, by task index. */
  readonly failures: Readonly<Record<number, readonly RunNumber[]>>;
}

/** Progress of a job; steps without progress are absent. */
export interface JobProgress {
  /**
   * The advice that the queue needed when it was removed from the configuration, null for none; absent before, and
   * where the stored job tells it.
   */
  readonly advice?: AdvicePolicy | null;
  /**
   * Whether a minion was known to have begun a task; absent when none was, when the progress of a step tells so, and in
   * records of earlier versions. A status tells only that a start was decided on.
   */
  readonly hasBegun?: boolean;
  /**
   * Attempts that the queue allowed when it was removed from the configuration; absent before, and where the stored
   * job tells them.
   */
  readonly maxAttempts?: number;
  readonly queue: QueueId;
  readonly status: JobStatus;
  /** Progress by `occurrence.step`. */
  readonly steps: Readonly<Record<string, StepProgress>>;
}

/**
 * Returns the key of a step in `JobProgress.steps`.
 *
 * @example
 * formatStepKey(0, 2); // '0.2'
 */
export function formatStepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/**
 * Whether the progress of a step shows that a minion has begun a task of it; `begun` tells only that starts were
 * decided on.
 */
export function showsBegun({checkpoints, crashes, done, failures, trials}: StepProgress): boolean {
  const records = [crashes, failures, checkpoints, trials];
  return done.length > 0 || records.some((each = {}) => Object.keys(each).length > 0);
}

/** Whether a job with this status has ended. */
export function isFinal(status: JobStatus): boolean {
  return status === 'cancelled' || status === 'completed' || status === 'failed';
}
