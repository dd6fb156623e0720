/**
 * Rate at which waiting requests of one class are granted slots. Unlike a count of slots, it reflects
 * the other class, slow minions and lent slots.
 */

import type {Instant} from '@nutmegproxy/core';

import {GRANT_RATE_MIN_GRANTS, GRANT_RATE_WEIGHT} from './AdmissionConstants.ts';

export class GrantRate {
  #intervalMs = 0;
  #grants = 0;
  #lastGrantAt: Instant | undefined;

  /** Stops the measurement until the next grant, since no request of the class waits. */
  pause(): void {
    this.#lastGrantAt = undefined;
  }

  /** Records that a waiting request was granted a slot. */
  recordGrant(now: Instant): void {
    if (this.#lastGrantAt !== undefined) {
      const intervalMs = now - this.#lastGrantAt;
      const weight = Math.max(GRANT_RATE_WEIGHT, 1 / (this.#grants + 1));
      this.#intervalMs += weight * (intervalMs - this.#intervalMs);
      this.#grants += 1;
    }
    this.#lastGrantAt = now;
  }

  /** Returns the predicted wait behind `ahead` requests; undefined after a pause or too few grants. */
  predictWaitMs(ahead: number, now: Instant): number | undefined {
    if (this.#grants < GRANT_RATE_MIN_GRANTS || this.#lastGrantAt === undefined) {
      return undefined;
    }
    const stalledMs = Math.max(0, now - this.#lastGrantAt - this.#intervalMs);
    return (ahead + 1) * this.#intervalMs + stalledMs;
  }
}
