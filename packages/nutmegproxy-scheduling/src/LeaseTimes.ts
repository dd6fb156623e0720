/** Derives how long leases last, and how long they are waited for, from the bounds of the platform. */

import type {PlatformBounds} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS, invariant} from '@nutmegproxy/core';

/** Time to live of the ownership lease in milliseconds, unless the store has a longer minimum. */
const OWNERSHIP_TTL_MS = 2_000;
/** Longer than the store outages that the users' requirements list, in milliseconds. */
const UNCONFIRMED_GRACE_MS = 6_500;
/** Shortest usual duration of a minion lease in milliseconds, unless minions accept less. */
const MIN_USUAL_LEASE_MS = 7_500;
/** Longest usual duration of a minion lease in milliseconds; what a lost minion runs is held for as long. */
const MAX_USUAL_LEASE_MS = 60_000;
/** Added in milliseconds to the time of a takeover: one write may be lost in it. */
const TAKEOVER_MARGIN_MS = 1_100;
/** Assumed lateness in milliseconds of an order that was meant for the incarnation before; the platform gives no bound. */
const MAX_ORDER_DELAY_MS = 9_500;
/** Lower bound in milliseconds of the age from which an incarnation is established. */
const MIN_ESTABLISHED_AFTER_MS = 20_000;
/** Maximum rate by which a minion's clock may run slow, as the platform specifies. */
export const MAX_CLOCK_LAG_RATE = 0.02;
/** Added to the expiry of a lease, in milliseconds, because minions' timers fire slightly late. */
export const EXPIRY_MARGIN_MS = 250;
/** Lower bound in milliseconds of what slow clocks and network delays add to a former owner's minion leases. */
const MIN_FORMER_LEASE_MARGIN_MS = 500;
/** What network delays add to them in milliseconds at most. */
const NETWORK_MARGIN_MS = 90;
/** Added in milliseconds to leases that count from the end of the former ownership: an order may be sent just before. */
const FORMER_ORDER_MARGIN_MS = 500;

/**
 * Longest time in milliseconds without a renewal of a minion lease beside the time to live of the ownership
 * lease, when an owner is lost and no call fails: the longest poll with the delay before the next one, the delay
 * before another VM acquires the ownership, and the calls until its first poll.
 */
export const TAKEOVER_MS = 4_400;

/** A promise to callers that the bounds of the platform don't allow; times in milliseconds. */
export interface UnkeptPromise {
  readonly availableMs: number;
  readonly missingMs: number;
  readonly neededMs: number;
  readonly promise: string;
}

/** Times in milliseconds. */
export interface LeaseTimes {
  /** Age of an incarnation from which no order that was meant for the one before holds a lease in it. */
  readonly establishedAfterMs: number;
  /** Added to times that count from the end of the former ownership. */
  readonly formerOrderMarginMs: number;
  /** Longest time, from the end of the former ownership, for which leases that its owner granted on a known clock last. */
  readonly maxFormerLeaseMs: number;
  /**
   * Time, from the end of the former ownership, after which no start of its owner holds a lease, whichever incarnation it
   * reached. The clock of a later incarnation is lower, so that a lease that was meant for the one before
   * lasts there for as long as the minion accepts.
   */
  readonly maxFormerStartLeaseMs: number;
  /**
   * Longest time from the last confirmation of an ownership to the end of a minion lease granted under it. Leases
   * that are granted while the ownership is proved are not shortened by it.
   */
  readonly maxLeaseSinceConfirmedMs: number;
  /** Longest lease that a minion accepts, on its own clock. */
  readonly maxMinionLeaseMs: number;
  /**
   * Time, from the sending of a start, after which it holds no lease, whichever incarnation it reached: the time for
   * which the next owner counts on such leases after the owner was killed right after the start.
   */
  readonly maxStartLeaseMs: number;
  /**
   * Longest time, from when a restart or a takeover is known, for which leases last whose end does not depend on the
   * ownership: those of owners of earlier versions, and those of starts that reached a new incarnation, which has another
   * clock, sent by an owner that had not noticed its end.
   */
  readonly maxUncappedLeaseMs: number;
  /** Duration of the minion leases that owners grant. */
  readonly minionLeaseMs: number;
  /** Time to live of the ownership lease: how long the fleet has no owner after a crash, unless renewals are carried out late. */
  readonly ownershipTtlMs: number;
  /** Time for which an owner keeps acting after its lease could not be renewed, so that work continues while the store is unavailable. */
  readonly unconfirmedGraceMs: number;
}

/**
 * Derives all times from the bounds of the platform.
 *
 * @example
 * const {minionLeaseMs} = deriveLeaseTimes(DEFAULT_PLATFORM_BOUNDS); // 7,500
 */
