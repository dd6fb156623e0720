/** How long each reason may withhold a task whose turn has come, and from when that counts. */

import type {PlatformBounds} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

import type {LeaseTimes} from './LeaseTimes.ts';
import type {PendingReason} from './PendingTaskReason.ts';

import {MAX_LAST_ATTEMPT_WAIT_MS} from './LastAttempt.ts';
import {FAILED_TRIAL_AVOIDANCE_MS} from './MinionQuarantine.ts';
import {DEADLY_HOLD_MS, SUSPICION_BOUND_MS} from './TrialPacing.ts';

/** Time in milliseconds that is left for the start itself. */
const START_MARGIN_MS = 500;
/** Shortest wait in milliseconds for something better: as long as a quarantine may last. */
const MIN_WAIT_MS = 4_000;

/**
 * `capacity`: there is no room, or the owner has no time. `policy`: something better is waited for. `safety`: a run
 * may be live, or an attempt may be used up.
 */
export type BoundKind = 'capacity' | 'policy' | 'safety';

/** Bounds of the platform from which those of the reasons follow. */
export interface PendingBoundSource {
  readonly bounds: PlatformBounds;
  readonly leaseTimes: LeaseTimes;
}

export interface PendingBound {
  readonly kind: BoundKind;
  /** Longest time in milliseconds beside free room; Infinity where nothing limits it. */
  readonly maxMs: (source: PendingBoundSource) => number;
  /** What the time counts from, or what ends a reason without a limit. */
  readonly since: string;
}

const UNLIMITED = (): number => Infinity;

/**
 * Returns the longest wait in milliseconds for a trusted minion, or for one whose serving tasks tolerate backfill.
 * It counts from when the turn of a step came, a task of it was started last or has failed last, whatever other
 * work does on the minions meanwhile.
 *
 * @example
 * deriveMaxWait({finishMs: 14_000}); // 13_500
 */
export function deriveMaxWait({
  finishMs = DEFAULT_PLATFORM_BOUNDS.finishMs,
}: {
  readonly finishMs?: number | undefined;
}): number {
  return Math.max(MIN_WAIT_MS, finishMs - START_MARGIN_MS);
}

export const PENDING_BOUNDS: Readonly<Record<PendingReason, PendingBound>> = {
  // A minion refuses a start without a ticket.
  advice: {
    kind: 'policy',
    maxMs: UNLIMITED,
    since: 'until the advisor permits a minion with room',
  },
  availability: {
    kind: 'safety',
    maxMs: UNLIMITED,
    since: 'until a minion with room responds, is listed and does not drain',
  },
  avoidance: {
    kind: 'policy',
    maxMs: () => FAILED_TRIAL_AVOIDANCE_MS,
    since: 'its last failure, stall or refusal',
  },
  // Its starts would crash minions, and its job can't be completed.
  deadly: {
    kind: 'safety',
    maxMs: () => DEADLY_HOLD_MS,
    since: 'the last crash under it, unless other crashes explain those before',
  },
  directory: {kind: 'safety', maxMs: UNLIMITED, since: 'until the store answers'},
  gang: {
    kind: 'safety',
    maxMs: ({leaseTimes}) => leaseTimes.maxStartLeaseMs,
    since: 'the last order to a member',
  },
  'last-attempt': {
    kind: 'policy',
    maxMs: () => MAX_LAST_ATTEMPT_WAIT_MS,
    since: 'its last failure, or its turn under an owner that saw none',
  },
  lease: {
    kind: 'safety',
    maxMs: ({leaseTimes}) => leaseTimes.maxStartLeaseMs,
    since: 'the last order to the minion',
  },
  placement: {
    kind: 'capacity',
    maxMs: UNLIMITED,
    since: 'until the jobs before it leave room, for all members of a gang at once',
  },
  recovery: {
    kind: 'safety',
    maxMs: ({leaseTimes}) => Math.max(leaseTimes.maxStartLeaseMs, leaseTimes.maxUncappedLeaseMs),
    since: 'the takeover',
  },
  room: {kind: 'capacity', maxMs: UNLIMITED, since: 'until work ends'},
  sharing: {
    kind: 'policy',
    maxMs: ({bounds}) => deriveMaxWait(bounds),
    since:
      'its turn, later 2 s from the last end of a task of its step, while nothing of its job runs and under half of the room is in use',
  },
  start: {
    kind: 'safety',
    maxMs: ({leaseTimes}) => leaseTimes.maxStartLeaseMs,
    since: 'the start',
  },
  'start-limit': {
    kind: 'capacity',
    maxMs: UNLIMITED,
    since: "while the owner's process is full",
  },
  stop: {
    kind: 'safety',
    maxMs: ({leaseTimes}) => leaseTimes.maxStartLeaseMs,
    since: 'the last order to the minion',
  },
  suspicion: {
    kind: 'policy',
    maxMs: ({bounds}) => Math.max(SUSPICION_BOUND_MS, deriveMaxWait(bounds)),
    since: 'the last crash under it',
  },
  trust: {
    kind: 'policy',
    maxMs: ({bounds}) => deriveMaxWait(bounds),
    since:
      'its turn, or the last start or failure of its step, while under half of the room is in use',
  },
  // Counting such a run as no attempt may start a task after its last one.
  'unknown-result': {
    kind: 'safety',
    maxMs: UNLIMITED,
    since: 'until the minion lists its results, or has left',
  },
};

/**
 * Returns the reasons by which a preference may withhold a task until callers count it as lost. They count from events
 * of the task itself, so that one runs beside the other and the longest is the bound of all.
 *
 * @example
 * findExceedingReasons({bounds: DEFAULT_PLATFORM_BOUNDS, leaseTimes: DEFAULT_LEASE_TIMES}); // ['advice']
 */
export function findExceedingReasons(source: PendingBoundSource): readonly PendingReason[] {
  const entries = Object.entries(PENDING_BOUNDS) as [PendingReason, PendingBound][];
  return entries.flatMap(([reason, {kind, maxMs}]) =>
    kind === 'policy' && maxMs(source) >= source.bounds.finishMs ? [reason] : [],
  );
}

/**
 * Returns the bound of a reason as the operators' page tells it.
 *
 * @example
 * describeBound('avoidance', source); // 'policy: 8 s from its last failure, stall or refusal'
 */
export function describeBound(reason: PendingReason, source: PendingBoundSource): string {
  const {kind, maxMs, since} = PENDING_BOUNDS[reason];
  const limitMs = maxMs(source);
  return limitMs === Infinity
    ? `${kind}: no bound, ${since}`
    : `${kind}: ${(limitMs / 1_000).toFixed(1)} s from ${since}`;
}
