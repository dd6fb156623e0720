/** The right of this process to give orders: a key in the store that is bound to the ownership lease. */

import type {EventFields, Instant, WallTime} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {LeaseTimes} from '@nutmegproxy/scheduling';
import type {LeaseId} from '@nutmegproxy/store';

import {FIRST_CELL} from '@nutmegproxy/jobs';

import type {OwnershipToken} from './MinionOrders.ts';

import {MAX_CLOCK_GAP_MS} from './OwnerConstants.ts';
import {RevisionAges} from './RevisionAges.ts';
import {RevisionLog} from './RevisionLog.ts';

/**
 * `proved`: the lease is valid. `unproved`: the lease may have expired, and orders are still
 * allowed. `over`: no more orders are allowed.
 */
export type OwnershipState = 'over' | 'proved' | 'unproved';

export interface OwnershipGrant {
  /** Default: what `revisions` tell. */
  readonly ages?: RevisionAges;
  /** Default: the first one. */
  readonly cell?: CellIndex;
  /** Default: the term before. */
  readonly formerLeaseTerm?: number;
  /** Default: when the acquisition was requested, after a read without an owner. */
  readonly formerReleasedAt?: Instant;
  /** Default: as `formerReleasedAt`. */
  readonly lastReleasedAt?: Instant;
  readonly lease: LeaseId;
  readonly leaseTimes: LeaseTimes;
  /** Default: this owner is the first one. */
  readonly recordingSince?: number;
  /** Default: an empty one. */
  readonly revisions?: RevisionLog;
  readonly term: number;
  readonly token: OwnershipToken;
}

export class FleetOwnership {
  /** Since when which state of the store is known, by former owners, too; only waits for something better rest on it. */
  readonly ages: RevisionAges;
  /** The part of the fleet that is owned. */
  readonly cell: CellIndex;
  /** Last term before this one in which an owner may have granted a minion lease; -1 for none. */
  readonly formerLeaseTerm: number;
  /** No ownership of `formerLeaseTerm` or an earlier term was confirmed after this instant. */
  readonly formerReleasedAt: Instant;
  /** The ownership of the term before had ended by this instant. */
  readonly lastReleasedAt: Instant;
  readonly lease: LeaseId;
  readonly leaseTimes: LeaseTimes;
  /** First term of the latest unbroken sequence of owners that record which minions they use. */
  readonly recordingSince: number;
  /** When the acquisition of this ownership was requested. */
  readonly requestedAt: Instant;
  /** When this process knew which state of the store. */
  readonly revisions: RevisionLog;
  /** Sequence number of this ownership among all of the cell, from 0. */
  readonly term: number;
  readonly token: OwnershipToken;
  /** As of when this owner last knew the directory of minions, also in the store; undefined before. */
  directorySeenAt: Instant | undefined;
  #hasGrantedLease = false;
  #isOver = false;
  #confirmedAt: Instant;
  /** When this process gave it up, by both clocks; undefined when it may have ended before that. */
  #givenUpAt: undefined | {readonly now: Instant; readonly wall: WallTime};
  #wallOffset: number;

  constructor(grant: OwnershipGrant, requestedAt: Instant, wall: WallTime) {
    this.cell = grant.cell ?? FIRST_CELL;
    this.formerLeaseTerm = grant.formerLeaseTerm ?? grant.term - 1;
    this.formerReleasedAt = grant.formerReleasedAt ?? requestedAt;
    this.lastReleasedAt = grant.lastReleasedAt ?? this.formerReleasedAt;
    this.lease = grant.lease;
    this.leaseTimes = grant.leaseTimes;
    this.recordingSince = grant.recordingSince ?? grant.term;
    this.requestedAt = requestedAt;
    this.revisions = grant.revisions ?? new RevisionLog();
    this.ages = grant.ages ?? new RevisionAges(this.revisions);
    this.term = grant.term;
    this.token = grant.token;
    this.#confirmedAt = requestedAt;
    this.#wallOffset = wall - requestedAt;
  }

