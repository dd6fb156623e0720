/** Right of this process to give orders: a key in the store under a lease, and its age here. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import type {FencingToken} from './MinionOrders.ts';

import {MAX_CLOCK_GAP_MS, OWNERSHIP_TTL_MS, UNCONFIRMED_GRACE_MS} from './OwnerConstants.ts';

/** `proved`: the lease is live. `unproved`: it could not be renewed. `over`: no more orders. */
export type OwnershipState = 'over' | 'proved' | 'unproved';

export class FleetOwnership {
  readonly lease: LeaseId;
  /** Number of this owner among all owners of the fleet, from 0. */
  readonly term: number;
  readonly token: FencingToken;
  #isOver = false;
  #confirmedAt: Instant;
  #wallOffset: number;

  constructor(
    grant: {readonly lease: LeaseId; readonly term: number; readonly token: FencingToken},
    requestedAt: Instant,
    wall: WallTime,
  ) {
    this.lease = grant.lease;
    this.term = grant.term;
    this.token = grant.token;
    this.#confirmedAt = requestedAt;
    this.#wallOffset = wall - requestedAt;
  }

  /** When the last call was sent that proved the lease. Nobody else owned the fleet by then. */
  get confirmedAt(): Instant {
    return this.#confirmedAt;
  }

  end(): void {
    this.#isOver = true;
  }

  /** The lease was renewed by a call that was sent at `askedAt`. */
  confirm(requestedAt: Instant, wall: WallTime): void {
    this.#confirmedAt = requestedAt;
    this.#wallOffset = wall - requestedAt;
  }

  /**
   * Whether orders may be given. A wall clock that ran ahead of the steady one may mean that the
   * machine was suspended, so the lease then needs a proof first.
   */
  state(now: Instant, wall: WallTime): OwnershipState {
    const ageMs = now - this.#confirmedAt;
    const wasSuspended = wall - now - this.#wallOffset > MAX_CLOCK_GAP_MS;
    if (this.#isOver || ageMs > OWNERSHIP_TTL_MS + UNCONFIRMED_GRACE_MS) {
      return 'over';
    }
    return ageMs > OWNERSHIP_TTL_MS || wasSuspended ? 'unproved' : 'proved';
  }
}
