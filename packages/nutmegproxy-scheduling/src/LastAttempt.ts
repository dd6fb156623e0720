/** Keeps the last attempt of a task for a minion that is likely to be sound. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';
import {AVOIDANCE_MS} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {isOnlyUntrusted} from './MinionAvailability.ts';
import {RECENT_FAILURE_MS} from './MinionTrust.ts';
import {isSchedulable, meetsConstraints} from './Placement.ts';

/**
 * Time in milliseconds after a failure for which a job of which nothing runs waits for a better minion, once it has
 * waited since its turn: shorter than the 3 s in which callers count it as lost.
 */
export const RETRY_WAIT_MS = 2_000;

/**
 * Longest time in milliseconds, from the last failure of a task, for which its last attempt waits for a
 * trusted minion. A task that this owner has not seen fail counts from when its turn came, unless the end of
 * the former ownership is known.
 */
export const MAX_LAST_ATTEMPT_WAIT_MS = 12_000;

/**
 * Whether the minion may be what made a task fail: its step, or this member of a gang, has failed on no other that is
 * known.
 */
export function mayBeCause(
  {failedOn, shape}: StepState,
  index: number,
  {id}: MinionState,
): boolean {
  if (failedOn.size !== 1) {
    return failedOn.size === 0;
  }
  const failed = failedOn.get(id);
  return failed !== undefined && (!shape.gang || failed.has(index));
}

/** Failures of a task from which it waits in full, so that minions that fail everything get few runs. */
export const MAX_QUICK_FAILURES = 4;

/** Whether no other minion that is up could run a task of the step if it had room. */
function isOnlyAble(
  {minions}: Fleet,
  step: StepState,
  {description: {service}, id}: MinionState,
  now: Instant,
): boolean {
  const {cpuMilli, gpus, memoryMb} = step.shape.resources;
  return ![...minions.values()].some((other) => {
    const {capacity, service: otherService} = other.description;
    const isLargeEnough =
      capacity.cpuMilli >= cpuMilli && capacity.gpus >= gpus && capacity.memoryMb >= memoryMb;
    return (
      other.id !== id &&
      otherService === service &&
      isLargeEnough &&
      meetsConstraints(step, other) &&
      (isSchedulable(other, now) || isOnlyUntrusted(other, now))
    );
  });
}

/**
 * Returns from when a task of which nothing else runs may start again on the only minion that can run it, though it
 * has failed there: one that is trusted has failed no other job lately, and beside free room a longer wait for a better
 * one has no end that callers would take. Infinity where that does not hold.
 */
function findRetryAt(
  fleet: Fleet,
  {index, step}: Pick<AttemptedTask, 'index' | 'step'>,
  minion: MinionState,
  now: Instant,
): number {
  const {failedAt, failures, job, shape} = step;
  const {service} = fleet.resolveQueuePolicy(job);
  const mayRetry =
    !shape.gang &&
    !job.hasLiveRuns &&
    minion.trust.level(now) === 'trusted' &&
    (failures.get(index)?.length ?? 0) < MAX_QUICK_FAILURES &&
    fleet.freeRoom.findSince(service) !== undefined &&
    isOnlyAble(fleet, step, minion, now);
  return mayRetry ? (failedAt.get(index) ?? Infinity) + RETRY_WAIT_MS : Infinity;
}

/**
 * Returns until when a task avoids a minion on which it failed, stalled or found no room; -Infinity if it doesn't. Only
 * a failure there is what it may start again after sooner.
 */
export function findAvoidanceEnd(
  fleet: Fleet,
  task: Pick<AttemptedTask, 'index' | 'step'>,
  minion: MinionState,
  now: Instant,
): number {
  const {index, step} = task;
  const until = step.findAvoidedUntil(index, minion.id);
  const failedAt = step.failedAt.get(index);
  const isByFailure = failedAt !== undefined && until <= failedAt + AVOIDANCE_MS;
  return isByFailure && until > now
    ? Math.min(until, findRetryAt(fleet, task, minion, now))
    : until;
}

/** A task with the number of attempts that its queue allows. */
export interface AttemptedTask {
  readonly index: number;
  readonly maxAttempts: number;
  readonly step: StepState;
}

/**
 * Returns until when the last attempt of a task waits for a better minion than this one. What former owners saw fail
 * before their ownership ended, or before it was stored, is not recent any more after the same time.
 */
function findWaitEnd(
  fleet: Fleet,
  task: Pick<AttemptedTask, 'index' | 'step'>,
  minion: MinionState,
  now: Instant,
): number {
  const {formerReleasedAt} = fleet;
  const {index, step} = task;
  const failedAt = step.failedAt.get(index);
  const turnAt = step.turnAt ?? now;
  if (failedAt === undefined && formerReleasedAt !== undefined) {
    const {heldSince = formerReleasedAt} = step.job;
    return after(Math.min(formerReleasedAt, heldSince) as Instant, RECENT_FAILURE_MS);
  }
  const latestAt = after(failedAt ?? turnAt, MAX_LAST_ATTEMPT_WAIT_MS);
  // A gang that waits has no runs but those that reserve room while its minions are chosen.
  const hasRuns = step.job.hasLiveRuns && !step.shape.gang;
  if (failedAt === undefined || hasRuns || mayBeCause(step, index, minion)) {
    return Math.min(latestAt, findRetryAt(fleet, task, minion, now));
  }
  return Math.min(latestAt, Math.max(turnAt + MAX_LAST_ATTEMPT_WAIT_MS, failedAt + RETRY_WAIT_MS));
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
  minion: MinionState,
  now: Instant,
): boolean {
  const {trust} = minion;
  const {index, maxAttempts, step} = task;
  const failures = step.failures.get(index)?.length ?? 0;
  if (failures === 0 || failures < maxAttempts - 1 || step.shape.longRunning) {
    return false;
  }
  const isBetterMinion = trust.level(now) === 'trusted' && !trust.hasRecentFailures(now);
  return !isBetterMinion && findLastAttemptWaitMs(fleet, task, minion, now) > 0;
}

/** Returns the time in milliseconds for which the last attempt of a task may still be saved. */
export function findLastAttemptWaitMs(
  fleet: Fleet,
  task: Pick<AttemptedTask, 'index' | 'step'>,
  minion: MinionState,
  now: Instant,
): number {
  return Math.max(0, findWaitEnd(fleet, task, minion, now) - now);
}
