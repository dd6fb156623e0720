/** What is kept of a job's progress: ends, failures and checkpoints. Starts are not kept. */

import type {Checkpoint, JobStatus, QueueId, RunNumber} from './JobModel.ts';

/** Progress of one step of one occurrence. */
export interface StepProgress {
  /** Newest checkpoint by task index. */
  readonly checkpoints: Readonly<Record<number, Checkpoint>>;
  /** Indexes of the tasks that are done. */
  readonly done: readonly number[];
  /** Numbers of the runs that ended as failed, by task index. */
  readonly failures: Readonly<Record<number, readonly RunNumber[]>>;
}

/** Progress of a job; steps without any are absent. */
export interface JobProgress {
  readonly queue: QueueId;
  readonly status: JobStatus;
  /** Progress by `occurrence.step`. */
  readonly steps: Readonly<Record<string, StepProgress>>;
}

/**
 * Key of a step in the progress of its job.
 *
 * @example
 * formatStepKey(0, 2); // '0.2'
 */
export function formatStepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** Whether nothing of the job is left to run. */
export function isFinal(status: JobStatus): boolean {
  return status === 'cancelled' || status === 'completed' || status === 'failed';
}
