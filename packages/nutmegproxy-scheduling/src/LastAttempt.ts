/** Keeps the last attempt of a task for a minion that is likely to be sound. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';

/**
 * Longest time in milliseconds, from the last failure of a task, for which its last attempt waits for a
 * trusted minion. A task that this owner has not seen fail counts from when its turn came.
 */
const MAX_WAIT_MS = 12_000;

/** A task with the number of attempts that its queue allows. */
export interface AttemptedTask {
  readonly index: number;
  readonly maxAttempts: number;
  readonly step: StepState;
}

/**
 * Whether the task has one attempt left that still waits for a better minion than this one.
 *
 * @example
 * if (shouldSaveLastAttempt({index, maxAttempts, step}, minion, now)) continue;
 */
export function shouldSaveLastAttempt(
  {index, maxAttempts, step}: AttemptedTask,
  {trust}: MinionState,
  now: Instant,
): boolean {
  const failures = step.failures.get(index)?.length ?? 0;
  if (failures === 0 || failures < maxAttempts - 1 || step.shape.longRunning) {
    return false;
  }
  const isBetterMinion = trust.level(now) === 'trusted' && !trust.hasRecentFailures(now);
  return !isBetterMinion && findLastAttemptWaitMs(step, index, now) > 0;
}

/** Returns the time in milliseconds for which the last attempt of a task may still be saved. */
export function findLastAttemptWaitMs(step: StepState, index: number, now: Instant): number {
  const waitsSince = step.failedAt.get(index) ?? step.readyAt ?? now;
  return Math.max(0, MAX_WAIT_MS - (now - waitsSince));
}
