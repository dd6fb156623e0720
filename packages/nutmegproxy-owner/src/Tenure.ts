/** Right of this process to give orders: a key in the store under a lease, and its age here. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import type {OwnerToken} from './MinionOrders.ts';

import {CLOCK_GAP_MS, LEASE_TTL_MS, UNPROVED_GRACE_MS} from './OwnerConstants.ts';

/** `proved`: the lease is live. `unproved`: it could not be renewed. `over`: no more orders. */
export type TenureState = 'over' | 'proved' | 'unproved';

export class Tenure {
  readonly lease: LeaseId;
  /** Number of this owner among all owners of the fleet, from 0. */
  readonly term: number;
  readonly token: OwnerToken;
  #isOver = false;
  #provedAt: Instant;
  #wallOffset: number;

  constructor(
    grant: {readonly lease: LeaseId; readonly term: number; readonly token: OwnerToken},
    askedAt: Instant,
    wall: WallTime,
  ) {
    this.lease = grant.lease;
    this.term = grant.term;
    this.token = grant.token;
    this.#provedAt = askedAt;
    this.#wallOffset = wall - askedAt;
  }

  /** When the last call was sent that proved the lease. Nobody else owned the fleet by then. */
  get provedAt(): Instant {
    return this.#provedAt;
  }

  end(): void {
    this.#isOver = true;
  }

  /** The lease was renewed by a call that was sent at `askedAt`. */
  prove(askedAt: Instant, wall: WallTime): void {
    this.#provedAt = askedAt;
    this.#wallOffset = wall - askedAt;
  }

  /**
   * Whether orders may be given. A wall clock that ran ahead of the steady one may mean that the
   * machine was suspended, so the lease then needs a proof first.
   */
  state(now: Instant, wall: WallTime): TenureState {
    const ageMs = now - this.#provedAt;
    const wasSuspended = wall - now - this.#wallOffset > CLOCK_GAP_MS;
    if (this.#isOver || ageMs > LEASE_TTL_MS + UNPROVED_GRACE_MS) {
      return 'over';
    }
    return ageMs > LEASE_TTL_MS || wasSuspended ? 'unproved' : 'proved';
  }
}
