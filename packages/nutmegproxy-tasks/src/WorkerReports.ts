/** Derives state transitions of attempts from the reports of workers, without side effects. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {AttemptOutcome} from '@nutmegproxy/placement';
import type {AttemptReport, Entry, TaskChange} from '@nutmegproxy/schema';

import type {Task} from './TaskModel.ts';

import {omitUndefined} from './ObjectUtils.ts';
import {formatTaskId} from './TaskModel.ts';
import {
  CLOCK_RATE_MARGIN,
  CLOCK_SKEW_MS,
  DEFAULT_MAX_ATTEMPTS,
  MAX_CHECKPOINT_LENGTH,
  MAX_REASON_LENGTH,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
} from './TasksConstants.ts';

/** A change to commit. If `outcome` is set, the reservation is released after the commit. */
export interface AttemptTransition {
  readonly attempt: string;
  readonly change: TaskChange;
  readonly outcome: AttemptOutcome | undefined;
}

/** Monotonic and wall-clock time of an evaluation. */
export interface ClockReadings {
  readonly now: Instant;
  readonly wall: WallTime;
}

type ReportHandler = (
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
) => AttemptTransition | undefined;

/**
 * Delay before the next attempt of a task that has failed `failures` times, in milliseconds.
 *
 * @example
 * const notBefore = wall + getBackoffMs(task.failures);
 */
export function getBackoffMs(failures: number): number {
  return Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** Math.min(failures, 16));
}

function requeueAttempt(
  task: Task,
  wall: WallTime,
  outcome: AttemptOutcome,
  checkpoint?: string,
): AttemptTransition {
  const attempt = task.attempt ?? '';
  const storedCheckpoint =
    (checkpoint?.length ?? 0) <= MAX_CHECKPOINT_LENGTH ? checkpoint : undefined;
  return {
    attempt,
    change: omitUndefined({
      at: wall,
      attempt,
      checkpoint: storedCheckpoint,
      failed: false,
      kind: 'attempt-returned',
      task: formatTaskId(task),
    } as const),
    outcome,
  };
}

function handleFailure(
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
): AttemptTransition {
  const limit = entry?.limits.attempts ?? DEFAULT_MAX_ATTEMPTS;
  const attempt = report.attempt;
  if (task.failures + 1 >= limit && !task.job.cancelled) {
    const reason = (report.error ?? 'the attempt failed').slice(0, MAX_REASON_LENGTH);
    return {
      attempt,
      change: {at: wall, kind: 'task-ended', outcome: 'failed', reason, task: formatTaskId(task)},
      outcome: 'failed',
    };
  }
  const transition = requeueAttempt(task, wall, 'failed');
  const notBefore = wall + getBackoffMs(task.failures);
  return {...transition, change: {...transition.change, failed: true, notBefore} as TaskChange};
}

const REPORT_HANDLERS: Record<AttemptReport['state'], ReportHandler> = {
  checkpointed: (task, report, _entry, wall) =>
    requeueAttempt(task, wall, 'evicted', report.checkpoint),
  failed: handleFailure,
  lapsed: (task, report, _entry, wall) => requeueAttempt(task, wall, 'lost', report.checkpoint),
  running: (task, report) =>
    task.state === 'starting'
      ? {
          attempt: report.attempt,
          change: {attempt: report.attempt, kind: 'start-confirmed', task: formatTaskId(task)},
          outcome: undefined,
        }
      : undefined,
  stopped: (task, report, _entry, wall) => requeueAttempt(task, wall, 'evicted', report.checkpoint),
  succeeded: (task, report, _entry, wall) => ({
    attempt: report.attempt,
    change: {at: wall, kind: 'task-ended', outcome: 'succeeded', task: formatTaskId(task)},
    outcome: 'succeeded',
  }),
};

/** Transition that follows from the report of a live attempt; undefined when nothing changes. */
export function evaluateReport(
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
): AttemptTransition | undefined {
  return REPORT_HANDLERS[report.state](task, report, entry, wall);
}

/** Maximum remaining lease after the last confirmed renewal, in case an unanswered one arrived. */
export function getMaxLeaseMs(leaseMs: number): number {
  return 2 * leaseMs * (1 + CLOCK_RATE_MARGIN) + CLOCK_SKEW_MS;
}

/**
 * Requeues an attempt that its worker does not report, once its lease and its start deadline have
 * certainly expired. `lastRenewedAt` is the last instant at which the worker certainly held a lease
 * that this or an earlier owner had granted.
 */
export function evaluateMissingReport(
  task: Task,
  lastRenewedAt: Instant,
  leaseMs: number,
  times: ClockReadings,
): AttemptTransition | undefined {
  const leaseExpired = times.now > lastRenewedAt + getMaxLeaseMs(leaseMs);
  const latestStart = (task.startBefore ?? 0) + CLOCK_SKEW_MS;
  const startExpired = times.wall > latestStart + leaseMs * (1 + CLOCK_RATE_MARGIN);
  return leaseExpired && startExpired ? requeueAttempt(task, times.wall, 'lost') : undefined;
}

/** Requeues an attempt that its worker certainly did not start. */
export function evaluateRefusal(task: Task, wall: WallTime): AttemptTransition {
  const transition = requeueAttempt(task, wall, 'refused');
  return {
    ...transition,
    change: {...transition.change, notBefore: wall + RETRY_BASE_MS} as TaskChange,
  };
}
