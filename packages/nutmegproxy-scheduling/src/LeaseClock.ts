/** A minion's steady clock as seen from here, and how long its runs may live on. */

import type {Instant} from '@nutmegproxy/core';

/** Largest rate by which a minion's clock may run slow, from the platform's bounds. */
const MAX_CLOCK_LAG_RATE = 0.02;
/** Longest hold in milliseconds that a minion grants, from the platform's bounds. */
const MAX_LEASE_MS = 10_000;
/** Added before a hold counts as lapsed, in milliseconds: the minion's timers fire slightly late. */
const EXPIRY_MARGIN_MS = 250;

interface ClockReading {
  readonly clockMs: number;
  readonly receivedAt: Instant;
}

/** Estimates a minion's clock and remembers the longest hold that was asked for. */
export class LeaseClock {
  #leaseEndMs = 0;
  #reading: ClockReading | undefined;
  /** Bound on a former owner's holds while the minion was never heard; undefined for none. */
  #formerLeaseUntil: Instant | undefined;

  get hasReading(): boolean {
    return this.#reading !== undefined;
  }

  /** The minion restarted: its clock begins anew and nothing that was held is left. */
  reset(): void {
    this.#leaseEndMs = 0;
    this.#reading = undefined;
    this.#formerLeaseUntil = undefined;
  }

  /** Until the minion is heard, a former owner's holds may last to `instant`. */
  assumeLeasedUntil(instant: Instant): void {
    this.#formerLeaseUntil = instant;
  }

  /** Notes a value of the minion's clock that an answer carried. */
  observe(clockMs: number, receivedAt: Instant): void {
    if (this.#reading === undefined) {
      // Another owner may have granted a hold before this one heard of the minion.
      this.#leaseEndMs = clockMs + MAX_LEASE_MS;
      this.#formerLeaseUntil = undefined;
    }
    // Answers may overtake each other; the newest clock value is the best.
    if (this.#reading === undefined || clockMs >= this.#reading.clockMs) {
      this.#reading = {clockMs, receivedAt};
    }
  }

  /**
   * The end, on the minion's clock, of a hold of `holdMs` from `now`. It counts as granted, since
   * the order that carries it may be carried out without an answer. Undefined while the clock is
   * not known.
   */
  grantLease(leaseMs: number, now: Instant): number | undefined {
    if (this.#reading === undefined) {
      return undefined;
    }
    const until = Math.floor(this.#reading.clockMs + (now - this.#reading.receivedAt) + leaseMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, until);
    return until;
  }

  /** Time in milliseconds after which every hold granted so far has certainly ended. */
  expiresInMs(now: Instant): number {
    const formerLeaseMs = Math.max(0, (this.#formerLeaseUntil ?? now) - now);
    if (this.#reading === undefined) {
      return formerLeaseMs;
    }
    const remainingMs = this.#leaseEndMs + EXPIRY_MARGIN_MS - this.#reading.clockMs;
    return Math.max(0, remainingMs / (1 - MAX_CLOCK_LAG_RATE) - (now - this.#reading.receivedAt));
  }

  /** Whether every hold has certainly ended, so that nothing runs on the minion. */
  isExpired(now: Instant): boolean {
    if (this.#formerLeaseUntil !== undefined && now < this.#formerLeaseUntil) {
      return false;
    }
    if (this.#reading === undefined) {
      return this.#formerLeaseUntil !== undefined;
    }
    const elapsedMs = (now - this.#reading.receivedAt) * (1 - MAX_CLOCK_LAG_RATE);
    return this.#reading.clockMs + elapsedMs > this.#leaseEndMs + EXPIRY_MARGIN_MS;
  }
}
