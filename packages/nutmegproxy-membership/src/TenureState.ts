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
export function shorten(periodMs: number): number {
  return periodMs * (1 - CLOCK_RATE_MARGIN);
}

/** A period as the side that waits counts it: longer by the margin for clock rates. */
export function lengthen(periodMs: number): number {
  return periodMs * (1 + CLOCK_RATE_MARGIN);
}

/** Members of a set that make a majority of it. */
export function countMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}

export class TenureState {
  #electorSets: readonly (readonly IncarnationId[])[] = [];
  #leaseEnds: Instant = NEVER;
  #leaseRenewed: Instant = NEVER;
  readonly #own: IncarnationId;
  readonly #periods: TenurePeriods;
  #removedAt: Instant | undefined;
  readonly #vouches = new Map<IncarnationId, Instant>();

  constructor(own: IncarnationId, periods: TenurePeriods) {
    this.#own = own;
    this.#periods = periods;
  }

  /** Whether the lease alone, without any vouch, gives tenure. */
  holdsLease(now: Instant): boolean {
    return this.#removedAt === undefined && now < this.#leaseEnds;
  }

  /** When the lease was last renewed, as far as this process knows. */
  leaseRenewed(): Instant {
    return this.#leaseRenewed;
  }

  /** The lease was heard at `now` to have ended, or is given up. */
  endLease(now: Instant): void {
    this.#leaseEnds = Math.min(this.#leaseEnds, now) as Instant;
  }

  holds(now: Instant): boolean {
    return now < this.ends();
  }

  /** Instant at which tenure ends, or at which it ended: work under it counts its time from there. */
  ends(): Instant {
    const vouchEnds = Math.min(this.#vouchEnds(), this.#outageEnds());
    const ends = Math.max(this.#leaseEnds, vouchEnds);
    return Math.min(ends, this.#removedAt ?? Infinity) as Instant;
  }

  /** The record no longer names this incarnation, as was learned at `now`; that is final. */
  remove(now: Instant): void {
    this.#removedAt ??= now;
  }

  /** A renewal succeeded that was sent at `sent`. */
  renewLease(sent: Instant): void {
    this.#leaseRenewed = Math.max(sent, this.#leaseRenewed) as Instant;
    this.#leaseEnds = after(this.#leaseRenewed, shorten(this.#periods.tenureTtlMs));
  }

  /**
   * Sets the electors of this process: the set in the record, and with it each set that may be in
   * the record after a write whose outcome is not known. A majority of every set is needed.
   */
  setElectors(sets: readonly (readonly IncarnationId[])[]): void {
    this.#electorSets = sets;
    const wanted = new Set(sets.flat());
    for (const elector of [...this.#vouches.keys()].filter((each) => !wanted.has(each))) {
      this.#vouches.delete(elector);
    }
  }

  /** `elector` vouched in answer to a request that was sent at `sent`. */
  vouch(elector: IncarnationId, sent: Instant): void {
    this.#vouches.set(elector, sent);
  }

  #outageEnds(): Instant {
    return after(this.#leaseRenewed, shorten(this.#periods.outageLimitMs));
  }

  #vouchEnds(): Instant {
    const ends = this.#electorSets.map((set) => this.#vouchEndsIn(set));
    return ends.length === 0 ? NEVER : (Math.min(...ends) as Instant);
  }

  #vouchEndsIn(electors: readonly IncarnationId[]): Instant {
    const ends = electors.map((elector) => this.#vouchEndOf(elector)).sort((a, b) => b - a);
    return ends[countMajority(electors.length) - 1] ?? NEVER;
  }

  #vouchEndOf(elector: IncarnationId): Instant {
    if (elector === this.#own) {
      return ALWAYS;
    }
    const sent = this.#vouches.get(elector);
    return sent === undefined ? NEVER : after(sent, shorten(this.#periods.vouchPeriodMs));
  }
}
