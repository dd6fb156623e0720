/**
 * Throttles batch attempts that slow latency-critical ones, and names those to evict when
 * throttling has not helped.
 */

import type {AttemptId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import type {ThrottleWish} from './Placement.ts';

/** A latency-critical attempt below this speed is being disturbed. */
const DISTURBED_SPEED = 0.9;
/** Below this speed at the lowest share, the attempt that disturbs is evicted. */
const UNBEARABLE_SPEED = 0.7;
const LOWEST_SHARE = 0.25;
const CUT_FACTOR = 0.5;
const RECOVERY_STEP = 0.1;
/** Reports lag, so a change of share is given this long to show. */
const SETTLE_MS = 3000;

interface Throttle {
  changedAt: Instant;
  share: number;
}

/** Holds the share of each throttled attempt. */
export class Throttles {
  readonly #throttles = new Map<AttemptId, Throttle>();

  /**
   * Reacts to the speed of a latency-critical attempt whose worst disturber is `by`. Returns whether
   * the disturber ought to be evicted.
   */
  disturbed(by: AttemptId, speed: number, now: Instant): boolean {
    const throttle = this.#throttles.get(by);
    if (speed >= DISTURBED_SPEED) {
      this.#recover(by, throttle, now);
      return false;
    }
    if (throttle && now < after(throttle.changedAt, SETTLE_MS)) {
      return false;
    }
    if (throttle && throttle.share <= LOWEST_SHARE) {
      return speed < UNBEARABLE_SPEED;
    }
    const share = Math.max(LOWEST_SHARE, (throttle?.share ?? 1) * CUT_FACTOR);
    this.#throttles.set(by, {changedAt: now, share});
    return false;
  }

  forget(attempt: AttemptId): void {
    this.#throttles.delete(attempt);
  }

  wishes(): readonly ThrottleWish[] {
    return [...this.#throttles].map(([attempt, {share}]) => ({attempt, share}));
  }

  #recover(by: AttemptId, throttle: Throttle | undefined, now: Instant): void {
    if (!throttle || now < after(throttle.changedAt, SETTLE_MS)) {
      return;
    }
    throttle.share += RECOVERY_STEP;
    throttle.changedAt = now;
    if (throttle.share >= 1) {
      this.#throttles.delete(by);
    }
  }
}
