/** Derives how long leases last, and how long they are waited for, from the bounds of the platform. */

import type {PlatformBounds} from '@nutmegproxy/core';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

/** Time to live of the ownership lease in milliseconds, unless the store has a longer minimum. */
const OWNERSHIP_TTL_MS = 2_000;
/** Longer than the store outages that the users' requirements list, in milliseconds. */
const UNCONFIRMED_GRACE_MS = 6_500;
/** Duration of a minion lease in milliseconds; longer than a takeover in which one write is lost. */
const MINION_LEASE_MS = 7_500;
/** Age in milliseconds of an incarnation from which no order that was meant for the one before can reach it. */
const ESTABLISHED_AFTER_MS = 20_000;
/** Upper bound in milliseconds of what slow clocks and network delays add to a former owner's minion leases. */
const FORMER_LEASE_MARGIN_MS = 500;
/**
 * Added in milliseconds to leases that count from the end of the former ownership: an order that was sent just
 * before may reach a new incarnation, which holds its lease for the longest time on its own clock.
 */
const FORMER_ORDER_MARGIN_MS = 500;

/** Times in milliseconds. */
export interface LeaseTimes {
  /** Age of an incarnation from which no order that was meant for the one before can reach it. */
  readonly establishedAfterMs: number;
  /** Added to times that count from the end of the former ownership. */
  readonly formerOrderMarginMs: number;
  /** Longest time for which runs of a former owner may stay alive without being listed. */
  readonly maxFormerLeaseMs: number;
  /**
   * Longest time from the last confirmation of an ownership to the end of a minion lease granted under it. Leases
   * that are granted while the ownership is proved are not shortened by it.
   */
  readonly maxLeaseSinceConfirmedMs: number;
  /** Longest lease that a minion accepts, on its own clock. */
  readonly maxMinionLeaseMs: number;
  /**
   * Time after which no start holds a lease, whichever incarnation it reached: the time for which the next owner
   * counts on leases of unknown length after the owner was killed right after the start.
   */
  readonly maxStartLeaseMs: number;
  /**
   * As `maxFormerLeaseMs` where leases may last for their full duration whenever they were granted: those of owners
   * of earlier versions, and those of starts that reached a new incarnation, which has another clock.
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
}: Pick<PlatformBounds, 'maxMinionLeaseMs'>): LeaseTimes {
  const ownershipTtlMs = OWNERSHIP_TTL_MS;
  const unconfirmedGraceMs = UNCONFIRMED_GRACE_MS;
  const minionLeaseMs = MINION_LEASE_MS;
  const maxLeaseSinceConfirmedMs = ownershipTtlMs + minionLeaseMs;
  const maxFormerLeaseMs = maxLeaseSinceConfirmedMs + FORMER_LEASE_MARGIN_MS;
  return {
    establishedAfterMs: ESTABLISHED_AFTER_MS,
    formerOrderMarginMs: FORMER_ORDER_MARGIN_MS,
    maxFormerLeaseMs,
    maxLeaseSinceConfirmedMs,
    maxMinionLeaseMs,
    maxStartLeaseMs: ownershipTtlMs + maxFormerLeaseMs + FORMER_ORDER_MARGIN_MS,
    maxUncappedLeaseMs: unconfirmedGraceMs + maxFormerLeaseMs,
    minionLeaseMs,
    ownershipTtlMs,
    unconfirmedGraceMs,
  };
}

/** Times of a deployment whose settings tell no bounds. */
export const DEFAULT_LEASE_TIMES = deriveLeaseTimes(DEFAULT_PLATFORM_BOUNDS);
