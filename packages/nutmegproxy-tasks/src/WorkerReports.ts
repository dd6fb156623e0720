/** What a worker's report means for a cell: decisions without side effects. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {AttemptOutcome} from '@nutmegproxy/placement';
import type {AttemptReport, Entry, TaskChange} from '@nutmegproxy/schema';

import type {Task} from './TaskModel.ts';

import {defined} from './ObjectUtils.ts';
import {taskIdOf} from './TaskModel.ts';
import {
  CLOCK_RATE_MARGIN,
  CLOCK_SKEW_MS,
  DEFAULT_ATTEMPTS,
  MAX_CHECKPOINT_LENGTH,
  MAX_REASON_LENGTH,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
} from './TasksConstants.ts';

/** A change to commit; once it is in force, the attempt's reservation ends with `outcome`. */
export interface AttemptVerdict {
  readonly attempt: string;
  readonly change: TaskChange;
  readonly outcome: AttemptOutcome | undefined;
}

/** Clock readings that a verdict is based on. */
export interface VerdictTimes {
  readonly now: Instant;
  readonly wall: WallTime;
}

type Verdict = (
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
) => AttemptVerdict | undefined;

/**
 * Delay before the next attempt of a task that has failed `failures` times.
 *
 * @example
 * const notBefore = wall + backoffMs(task.failures);
 */
export function backoffMs(failures: number): number {
  return Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** Math.min(failures, 16));
}

function returned(
  task: Task,
  wall: WallTime,
  outcome: AttemptOutcome,
  checkpoint?: string,
): AttemptVerdict {
  const attempt = task.attempt ?? '';
  const kept = (checkpoint?.length ?? 0) <= MAX_CHECKPOINT_LENGTH ? checkpoint : undefined;
  return {
    attempt,
    change: defined({
      at: wall,
      attempt,
      checkpoint: kept,
      failed: false,
      kind: 'attempt-returned',
      task: taskIdOf(task),
    } as const),
    outcome,
  };
}

function failed(
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
): AttemptVerdict {
  const limit = entry?.limits.attempts ?? DEFAULT_ATTEMPTS;
  const attempt = report.attempt;
  if (task.failures + 1 >= limit && !task.job.cancelled) {
    const reason = (report.error ?? 'the attempt failed').slice(0, MAX_REASON_LENGTH);
    return {
      attempt,
      change: {at: wall, kind: 'task-ended', outcome: 'failed', reason, task: taskIdOf(task)},
      outcome: 'failed',
    };
  }
  const verdict = returned(task, wall, 'failed');
  const notBefore = wall + backoffMs(task.failures);
  return {...verdict, change: {...verdict.change, failed: true, notBefore} as TaskChange};
}

const VERDICTS: Record<AttemptReport['state'], Verdict> = {
  checkpointed: (task, report, _entry, wall) => returned(task, wall, 'evicted', report.checkpoint),
  failed,
  lapsed: (task, report, _entry, wall) => returned(task, wall, 'lost', report.checkpoint),
  running: (task, report) =>
    task.state === 'starting'
      ? {
          attempt: report.attempt,
          change: {attempt: report.attempt, kind: 'start-confirmed', task: taskIdOf(task)},
          outcome: undefined,
        }
      : undefined,
  stopped: (task, report, _entry, wall) => returned(task, wall, 'evicted', report.checkpoint),
  succeeded: (task, report, _entry, wall) => ({
    attempt: report.attempt,
    change: {at: wall, kind: 'task-ended', outcome: 'succeeded', task: taskIdOf(task)},
    outcome: 'succeeded',
  }),
};

/** What a report about a live attempt changes; undefined when it changes nothing. */
export function judgeReport(
  task: Task,
  report: AttemptReport,
  entry: Entry | undefined,
  wall: WallTime,
): AttemptVerdict | undefined {
  return VERDICTS[report.state](task, report, entry, wall);
}

/** Longest time that a lease may still run after `leaseBase`, with one renewal unanswered. */
export function longestLeaseMs(leaseMs: number): number {
  return 2 * leaseMs * (1 + CLOCK_RATE_MARGIN) + CLOCK_SKEW_MS;
}

/**
 * A verdict on an attempt of which nothing is heard. `leaseBase` is the last instant at which its
 * worker certainly held a lease that this or an earlier owner had granted.
 */
export function judgeSilence(
  task: Task,
  leaseBase: Instant,
  leaseMs: number,
  times: VerdictTimes,
): AttemptVerdict | undefined {
  const lapsed = times.now > leaseBase + longestLeaseMs(leaseMs);
  const lastStart = (task.startBefore ?? 0) + CLOCK_SKEW_MS;
  const startLapsed = times.wall > lastStart + leaseMs * (1 + CLOCK_RATE_MARGIN);
  return lapsed && startLapsed ? returned(task, times.wall, 'lost') : undefined;
}

/** A verdict on an attempt that its worker certainly did not start. */
export function judgeRefusal(task: Task, wall: WallTime): AttemptVerdict {
  const verdict = returned(task, wall, 'refused');
  return {...verdict, change: {...verdict.change, notBefore: wall + RETRY_BASE_MS} as TaskChange};
}
