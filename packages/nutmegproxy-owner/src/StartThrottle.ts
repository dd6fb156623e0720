/**
 * Limits the rate of deferrable starts by the use of this process's event loop. Starts and reports
 * of urgent and of deferrable tasks go through the same loop, first come first served: once it is
 * full, the most numerous kind of work delays all others.
 *
 * Half of a start's work comes seconds later, with the report of its end. So the rate follows the
 * means of the starts and of the use over some seconds, and only a share of it is used while the
 * loop is full at the moment.
 */

import type {EventFields, Instant} from '@nutmegproxy/core';

import {performance} from 'node:perf_hooks';

import type {LoopTimes} from './OwnerLoad.ts';

/** Use of the event loop above which deferrable starts are delayed. */
const TARGET_USE = 0.9;
/** Shortest time in milliseconds over which the use is measured. */
const SAMPLE_MS = 100;
/** Bounds of the rate in starts per second. */
const MIN_RATE = 20;
const MAX_RATE = 5_000;
/** Rate of a new owner, whose loop takes some time to fill: calls for more starts would wait in it. */
const INITIAL_RATE = 1_000;
/** Weight of a sample in the present use and starts; single samples are full while a round is planned. */
const SMOOTHING = 0.3;
/** Time constant in milliseconds of the means, which cover the tasks' starts and their ends. */
const MEAN_MS = 5_000;
/** Reduction of the share of the rate for each unit of the present use above the target. */
const PAUSE_GAIN = 10;
/** The rate stays above the sustained one by this factor, since the loop is not full all the time. */
const HEADROOM = 1.5;
/** Relative growth of the rate by a sample, for each unit of present and mean use below the target. */
const GROWTH_GAIN = 0.5;
/** Growth by a sample, in starts per second. */
const GROWTH_PER_SAMPLE = 1;
/** Time in milliseconds whose unused starts may be made at once. */
const BURST_MS = 250;
/** Starts in a round while the rate is not limited and the loop is not idle either: idle jobs go before others. */
const MAX_BURST = (MAX_RATE * BURST_MS) / 1_000;
/** Time in milliseconds without urgent work from which the rate is not limited: urgent jobs come in series. */
const LULL_MS = 1_000;

export class StartThrottle {
  #available = (INITIAL_RATE * BURST_MS) / 1_000;
  /** Whether there has been no urgent work for so long that the rate is not limited. */
  #isLull = false;
  #loop: LoopTimes;
  #meanStartsPerS = 0;
  #meanUse = 0;
  #rate = INITIAL_RATE;
  readonly #readLoop: () => LoopTimes;
  #sampledAt: Instant | undefined;
  /** Share of the rate that may be used at the moment. */
  #share = 1;
  #started = 0;
  #startsPerS = 0;
  /** When there was urgent work last; undefined before the first round. */
  #urgentAt: Instant | undefined;
  #updatedAt: Instant | undefined;
  #use = 0;

  constructor(readLoop: () => LoopTimes = () => performance.eventLoopUtilization()) {
    this.#readLoop = readLoop;
    this.#loop = readLoop();
  }

  /** Event fields that say how many deferrable starts a second are allowed. */
  get eventFields(): EventFields {
    return {deferrableStartsPerS: this.#isLull ? MAX_RATE : Math.round(this.#rate)};
  }

  /**
   * Returns the number of deferrable starts that may be made now; Infinity when it is not limited. A full loop delays
   * nobody but them where there is no urgent work.
   */
  getAllowance(now: Instant, {hasUrgentWork = true} = {}): number {
    this.#sample(now);
    this.#urgentAt = hasUrgentWork ? now : (this.#urgentAt ?? now);
    const elapsedMs = now - (this.#updatedAt ?? now);
    this.#updatedAt = now;
    const rate = Math.max(MIN_RATE, this.#rate * this.#share);
    const burst = (rate * BURST_MS) / 1_000;
    this.#available = Math.min(burst, this.#available + (rate * elapsedMs) / 1_000);
    this.#isLull = now - this.#urgentAt >= LULL_MS;
    if (rate < MAX_RATE && this.#isLull) {
      return MAX_BURST;
    }
    return rate >= MAX_RATE ? Infinity : Math.floor(Math.max(0, this.#available));
  }

  /** Records deferrable starts. */
  recordStarts(count: number): void {
    this.#started += count;
    this.#available = Math.max(this.#available - count, (-this.#rate * BURST_MS) / 1_000);
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
      const weight = 1 - Math.exp(-elapsedMs / MEAN_MS);
      const startsPerS = (this.#started * 1_000) / elapsedMs;
      this.#use += SMOOTHING * (use - this.#use);
      this.#startsPerS += SMOOTHING * (startsPerS - this.#startsPerS);
      this.#meanUse += weight * (use - this.#meanUse);
      this.#meanStartsPerS += weight * (startsPerS - this.#meanStartsPerS);
      this.#adjust();
    }
    this.#sampledAt = now;
    this.#started = 0;
  }

  #adjust(): void {
    const excess = Math.max(0, this.#use - TARGET_USE);
    // With few starts, other work fills the loop.
    const isLimiting = excess > 0 && Math.max(this.#startsPerS, this.#meanStartsPerS) >= MIN_RATE;
    this.#share = isLimiting ? Math.max(0, 1 - PAUSE_GAIN * excess) : 1;
    const spare = TARGET_USE - Math.max(this.#use, this.#meanUse);
    if (spare > 0) {
      const grown = this.#rate * (1 + GROWTH_GAIN * spare) + GROWTH_PER_SAMPLE;
      this.#rate = Math.min(MAX_RATE, grown);
    }
    if (isLimiting) {
      const sustained = (this.#meanStartsPerS * TARGET_USE) / this.#meanUse;
      this.#rate = Math.max(MIN_RATE, Math.min(this.#rate, HEADROOM * sustained));
    }
  }
}
