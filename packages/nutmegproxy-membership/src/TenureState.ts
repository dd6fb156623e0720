/** What this process's own tenure rests on: its lease renewals and the vouches of its electors. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {CLOCK_RATE_MARGIN} from './MembershipConstants.ts';

/** Periods that every process of a data centre must share. */
export interface TenurePeriods {
  readonly outageLimitMs: number;
  readonly tenureTtlMs: number;
  readonly vouchPeriodMs: number;
}

const NEVER = -Infinity as Instant;
const ALWAYS = Infinity as Instant;

/** A period as the side that acts counts it: shorter by the margin for clock rates. */
export function subtractClockMargin(periodMs: number): number {
  return periodMs * (1 - CLOCK_RATE_MARGIN);
}

/** A period as the side that waits counts it: longer by the margin for clock rates. */
export function addClockMargin(periodMs: number): number {
  return periodMs * (1 + CLOCK_RATE_MARGIN);
}

/** Members of a set that make a majority of it. */
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

  /** Whether the lease alone, without any vouch, gives tenure. */
  holdsLease(now: Instant): boolean {
    return this.#removedAt === undefined && now < this.#leaseExpiresAt;
  }

  /** When the lease was last renewed, as far as this process knows. */
  leaseRenewedAt(): Instant {
    return this.#leaseRenewedAt;
  }

  /** The lease was heard at `now` to have ended, or is given up. */
  expireLease(now: Instant): void {
    this.#leaseExpiresAt = Math.min(this.#leaseExpiresAt, now) as Instant;
  }

  holdsTenure(now: Instant): boolean {
    return now < this.expiresAt();
  }

  /** Instant at which tenure ends, or at which it ended: work under it counts its time from there. */
  expiresAt(): Instant {
    const vouchesExpireAt = Math.min(this.#getVouchExpiry(), this.#getOutageLimit());
    const expiresAt = Math.max(this.#leaseExpiresAt, vouchesExpireAt);
    return Math.min(expiresAt, this.#removedAt ?? Infinity) as Instant;
  }

  /** The record no longer names this incarnation, as was learned at `now`; that is final. */
  recordRemoval(now: Instant): void {
    this.#removedAt ??= now;
  }

  /** A renewal succeeded that was sent at `sent`. */
  recordLeaseRenewal(sentAt: Instant): void {
    this.#leaseRenewedAt = Math.max(sentAt, this.#leaseRenewedAt) as Instant;
    this.#leaseExpiresAt = after(
      this.#leaseRenewedAt,
      subtractClockMargin(this.#periods.tenureTtlMs),
    );
  }

  /**
   * Sets the electors of this process: the set in the record, and with it each set that may be in
   * the record after a write whose outcome is not known. A majority of every set is needed.
   */
  setElectors(sets: readonly (readonly IncarnationId[])[]): void {
    this.#electorSets = sets;
    const electors = new Set(sets.flat());
    for (const elector of [...this.#vouchTimes.keys()].filter((each) => !electors.has(each))) {
      this.#vouchTimes.delete(elector);
    }
  }

  /** `elector` vouched in answer to a request that was sent at `sent`. */
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
