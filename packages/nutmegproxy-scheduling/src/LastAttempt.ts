/** Keeps the last attempt of a task for a minion that is likely to be sound. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {RECENT_FAILURE_MS} from './MinionTrust.ts';

/**
 * Longest time in milliseconds, from the last failure of a task, for which its last attempt waits for a
 * trusted minion. A task that this owner has not seen fail counts from when its turn came, unless the end of
 * the former ownership is known.
 */
export const MAX_LAST_ATTEMPT_WAIT_MS = 12_000;

/** A task with the number of attempts that its queue allows. */
export interface AttemptedTask {
  readonly index: number;
  readonly maxAttempts: number;
  readonly step: StepState;
}

/**
 * Returns until when the last attempt of a task waits. What former owners saw fail before their ownership
 * ended is not recent any more after the same time.
 */
function findWaitEnd(
  {formerReleasedAt}: Fleet,
  {index, step}: Pick<AttemptedTask, 'index' | 'step'>,
  now: Instant,
): Instant {
  const failedAt = step.failedAt.get(index);
  return failedAt === undefined && formerReleasedAt !== undefined
    ? after(formerReleasedAt, RECENT_FAILURE_MS)
    : after(failedAt ?? step.readyAt ?? now, MAX_LAST_ATTEMPT_WAIT_MS);
}

/**
 * Whether the task has one attempt left that still waits for a better minion than this one.
 *
 * @example
 * if (shouldSaveLastAttempt(fleet, {index, maxAttempts, step}, minion, now)) continue;
 */
export function shouldSaveLastAttempt(
  fleet: Fleet,
  task: AttemptedTask,
  {trust}: MinionState,
  now: Instant,
): boolean {
  const {index, maxAttempts, step} = task;
  const failures = step.failures.get(index)?.length ?? 0;
  if (failures === 0 || failures < maxAttempts - 1 || step.shape.longRunning) {
    return false;
  }
  const isBetterMinion = trust.level(now) === 'trusted' && !trust.hasRecentFailures(now);
  return !isBetterMinion && findLastAttemptWaitMs(fleet, task, now) > 0;
}

/** Returns the time in milliseconds for which the last attempt of a task may still be saved. */
export function findLastAttemptWaitMs(
  fleet: Fleet,
  task: Pick<AttemptedTask, 'index' | 'step'>,
  now: Instant,
): number {
  return Math.max(0, findWaitEnd(fleet, task, now) - now);
}
