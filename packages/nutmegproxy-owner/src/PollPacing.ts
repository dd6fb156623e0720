/**
 * Decides how long polls wait on a minion, and how long the next one is delayed. This matters in
 * large fleets with much backfill: a poll returns at the end of the first run, so that hundreds of
 * minions with short backfill tasks would take most of the owner's processor time with a poll for
 * each task. The delay lets one poll report several of them.
 */

import type {Instant} from '@nutmegproxy/core';
import type {MinionState} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';
import {classifyWork, hasTrialRun} from '@nutmegproxy/scheduling';

import type {PollDue} from './PollLimiter.ts';

import {NEAR_TARGET_POLL_WAIT_MS, POLL_WAIT_MS, SHORT_POLL_WAIT_MS} from './OwnerConstants.ts';

/** Polls per second of all minions up to which the next poll of a minion is not delayed. */
const UNDELAYED_POLLS_PER_SECOND = 1_500;
/** Longest delay in milliseconds; it adds to the time until backfill jobs are completed. */
const MAX_POLL_DELAY_MS = 400;
/** Polls of the longest wait that begin while a lease lasts, so that one that is missed does not end it. */
const POLLS_PER_LEASE = 3;

/**
 * Returns the time in milliseconds that a poll waits on the minion for the end of a run.
 * `overdueInMs` is the time until a run of the minion takes longer than expected.
 */
export function choosePollWaitMs(
  minion: MinionState,
  conditions: {readonly isNearTarget: boolean; readonly overdueInMs: number},
): number {
  if (!minion.leaseClock.hasReading || minion.missedCalls > 0) {
    return 0;
  }
  const {minionLeaseMs} = minion.leaseClock.times;
  const longestMs = Math.min(POLL_WAIT_MS, Math.round(minionLeaseMs / POLLS_PER_LEASE));
  if (conditions.isNearTarget || minion.trialRun !== undefined) {
    return Math.min(longestMs, NEAR_TARGET_POLL_WAIT_MS);
  }
  if (hasTrialRun(minion) || (minion.servingRuns > 0 && minion.backfillCpuMilli > 0)) {
    return Math.min(longestMs, SHORT_POLL_WAIT_MS);
  }
  const untilOverdueMs = Math.max(SHORT_POLL_WAIT_MS, conditions.overdueInMs);
  return Math.min(longestMs, Math.round(untilOverdueMs));
}

/** Whether somebody waits for the next result on the minion more than for those of backfill. */
function hasUrgentRuns(minion: MinionState): boolean {
  for (const {phase, step} of minion.runs) {
    if (phase === 'stopping' || classifyWork(step.shape) === 'ordinary') {
      return true;
    }
  }
  return false;
}

/** Whether the next listing of the minion matters sooner than the renewal of its lease. */
function isPollUrgent(minion: MinionState): boolean {
  return (
    !minion.leaseClock.hasReading ||
    minion.missedCalls > 0 ||
    minion.mayOmitResults ||
    minion.description.isDraining ||
    minion.trialRun !== undefined ||
    hasTrialRun(minion) ||
    hasUrgentRuns(minion)
  );
}

/**
 * Returns the delay of the next poll of a minion after a response, in milliseconds. It keeps the
 * polls of a fleet of that many minions near a constant rate; a minion with urgent runs is not
 * delayed.
 *
 * @example
 * choosePollDelayMs(minion, 300); // 200
 */
export function choosePollDelayMs(minion: MinionState, minions: number): number {
  return isPollUrgent(minion)
    ? 0
    : Math.min(MAX_POLL_DELAY_MS, Math.round((minions * 1_000) / UNDELAYED_POLLS_PER_SECOND));
}

/** Returns the time in milliseconds until half of the lease of a minion has passed. */
function computeRenewalDueInMs({leaseClock}: MinionState, now: Instant): number {
  return leaseClock.expiresInMs(now) - leaseClock.times.minionLeaseMs / 2;
}

/** Whether the lease of a minion should be renewed before other work is done; a silent one is granted none. */
export function isRenewalDue(minion: MinionState, now: Instant): boolean {
  return minion.missedCalls === 0 && computeRenewalDueInMs(minion, now) <= 0;
}

/**
 * Returns when the next poll of a minion is due, which decides on the order of polls while their number is
 * limited: at once where its listing is urgent, otherwise when half of its lease has passed. The first polls
 * go before all others, and in a slow event loop those that renew the lease of a former owner before those
 * that read a clock: such leases may end soon, and the clocks of all minions are not read in time.
 *
 * @example
 * choosePollDue(minion, {isFirst: false}, now).at; // now, if an ordinary task runs on it
 */
export function choosePollDue(
  minion: MinionState,
  {isFirst}: {readonly isFirst: boolean},
  now: Instant,
): PollDue {
  const {hasReading, times} = minion.leaseClock;
  if (isFirst) {
    const at = after(now, -times.maxMinionLeaseMs);
    return {at, inSlowLoopAt: hasReading ? after(at, -times.maxMinionLeaseMs) : at};
  }
  const renewalDueInMs = computeRenewalDueInMs(minion, now);
  const at = after(now, isPollUrgent(minion) ? Math.min(0, renewalDueInMs) : renewalDueInMs);
  return {at, inSlowLoopAt: at};
}
