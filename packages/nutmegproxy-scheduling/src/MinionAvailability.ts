/** Names why a minion gets no new work. */

import type {Instant} from '@nutmegproxy/core';

import type {MinionState} from './MinionState.ts';

/** Time in milliseconds that a minion's entry may be missing before the minion gets no new work. */
const UNLISTED_GRACE_MS = 2_500;

/**
 * `recorded`: the store names it as draining or unreachable. `task-trial`: it runs a suspected task.
 * `trial`: a run shows at present whether it is sound.
 * `unknown-runs`: it has runs that belong to no known task. `no-reading`: nothing is known of its clock.
 */
export type Unavailability =
  | 'draining'
  | 'no-reading'
  | 'not-responding'
  | 'quarantined'
  | 'recorded'
  | 'task-trial'
  | 'trial'
  | 'unknown-runs'
  | 'unlisted'
  | 'unregistered'
  | 'unreported';

/** Whether the minion is trusted, or is on trial and has no run yet that shows whether it is sound. */
export function isOpenToRuns({runs, trust}: MinionState, now: Instant): boolean {
  const level = trust.level(now);
  return (
    level === 'trusted' ||
    (level === 'trial' && ![...runs].some(({sentAt}) => trust.isTrial(sentAt)))
  );
}

type Condition = (minion: MinionState, now: Instant) => boolean;

/** In the order in which they are named: what the minion itself says comes before what the owner believes. */
const CONDITIONS: Readonly<Record<Unavailability, Condition>> = {
  draining: ({description}) => description.isDraining,
  'no-reading': ({leaseClock}) => !leaseClock.hasReading,
  'not-responding': ({missedCalls}) => missedCalls > 0,
  quarantined: ({trust}, now) => trust.level(now) === 'quarantined',
  recorded: ({isRecordedDraining, isRecordedUnreachable}) =>
    isRecordedDraining || isRecordedUnreachable,
  'task-trial': ({trialRun}) => trialRun !== undefined,
  trial: (minion, now) => minion.trust.level(now) === 'trial' && !isOpenToRuns(minion, now),
  'unknown-runs': ({unknownRuns}) => unknownRuns > 0,
  unlisted: ({unlistedSince}, now) => now - (unlistedSince ?? Infinity) >= UNLISTED_GRACE_MS,
  unregistered: ({isRegistered}) => !isRegistered,
  unreported: ({hasReported}) => !hasReported,
};

const ORDERED_CONDITIONS = Object.entries(CONDITIONS) as [Unavailability, Condition][];

/**
 * Returns the first reason for which the minion gets no new work; undefined when it can get some.
 *
 * @example
 * findUnavailability(minion, now); // 'draining'
 */
export function findUnavailability(minion: MinionState, now: Instant): undefined | Unavailability {
  return ORDERED_CONDITIONS.find(([, isMet]) => isMet(minion, now))?.[0];
}