  /** When the latest sent of the successful renewals was sent; no other VM owned the fleet until then. */
  get confirmedAt(): Instant {
    return this.#confirmedAt;
  }

  /** Whether a minion lease may have been granted under this ownership. */
  get hasGrantedLease(): boolean {
    return this.#hasGrantedLease;
  }

  /**
   * Returns event fields with times in milliseconds: since the acquisition, since the last confirmation
   * and since this owner last knew the directory, which is shorter while the store responds to other calls.
   */
  describe(now: Instant, wall: WallTime): EventFields {
    const {ageMs, wasSuspended} = this.#measureAge(now, wall);
    const seenAt = this.directorySeenAt;
    return {
      confirmedMs: Math.round(ageMs),
      directorySeenMs: seenAt === undefined ? undefined : Math.round(now - seenAt),
      termMs: Math.round(now - this.requestedAt),
      wasSuspended,
    };
  }

  end(): void {
    this.#isOver = true;
  }

  /** Ends it by a decision of this process, which releases it after that. */
  giveUp(now: Instant, wall: WallTime): void {
    const isValid = this.measureSinceEndMs(now, wall) <= this.leaseTimes.ownershipTtlMs;
    if (isValid && this.state(now, wall) === 'proved') {
      this.#givenUpAt = {now, wall};
    }
    this.end();
  }

  /** Records that a minion lease may be granted from now on. */
  recordLeaseGrant(): void {
    this.#hasGrantedLease = true;
  }

  /** Records that a call sent at `requestedAt` renewed the lease; calls may be recorded in any order. */
  confirm(requestedAt: Instant, wall: WallTime): void {
    if (requestedAt < this.#confirmedAt) {
      return;
    }
    this.#confirmedAt = requestedAt;
    this.#wallOffset = wall - requestedAt;
  }

  /**
   * Returns whether orders may be given. A wall clock that ran ahead of the monotonic clock may
   * mean that the machine was suspended. That time counts, and the lease counts as valid only after
   * a renewal.
   */
  state(now: Instant, wall: WallTime): OwnershipState {
    const {ageMs, wasSuspended} = this.#measureAge(now, wall);
    const {ownershipTtlMs, unconfirmedGraceMs} = this.leaseTimes;
    if (this.#isOver || ageMs > ownershipTtlMs + unconfirmedGraceMs) {
      return 'over';
    }
    return ageMs > ownershipTtlMs || wasSuspended ? 'unproved' : 'proved';
  }

  /**
   * Returns the longest minion lease in milliseconds that may be granted now, so that the next owner knows when
   * the leases of a minion have expired that it can't reach.
   */
  maxMinionLeaseMs(now: Instant, wall: WallTime): number {
    const {maxLeaseSinceConfirmedMs} = this.leaseTimes;
    return Math.max(0, maxLeaseSinceConfirmedMs - this.#measureAge(now, wall).ageMs);
  }

  /**
   * Returns the longest time in milliseconds for which another VM may have owned the fleet. Time for which the machine was
   * suspended counts, however short, unless its time of day was set back meanwhile.
   */
  measureSinceEndMs(now: Instant, wall: WallTime): number {
    const confirmedWall = this.#confirmedAt + this.#wallOffset;
    const {now: endedAt, wall: endedWall} = this.#givenUpAt ?? {
      now: this.#confirmedAt,
      wall: confirmedWall,
    };
    return Math.max(now - endedAt, wall - endedWall);
  }

  /** Returns the time since the last confirmation; that for which the machine was suspended counts. */
  #measureAge(
    now: Instant,
    wall: WallTime,
  ): {readonly ageMs: number; readonly wasSuspended: boolean} {
    const suspendedMs = wall - now - this.#wallOffset;
    const wasSuspended = suspendedMs > MAX_CLOCK_GAP_MS;
    return {ageMs: now - this.#confirmedAt + (wasSuspended ? suspendedMs : 0), wasSuspended};
  }
}
