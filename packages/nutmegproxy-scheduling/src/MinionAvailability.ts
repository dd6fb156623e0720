/** Names why a minion gets no new work. */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

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

/** Whether a run shows if its minion is sound: the owner has sent it since the minion's quarantine. */
export function isTrialRun({trust}: MinionState, {isAdopted, sentAt}: Run): boolean {
  return isAdopted !== true && trust.isTrial(sentAt);
}

/** Whether the minion is on trial and has a run that shows if it is sound. */
export function hasTrialRun(minion: MinionState): boolean {
  for (const run of minion.runs) {
    if (isTrialRun(minion, run)) {
      return true;
    }
  }
  return false;
}

/**
 * Whether the minion is trusted, or is on trial and has no run yet that shows whether it is sound. The
 * members of a gang are one trial.
 */
export function isOpenToRuns(minion: MinionState, now: Instant, step?: StepState): boolean {
  const level = minion.trust.level(now);
  if (level !== 'trial') {
    return level === 'trusted';
  }
  const others = [...minion.runs].filter((run) => !run.step.shape.gang || run.step !== step);
  return !others.some((run) => isTrialRun(minion, run));
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
  trial: (minion, now) => minion.trust.level(now) === 'trial' && hasTrialRun(minion),
  'unknown-runs': ({unknownRuns}) => unknownRuns > 0,
  unlisted: ({unlistedSince}, now) => now - (unlistedSince ?? Infinity) >= UNLISTED_GRACE_MS,
  unregistered: ({isRegistered}) => !isRegistered,
  unreported: ({hasReported}) => !hasReported,
};

const ORDERED_CONDITIONS = Object.entries(CONDITIONS) as [Unavailability, Condition][];
/** Conditions that rest on the failures of runs alone. */
const TRUST_CONDITIONS: ReadonlySet<Unavailability> = new Set(['quarantined', 'trial']);

/**
 * Returns the first reason for which the minion gets no new work; undefined when it can get some.
 *
 * @example
 * findUnavailability(minion, now); // 'draining'
 */
export function findUnavailability(minion: MinionState, now: Instant): undefined | Unavailability {
  for (const [name, isMet] of ORDERED_CONDITIONS) {
    if (isMet(minion, now)) {
      return name;
    }
  }
  return undefined;
}

/** Whether the minion gets no new work for no other reason than that its runs have failed or stalled. */
export function isOnlyUntrusted(minion: MinionState, now: Instant): boolean {
  if (minion.trust.level(now) === 'trusted') {
    return false;
  }
  const met = ORDERED_CONDITIONS.filter(([, isMet]) => isMet(minion, now));
  return met.length > 0 && met.every(([name]) => TRUST_CONDITIONS.has(name));
}
