/** Renews the ownership lease in the store. A renewal does not wait for the response to the one before. */

import type {Clock, EventSink, Instant, VmId, WallTime} from '@nutmegproxy/core';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';

import type {FleetOwnership} from './FleetOwnership.ts';

import {
  MAX_PENDING_RENEWALS,
  OWNERSHIP_RENEWAL_INTERVAL_MS,
  OWNERSHIP_RENEWAL_RETRY_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface RenewalOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
  readonly vm: VmId;
}

export class OwnershipRenewal {
  /** When the latest response that confirmed the ownership arrived. */
  #answeredAt: Instant;
  readonly #options: RenewalOptions;
  #pending = 0;
  /** When the latest renewal was sent. */
  #sentAt: Instant;
  #wasConfirmed = true;

  constructor(options: RenewalOptions) {
    this.#options = options;
    this.#answeredAt = options.ownership.confirmedAt;
    this.#sentAt = options.ownership.confirmedAt;
  }

  /** Sends renewals until the ownership has ended; responses that arrive after that are ignored. */
  async run(): Promise<void> {
    const {clock} = this.#options;
    for (;;) {
      const now = clock.monotonic();
      const wall = clock.wall();
      if (this.#isOver(now, wall)) {
        return;
      }
      const pauseMs = this.#choosePauseMs(now);
      if (pauseMs > 0) {
        await delay(pauseMs);
      } else {
        void this.#send(now, wall);
      }
    }
  }

  /** Returns the time in milliseconds until the next renewal is due. */
  #choosePauseMs(now: Instant): number {
    if (this.#pending >= MAX_PENDING_RENEWALS) {
      return OWNERSHIP_RENEWAL_RETRY_MS;
    }
    // Whichever renewal was answered: on a slow store the latest one is always without a response.
    const dueAt = Math.max(
      this.#answeredAt + OWNERSHIP_RENEWAL_INTERVAL_MS,
      this.#sentAt + OWNERSHIP_RENEWAL_RETRY_MS,
    );
    return dueAt - now;
  }

  #isOver(now: Instant, wall: WallTime): boolean {
    return this.#options.ownership.state(now, wall) === 'over';
  }

  async #send(requestedAt: Instant, wall: WallTime): Promise<void> {
    const {clock, events, ownership, store, vm} = this.#options;
    this.#sentAt = requestedAt;
    this.#pending += 1;
    const renewed = await store.keepLeaseAlive(ownership.lease);
    this.#pending -= 1;
    const now = clock.monotonic();
    const nowWall = clock.wall();
    if (this.#isOver(now, nowWall)) {
      return;
    }
    if (renewed.isOk() && renewed.value.ttlSeconds === 0) {
      ownership.end();
      const fields = {...ownership.describe(now, nowWall), reason: 'lease ended', vm};
      events.record(OWNER_EVENTS.OWNERSHIP_LOST, {...fields, term: ownership.term});
      return;
    }
    if (renewed.isOk() && requestedAt > ownership.confirmedAt) {
      ownership.confirm(requestedAt, wall);
      this.#answeredAt = now;
    }
    this.#recordChange();
  }

  #recordChange(): void {
    const {clock, events, ownership, vm} = this.#options;
    const isConfirmed = ownership.state(clock.monotonic(), clock.wall()) === 'proved';
    if (this.#wasConfirmed && !isConfirmed) {
      events.record(OWNER_EVENTS.OWNERSHIP_UNCONFIRMED, {term: ownership.term, vm});
    }
    this.#wasConfirmed = isConfirmed;
  }
}
