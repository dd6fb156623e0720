/** Estimates a minion's monotonic clock and when its lease expires on that clock. */

import type {Instant} from '@nutmegproxy/core';

import type {LeaseTimes} from './LeaseTimes.ts';

import {EXPIRY_MARGIN_MS, MAX_CLOCK_LAG_RATE} from './LeaseTimes.ts';

interface ClockReading {
  readonly clockMs: number;
  readonly receivedAt: Instant;
}

/** Tracks a minion's clock and the latest expiry of the leases granted to it. */
export class LeaseClock {
  /** Longest lease that a former owner may have granted. */
  #formerLeaseMs: number;
  #hasRestarted = false;
  #isEstablished = false;
  #leaseEndMs = 0;
  #reading: ClockReading | undefined;
  /** Latest expiry of leases of unknown length, until the minion responds; undefined for none. */
  #formerLeaseUntil: Instant | undefined;
  readonly times: LeaseTimes;

  constructor(times: LeaseTimes) {
    this.times = times;
    this.#formerLeaseMs = times.maxMinionLeaseMs;
  }

  get hasReading(): boolean {
    return this.#reading !== undefined;
  }

  /**
   * Called when the minion restarted: its clock is reset and its former leases are void. Until it
   * responds, assumes that leases of orders that reached the new incarnation expire at `instant`.
   */
  reset(instant: Instant): void {
    this.#formerLeaseMs = this.times.maxMinionLeaseMs;
    this.#leaseEndMs = 0;
    this.#reading = undefined;
    this.#formerLeaseUntil = instant;
    this.#hasRestarted = true;
    this.#isEstablished = false;
  }

  /** Called when the minion is gone: all leases granted to it are void. */
  end(): void {
    this.reset(-Infinity as Instant);
  }

  /**
   * Assumes that former owners granted leases of the usual duration only. Leases that are computed
   * for the clock of a former incarnation last as long as the minion accepts.
   */
  assumeUsualLeases(): void {
    this.#formerLeaseMs = this.times.minionLeaseMs;
  }

  /**
   * Assumes the same if the minion's own clock, which begins with its incarnation, agrees that the
   * incarnation is old enough. Only the wall clocks of two machines tell its age before it responds.
   */
  assumeEstablished(ageMs: number): void {
    this.#isEstablished = ageMs > this.times.establishedAfterMs;
  }

  /** Until the minion responds, assumes that a former owner's leases expire at `instant`. */
  assumeLeasedUntil(instant: Instant): void {
    this.#formerLeaseUntil = instant;
  }

  /**
   * Lowers the assumed expiry of a former owner's leases, if there is one. A former owner's account
   * does not say how long leases of a new incarnation last.
   */
  shortenAssumedLease(instant: Instant): void {
    const until = this.#formerLeaseUntil;
    if (until !== undefined && instant < until && !this.#hasRestarted) {
      this.#formerLeaseUntil = instant;
    }
  }

  /**
   * Whether a reading in the response to a call sent at `sentAt` continues the clock observed so far,
   * for which leases are computed. The clock of a new incarnation is behind it.
   */
  isContinuedBy(clockMs: number, sentAt: Instant): boolean {
    if (this.#reading === undefined) {
      return false;
    }
    const elapsedMs = (sentAt - this.#reading.receivedAt) * (1 - MAX_CLOCK_LAG_RATE);
    return clockMs >= this.#reading.clockMs + Math.max(0, elapsedMs);
  }

  /** Records a reading of the minion's clock from a response received at `receivedAt`. */
  observe(clockMs: number, receivedAt: Instant): void {
    if (this.#reading === undefined) {
      const {establishedAfterMs, minionLeaseMs} = this.times;
      // Another owner may have granted a lease before this one discovered the minion.
      const isUsual = this.#isEstablished && clockMs > establishedAfterMs;
      this.#leaseEndMs = clockMs + (isUsual ? minionLeaseMs : this.#formerLeaseMs);
      this.#formerLeaseUntil = undefined;
    }
    // Responses may arrive out of order; the latest clock value is the most accurate.
    if (this.#reading === undefined || clockMs >= this.#reading.clockMs) {
      this.#reading = {clockMs, receivedAt};
    }
  }

  /**
   * Returns the expiry, on the minion's clock, of a lease of `leaseMs` from `now`. The lease counts
   * as granted, since the minion may receive the call although its response is lost. Undefined
   * without a reading of the clock.
   */
  grantLease(leaseMs: number, now: Instant): number | undefined {
    if (this.#reading === undefined) {
      return undefined;
    }
    const until = Math.floor(this.#reading.clockMs + (now - this.#reading.receivedAt) + leaseMs);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, until);
    return until;
  }

  /** Returns the time in milliseconds after which every granted lease has certainly expired. */
  expiresInMs(now: Instant): number {
    const formerLeaseMs = Math.max(0, (this.#formerLeaseUntil ?? now) - now);
    if (this.#reading === undefined) {
      return formerLeaseMs;
    }
    const remainingMs = this.#leaseEndMs + EXPIRY_MARGIN_MS - this.#reading.clockMs;
    return Math.max(0, remainingMs / (1 - MAX_CLOCK_LAG_RATE) - (now - this.#reading.receivedAt));
  }

  /** Whether every granted lease has certainly expired, so that nothing runs on the minion. */
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
