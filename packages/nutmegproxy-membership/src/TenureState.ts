/** State that determines this process's tenure: its lease renewals and its electors' vouches. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {CLOCK_RATE_MARGIN} from './MembershipConstants.ts';

/** Periods of tenure that must be equal in all processes of a data centre. */
export interface TenurePeriods {
  readonly outageLimitMs: number;
  readonly tenureTtlMs: number;
  readonly vouchPeriodMs: number;
}

const NEVER = -Infinity as Instant;
const ALWAYS = Infinity as Instant;

/** Returns a period as the acting side counts it: shorter by the clock rate margin. */
export function subtractClockMargin(periodMs: number): number {
  return periodMs * (1 - CLOCK_RATE_MARGIN);
}

/** Returns a period as the waiting side counts it: longer by the clock rate margin. */
export function addClockMargin(periodMs: number): number {
  return periodMs * (1 + CLOCK_RATE_MARGIN);
}

/** Returns the number of members that form a majority of a set. */
export function getMajoritySize(size: number): number {
  return Math.floor(size / 2) + 1;
}

export class TenureState {
  #electorSets: readonly (readonly IncarnationId[])[] = [];
  #leaseExpiresAt: Instant = NEVER;
  #leaseRenewedAt: Instant = NEVER;
  readonly #own: IncarnationId;
  readonly #periods: TenurePeriods;
  #removedAt: Instant | undefined;
  readonly #vouchTimes = new Map<IncarnationId, Instant>();

  constructor(own: IncarnationId, periods: TenurePeriods) {
    this.#own = own;
    this.#periods = periods;
  }

  /** Whether the lease alone, without vouches, gives tenure. */
  holdsLease(now: Instant): boolean {
    return this.#removedAt === undefined && now < this.#leaseExpiresAt;
  }

  /** Returns the send time of the last renewal that is known to have succeeded. */
  leaseRenewedAt(): Instant {
    return this.#leaseRenewedAt;
  }

  /** Records that the store reported the lease as expired at `now`, or that it is revoked. */
  expireLease(now: Instant): void {
    this.#leaseExpiresAt = Math.min(this.#leaseExpiresAt, now) as Instant;
  }

  holdsTenure(now: Instant): boolean {
    return now < this.expiresAt();
  }

  /** Instant at which tenure ends or ended; the time limits of work under it count from there. */
  expiresAt(): Instant {
    const vouchesExpireAt = Math.min(this.#getVouchExpiry(), this.#getOutageLimit());
    const expiresAt = Math.max(this.#leaseExpiresAt, vouchesExpireAt);
    return Math.min(expiresAt, this.#removedAt ?? Infinity) as Instant;
  }

  /** Records that the record read at `now` no longer contains this incarnation; this is final. */
  recordRemoval(now: Instant): void {
    this.#removedAt ??= now;
  }

  /** Records a successful renewal that was sent at `sentAt`. */
  recordLeaseRenewal(sentAt: Instant): void {
    this.#leaseRenewedAt = Math.max(sentAt, this.#leaseRenewedAt) as Instant;
    this.#leaseExpiresAt = after(
      this.#leaseRenewedAt,
      subtractClockMargin(this.#periods.tenureTtlMs),
    );
  }

  /**
   * Sets the electors of this process: the set in the record, and each set that may be in it after
   * a write whose outcome is unknown. Tenure needs a majority of every set.
   */
  setElectors(sets: readonly (readonly IncarnationId[])[]): void {
    this.#electorSets = sets;
    const electors = new Set(sets.flat());
    for (const elector of [...this.#vouchTimes.keys()].filter((each) => !electors.has(each))) {
      this.#vouchTimes.delete(elector);
    }
  }

  /** Records that `elector` vouched in response to a request that was sent at `sentAt`. */
  recordVouch(elector: IncarnationId, sentAt: Instant): void {
    this.#vouchTimes.set(elector, sentAt);
  }

  #getOutageLimit(): Instant {
    return after(this.#leaseRenewedAt, subtractClockMargin(this.#periods.outageLimitMs));
  }

  #getVouchExpiry(): Instant {
    const expiries = this.#electorSets.map((set) => this.#getMajorityExpiry(set));
    return expiries.length === 0 ? NEVER : (Math.min(...expiries) as Instant);
  }

  #getMajorityExpiry(electors: readonly IncarnationId[]): Instant {
    const expiries = electors
      .map((elector) => this.#getElectorExpiry(elector))
      .sort((a, b) => b - a);
    return expiries[getMajoritySize(electors.length) - 1] ?? NEVER;
  }

  #getElectorExpiry(elector: IncarnationId): Instant {
    if (elector === this.#own) {
      return ALWAYS;
    }
    const sentAt = this.#vouchTimes.get(elector);
    return sentAt === undefined
      ? NEVER
      : after(sentAt, subtractClockMargin(this.#periods.vouchPeriodMs));
  }
}
