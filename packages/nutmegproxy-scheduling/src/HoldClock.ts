/** A minion's steady clock as seen from here, and how long its runs may live on. */

import type {Instant} from '@nutmegproxy/core';

/** Largest rate by which a minion's clock may run slow, from the platform's bounds. */
const SLOW_CLOCK_RATE = 0.02;
/** Longest hold in milliseconds that a minion grants, from the platform's bounds. */
const LONGEST_HOLD_MS = 10_000;
/** Added before a hold counts as lapsed, in milliseconds: the minion's timers fire slightly late. */
const LAPSE_MARGIN_MS = 250;

interface Reading {
  readonly clockMs: number;
  readonly receivedAt: Instant;
}

/** Estimates a minion's clock and remembers the longest hold that was asked for. */
export class HoldClock {
  #holdEndMs = 0;
  #reading: Reading | undefined;
  /** Bound on a former owner's holds while the minion was never heard; undefined for none. */
  #unheardUntil: Instant | undefined;

  get isKnown(): boolean {
    return this.#reading !== undefined;
  }

  /** The minion restarted: its clock begins anew and nothing that was held is left. */
  reset(): void {
    this.#holdEndMs = 0;
    this.#reading = undefined;
    this.#unheardUntil = undefined;
  }

  /** Until the minion is heard, a former owner's holds may last to `instant`. */
  assumeHeldUntil(instant: Instant): void {
    this.#unheardUntil = instant;
  }

  /** Notes a value of the minion's clock that an answer carried. */
  observe(clockMs: number, receivedAt: Instant): void {
    if (this.#reading === undefined) {
      // Another owner may have granted a hold before this one heard of the minion.
      this.#holdEndMs = clockMs + LONGEST_HOLD_MS;
      this.#unheardUntil = undefined;
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
  grant(holdMs: number, now: Instant): number | undefined {
    if (this.#reading === undefined) {
      return undefined;
    }
    const until = Math.floor(this.#reading.clockMs + (now - this.#reading.receivedAt) + holdMs);
    this.#holdEndMs = Math.max(this.#holdEndMs, until);
    return until;
  }

  /** Time in milliseconds after which every hold granted so far has certainly ended. */
  lapsesInMs(now: Instant): number {
    const former = Math.max(0, (this.#unheardUntil ?? now) - now);
    if (this.#reading === undefined) {
      return former;
    }
    const leftMs = this.#holdEndMs + LAPSE_MARGIN_MS - this.#reading.clockMs;
    return Math.max(0, leftMs / (1 - SLOW_CLOCK_RATE) - (now - this.#reading.receivedAt));
  }

  /** Whether every hold has certainly ended, so that nothing runs on the minion. */
  isLapsed(now: Instant): boolean {
    if (this.#unheardUntil !== undefined && now < this.#unheardUntil) {
      return false;
    }
    if (this.#reading === undefined) {
      return this.#unheardUntil !== undefined;
    }
    const elapsedMs = (now - this.#reading.receivedAt) * (1 - SLOW_CLOCK_RATE);
    return this.#reading.clockMs + elapsedMs > this.#holdEndMs + LAPSE_MARGIN_MS;
  }
}
