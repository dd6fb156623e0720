/**
 * Finds steps that have waited for long beside free room. Other work may fail again and again on the minions
 * with room, so that each trial is followed by another quarantine, and serving tasks may stay over their targets:
 * a wait for trust or for tolerant minions alone would have no end.
 */

import type {Instant} from '@nutmegproxy/core';
import type {QueueId, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {RETRY_WAIT_MS} from './LastAttempt.ts';
import {isOnlyUntrusted} from './MinionAvailability.ts';
import {INTERFERENCE_COST} from './Placement.ts';

/**
 * Time in milliseconds of free room before a step that has waited passes the preferences: work that waited for room gets
 * time for a better minion, and is started before the 3 s are over in which it may wait beside room.
 */
const MIN_FREE_MS = 2_000;

/**
 * Returns since when a step waits: for its turn, since a start or a failure. Lasting tasks wait each for itself.
 * Backfill that has been evicted waits on, or each eviction would begin another wait.
 */
function findWaitStart({
  doneAt = -Infinity as Instant,
  failedAt,
  placedAt = -Infinity as Instant,
  shape,
  turnAt = Infinity as Instant,
  waiting,
}: StepState): number {
  if (!shape.longRunning) {
    return Math.max(turnAt, shape.fillsSpareCpu ? doneAt : placedAt, ...failedAt.values());
  }
  const failures = [...waiting].map((index) => failedAt.get(index) ?? -Infinity);
  return Math.max(turnAt, Math.min(...failures));
}

/** Whether a lasting task has waited itself since the given instant or longer; others wait with their step. */
export function hasTaskWaitedSince(
  {failedAt, shape, turnAt = Infinity as Instant}: StepState,
  index: number,
  since: number,
): boolean {
  return !shape.longRunning || Math.max(turnAt, failedAt.get(index) ?? -Infinity) <= since;
}

/** Whether other work of its job runs, so that its backfill may wait on. */
function hasOtherRuns({job, shape}: StepState): boolean {
  return shape.fillsSpareCpu && job.hasLiveRuns;
}

/** Whether a step has waited since the given instant or longer; most steps are told from their turn alone. */
function hasWaitedSince(step: StepState, since: number): boolean {
  const {turnAt = Infinity, waiting} = step;
  return turnAt <= since && waiting.size > 0 && findWaitStart(step) <= since && !hasOtherRuns(step);
}

/**
 * Whether nothing of a job runs since a turn, a start or an end some time ago, although the first turn in the occurrence
 * of its step came at the given instant or before.
 */
function isIdle(step: StepState, turnBefore: number, now: Instant): boolean {
  const {doneAt = -Infinity, job, shape, waiting} = step;
  const siblings = job.occurrence(step.occurrence) ?? [];
  return (
    !job.hasLiveRuns &&
    !shape.longRunning &&
    waiting.size > 0 &&
    siblings.some(({turnAt = Infinity}) => turnAt <= turnBefore) &&
    Math.max(doneAt, findWaitStart(step)) + RETRY_WAIT_MS <= now
  );
}

/**
 * Returns from when room has been free for long enough for the work of a step; Infinity while it isn't. What has waited
 * under former owners, too, waits no longer for room that has been free since this owner took over.
 */
function findPassingAt(fleet: Fleet, step: StepState): number {
  const {freeRoom} = fleet;
  const {service} = fleet.resolveQueuePolicy(step.job);
  const since = freeRoom.findSince(service) ?? Infinity;
  const mayBeLonger = step.heldSince !== undefined && freeRoom.isFreeSinceRecovery(service);
  return mayBeLonger ? since : since + MIN_FREE_MS;
}

/**
 * Returns those of the steps that have waited for `maxWaitMs`, the last of it beside free room, in the same order.
 *
 * @example
 * const steps = findOverdueSteps(fleet, ordered, deriveMaxWait(bounds), now);
 */
export function findOverdueSteps(
  fleet: Fleet,
  ordered: readonly StepState[],
  maxWaitMs: number,
  now: Instant,
): readonly StepState[] {
  const waiting = ordered.filter((step) => hasWaitedSince(step, now - maxWaitMs));
  return waiting.filter((step) => findPassingAt(fleet, step) <= now);
}

/**
 * Returns those of the steps in whose occurrence the first turn came `maxWaitMs` ago and of which turns came or tasks
 * started or ended since, while nothing of their jobs runs, in the same order and without those that are overdue: a wait
 * that began anew with each of these would have no end, as callers see it.
 */
export function findIdleSteps(
  fleet: Fleet,
  ordered: readonly StepState[],
  maxWaitMs: number,
  now: Instant,
): readonly StepState[] {
  const since = now - maxWaitMs;
  const waiting = ordered.filter(
    (step) => isIdle(step, since, now) && !hasWaitedSince(step, since),
  );
  return waiting.filter((step) => findPassingAt(fleet, step) <= now);
}

/**
 * Returns the time in milliseconds until the step is overdue; undefined where its service is too full for that.
 *
 * @example
 * findOverdueInMs(fleet, step, deriveMaxWait(bounds), now); // 9_500
 */
export function findOverdueInMs(
  fleet: Fleet,
  step: StepState,
  maxWaitMs: number,
  now: Instant,
): number | undefined {
  const passingAt = findPassingAt(fleet, step);
  return step.turnAt !== undefined && !hasOtherRuns(step) && passingAt < Infinity
    ? Math.max(0, passingAt - now, findWaitStart(step) + maxWaitMs - now)
    : undefined;
}

/** Whether overdue backfill works in its turn on a minion. */
export function hasTurn({runs}: MinionState): boolean {
  return [...runs].some(({toleratedSince}) => toleratedSince !== undefined);
}

/**
 * Returns the steps with some of them in the order of their last starts, in the places of these of their queue: backfill
 * that works in turns is stopped and waits again, and those that come first otherwise would take each turn.
 *
 * @example
 * orderByLastStart([ordinary, stopped, waiting], new Set([stopped, waiting])); // [ordinary, waiting, stopped]
 */
export function orderByLastStart(
  ordered: readonly StepState[],
  taken: ReadonlySet<StepState>,
): readonly StepState[] {
  const byQueue = new Map<QueueId, StepState[]>();
  const byLastStart = ordered
    .filter((step) => taken.has(step))
    .sort(({placedAt: a = -Infinity}, {placedAt: b = -Infinity}) => Number(a > b) - Number(a < b));
  for (const step of byLastStart) {
    const {queue} = step.job.request;
    const steps = byQueue.get(queue) ?? [];
    steps.push(step);
    byQueue.set(queue, steps);
  }
  const next = new Map([...byQueue].map(([queue, steps]) => [queue, steps.values()]));
  return ordered.map((step) =>
    taken.has(step) ? (next.get(step.job.request.queue)?.next().value ?? step) : step,
  );
}

/** Returns the minions that get no new work for no other reason than that their runs have failed or stalled. */
export function listUntrustedMinions({minions}: Fleet, now: Instant): readonly MinionState[] {
  return [...minions.values()].filter((minion) => isOnlyUntrusted(minion, now));
}

function bindCosts(costs: SharingCosts): Omit<SharingCosts, 'backfillCost'> {
  return {
    ordinaryCost: (minion, shape) => costs.ordinaryCost(minion, shape),
    servingCost: (minion, shape) => costs.servingCost(minion, shape),
  };
}

/** Returns costs under which backfill disturbs no serving tasks. */
export function avoidInterference(costs: SharingCosts): SharingCosts {
  return {
    ...bindCosts(costs),
    backfillCost: (minion, step, now) =>
      costs.toleratedCost === undefined
        ? costs.backfillCost(minion, step, now)
        : costs.toleratedCost(minion, step, now),
  };
}

/** Returns costs under which backfill may disturb serving tasks where no minion tolerates it. */
export function tolerateInterference(costs: SharingCosts): SharingCosts {
  return {
    ...bindCosts(costs),
    backfillCost: (minion, step, now) =>
      costs.overdueCost === undefined
        ? (costs.backfillCost(minion, step, now) ?? INTERFERENCE_COST)
        : costs.overdueCost(minion, step, now),
  };
}