export function deriveLeaseTimes({
  maxMinionLeaseMs,
  minStoreLeaseMs,
}: Pick<PlatformBounds, 'maxMinionLeaseMs' | 'minStoreLeaseMs'>): LeaseTimes {
  const ownershipTtlMs = Math.max(OWNERSHIP_TTL_MS, minStoreLeaseMs);
  const takeoverMs = ownershipTtlMs + TAKEOVER_MS + TAKEOVER_MARGIN_MS;
  const usualLeaseMs = Math.max(MIN_USUAL_LEASE_MS, Math.min(MAX_USUAL_LEASE_MS, takeoverMs));
  const minionLeaseMs = Math.min(usualLeaseMs, maxMinionLeaseMs);
  const unconfirmedGraceMs = UNCONFIRMED_GRACE_MS;
  // A store outage lasts as long where minions accept shorter leases, and so may owners of earlier versions act.
  const maxLeaseSinceConfirmedMs = ownershipTtlMs + Math.max(MIN_USUAL_LEASE_MS, minionLeaseMs);
  const lagMs = Math.ceil(stretchLease(minionLeaseMs) - minionLeaseMs);
  const formerMarginMs = Math.max(MIN_FORMER_LEASE_MARGIN_MS, lagMs + NETWORK_MARGIN_MS);
  const maxFormerLeaseMs = maxLeaseSinceConfirmedMs + formerMarginMs;
  // When a lease has ended that was granted as the ownership might have expired.
  const usualEndMs = ownershipTtlMs + minionLeaseMs + formerMarginMs;
  const longestLeaseMs = Math.ceil(stretchLease(maxMinionLeaseMs));
  const maxFormerStartLeaseMs = Math.max(maxFormerLeaseMs + FORMER_ORDER_MARGIN_MS, longestLeaseMs);
  const times: LeaseTimes = {
    establishedAfterMs: Math.max(MIN_ESTABLISHED_AFTER_MS, MAX_ORDER_DELAY_MS + longestLeaseMs),
    formerOrderMarginMs: FORMER_ORDER_MARGIN_MS,
    maxFormerLeaseMs,
    maxFormerStartLeaseMs,
    maxLeaseSinceConfirmedMs,
    maxMinionLeaseMs,
    maxStartLeaseMs: ownershipTtlMs + maxFormerStartLeaseMs,
    maxUncappedLeaseMs: unconfirmedGraceMs + Math.max(usualEndMs, longestLeaseMs),
    minionLeaseMs,
    ownershipTtlMs,
    unconfirmedGraceMs,
  };
  checkLeaseTimes(times);
  return times;
}

/** Returns the longest time in milliseconds for which a minion with a slow clock holds a lease. */
function stretchLease(leaseMs: number): number {
  return leaseMs / (1 - MAX_CLOCK_LAG_RATE) + EXPIRY_MARGIN_MS;
}

/** Checks that what is waited for covers what may be granted. */
function checkLeaseTimes(times: LeaseTimes): void {
  const {maxFormerLeaseMs, maxFormerStartLeaseMs, maxMinionLeaseMs, minionLeaseMs} = times;
  const {maxLeaseSinceConfirmedMs, maxUncappedLeaseMs, ownershipTtlMs, unconfirmedGraceMs} = times;
  const longestLeaseMs = stretchLease(maxMinionLeaseMs);
  const lastGrantMs = maxLeaseSinceConfirmedMs - minionLeaseMs;
  invariant(
    minionLeaseMs <= maxMinionLeaseMs,
    'leases: a minion would shorten the leases that owners grant',
  );
  invariant(
    ownershipTtlMs + unconfirmedGraceMs <= maxLeaseSinceConfirmedMs,
    'leases: an owner acts for longer than the leases last that it may grant',
  );
  invariant(
    maxFormerLeaseMs >= lastGrantMs + stretchLease(minionLeaseMs),
    'leases: the next owner does not wait for all leases of the owner before',
  );
  invariant(
    maxFormerStartLeaseMs >= longestLeaseMs,
    'leases: the next owner does not wait for a start in a later incarnation',
  );
  invariant(
    maxUncappedLeaseMs >= unconfirmedGraceMs + longestLeaseMs,
    'leases: an order of an owner that had not noticed its end is not waited for',
  );
}

/** What each promise needs and what there is for it. */
const PROMISES: Readonly<
  Record<string, (times: LeaseTimes) => Pick<UnkeptPromise, 'availableMs' | 'neededMs'>>
> = {
  // The ownership may have ended meanwhile, so that another VM acquires it.
  'running work outlives a store outage': ({minionLeaseMs}) => ({
    availableMs: minionLeaseMs,
    neededMs: TAKEOVER_MS,
  }),
  'running work outlives a takeover': ({minionLeaseMs, ownershipTtlMs}) => ({
    availableMs: minionLeaseMs,
    neededMs: ownershipTtlMs + TAKEOVER_MS,
  }),
};

/**
 * Returns the promises that can't be kept under these times, with what they lack.
 *
 * @example
 * findUnkeptPromises(DEFAULT_LEASE_TIMES); // []
 */
export function findUnkeptPromises(times: LeaseTimes): readonly UnkeptPromise[] {
  return Object.entries(PROMISES).flatMap(([promise, compare]) => {
    const {availableMs, neededMs} = compare(times);
    const missingMs = neededMs - availableMs;
    return missingMs > 0 ? [{availableMs, missingMs, neededMs, promise}] : [];
  });
}

/** Times of a deployment whose settings tell no bounds. */
export const DEFAULT_LEASE_TIMES = deriveLeaseTimes(DEFAULT_PLATFORM_BOUNDS);
