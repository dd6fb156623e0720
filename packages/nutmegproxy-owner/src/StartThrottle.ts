/**
 * Limits the rate of deferrable starts by the use of this process's event loop. Starts and reports
 * of urgent and of deferrable tasks go through the same loop, first come first served: once it is
 * full, the most numerous kind of work delays all others. The rate falls while the loop's use is
 * above the target and rises while it is below.
 */

import type {EventFields, Instant} from '@nutmegproxy/core';

import {performance} from 'node:perf_hooks';

import type {LoopTimes} from './OwnerLoad.ts';

/** Use of the event loop above which deferrable starts are delayed. */
const TARGET_USE = 0.95;
/** Shortest time in milliseconds over which the use is measured. */
const SAMPLE_MS = 100;
/** Bounds of the rate in starts per second. */
const MIN_RATE = 20;
const MAX_RATE = 5_000;
/** Factor by which a sample above the target lowers the rate. */
const BACKOFF_FACTOR = 0.85;
/** Factor and amount by which a sample below the target raises the rate. */
const GROWTH_FACTOR = 1.05;
const GROWTH_PER_SAMPLE = 5;
/** Time in milliseconds whose unused starts may be made at once. */
const BURST_MS = 250;

export class StartThrottle {
  #available = (MAX_RATE * BURST_MS) / 1_000;
  #loop: LoopTimes;
  #rate = MAX_RATE;
  readonly #readLoop: () => LoopTimes;
  #sampledAt: Instant | undefined;
  #started = 0;
  #updatedAt: Instant | undefined;

  constructor(readLoop: () => LoopTimes = () => performance.eventLoopUtilization()) {
    this.#readLoop = readLoop;
    this.#loop = readLoop();
  }

  /** Event fields that say how many deferrable starts a second are allowed. */
  get eventFields(): EventFields {
    return {deferrableStartsPerS: Math.round(this.#rate)};
  }

  /** Returns the number of deferrable starts that may be made now; Infinity when it is not limited. */
  getAllowance(now: Instant): number {
    this.#sample(now);
    const elapsedMs = now - (this.#updatedAt ?? now);
    this.#updatedAt = now;
    const burst = (this.#rate * BURST_MS) / 1_000;
    this.#available = Math.min(burst, this.#available + (this.#rate * elapsedMs) / 1_000);
    return this.#rate >= MAX_RATE ? Infinity : Math.floor(Math.max(0, this.#available));
  }

  /** Records deferrable starts. */
  recordStarts(count: number): void {
    this.#started += count;
    this.#available -= count;
  }

  #sample(now: Instant): void {
    const elapsedMs = now - (this.#sampledAt ?? -Infinity);
    if (elapsedMs < SAMPLE_MS) {
      return;
    }
    const loop = this.#readLoop();
    const activeMs = loop.active - this.#loop.active;
    const use = activeMs / Math.max(1, activeMs + loop.idle - this.#loop.idle);
    this.#loop = loop;
    if (this.#sampledAt !== undefined) {
      this.#adjustRate(use, (this.#started * 1_000) / elapsedMs);
    }
    this.#sampledAt = now;
    this.#started = 0;
  }

  #adjustRate(use: number, startedPerS: number): void {
    if (use > TARGET_USE) {
      // A rate that is not used up does not limit anything, so the reduction begins at what was started.
      const reduced = Math.min(this.#rate, Math.max(startedPerS, MIN_RATE)) * BACKOFF_FACTOR;
      this.#rate = Math.max(MIN_RATE, reduced);
    } else {
      this.#rate = Math.min(MAX_RATE, this.#rate * GROWTH_FACTOR + GROWTH_PER_SAMPLE);
    }
  }
}
