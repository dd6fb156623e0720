/**
 * Throttles batch attempts that slow latency-critical ones, and reports those to evict when
 * throttling has not helped.
 */

import type {AttemptId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import type {Throttle} from './Placement.ts';

/** A latency-critical attempt below this speed counts as slowed by a co-runner. */
const SLOWED_SPEED = 0.9;
/** Below this speed, an antagonist that already runs at the minimum share is evicted. */
const EVICTION_SPEED = 0.7;
const MIN_SHARE = 0.25;
const CUT_FACTOR = 0.5;
const RECOVERY_STEP = 0.1;
/** Minimum time between changes of a share, since reports that show the effect are delayed. */
const SETTLE_MS = 3000;

interface ThrottleState {
  changedAt: Instant;
  share: number;
}

/** Controls the processor share of each throttled attempt. */
export class ThrottleController {
  readonly #throttles = new Map<AttemptId, ThrottleState>();

  /**
   * Adjusts the share of `antagonist`, the co-runner that slows a latency-critical attempt the most,
   * by the speed of that attempt. Returns whether the antagonist should be evicted.
   */
  adjust(antagonist: AttemptId, speed: number, now: Instant): boolean {
    const throttle = this.#throttles.get(antagonist);
    if (speed >= SLOWED_SPEED) {
      this.#recover(antagonist, throttle, now);
      return false;
    }
    if (throttle && now < after(throttle.changedAt, SETTLE_MS)) {
      return false;
    }
    if (throttle && throttle.share <= MIN_SHARE) {
      return speed < EVICTION_SPEED;
    }
    const share = Math.max(MIN_SHARE, (throttle?.share ?? 1) * CUT_FACTOR);
    this.#throttles.set(antagonist, {changedAt: now, share});
    return false;
  }

  forget(attempt: AttemptId): void {
    this.#throttles.delete(attempt);
  }

  throttles(): readonly Throttle[] {
    return [...this.#throttles].map(([attempt, {share}]) => ({attempt, share}));
  }

  #recover(antagonist: AttemptId, throttle: ThrottleState | undefined, now: Instant): void {
    if (!throttle || now < after(throttle.changedAt, SETTLE_MS)) {
      return;
    }
    throttle.share += RECOVERY_STEP;
    throttle.changedAt = now;
    if (throttle.share >= 1) {
      this.#throttles.delete(antagonist);
    }
  }
}
