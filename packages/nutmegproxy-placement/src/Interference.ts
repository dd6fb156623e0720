/**
 * How much attempts of one entry slow those of another on the same worker, learned from late
 * reports. For each ordered pair of entries it keeps the logarithm of the slowdown at full use of
 * the processors, with its uncertainty; a Kalman filter with a diagonal covariance.
 */

import type {EntryId, Instant} from '@nutmegproxy/core';

import {LRUCache} from 'lru-cache';

/** Mean for a pair that was never seen: a small slowdown. */
const PRIOR_MEAN = 0.05;
const PRIOR_VARIANCE = 0.25;
/** Variance of a report that no co-runner explains. */
const REPORT_VARIANCE = 0.01;
/** Growth of a pair's variance per second, so that old knowledge gives way as load shifts. */
const VARIANCE_GROWTH_PER_S = 0.000_05;
/** Pairs kept; the one that was used least recently goes first. */
const PAIR_LIMIT = 20_000;

/** An entry that runs on the same worker, with the share of its processors that it uses, 0 to 1. */
export interface CoRunner {
  readonly entry: EntryId;
  readonly share: number;
}

/** Logarithm of a slowdown: 0 is none, 0.69 is half speed. */
export interface SlowdownEstimate {
  readonly deviation: number;
  readonly mean: number;
}

interface Pair {
  mean: number;
  updatedAt: Instant;
  variance: number;
}

/** Learns and predicts slowdowns for pairs of entries. */
export class Interference {
  readonly #pairs = new LRUCache<string, Pair>({max: PAIR_LIMIT});

  /** Learns from the speed of an attempt, 0 to 1, among its co-runners at that time. */
  learn(entry: EntryId, coRunners: readonly CoRunner[], speed: number, now: Instant): void {
    const terms = coRunners
      .filter(({share}) => share > 0)
      .map(({entry: other, share}) => ({pair: this.#touch(entry, other, now), share}));
    if (terms.length === 0) {
      return;
    }
    const observed = -Math.log(Math.min(1, Math.max(0.01, speed)));
    let expected = 0;
    let variance = REPORT_VARIANCE;
    for (const {pair, share} of terms) {
      expected += pair.mean * share;
      variance += pair.variance * share * share;
    }
    const error = observed - expected;
    for (const {pair, share} of terms) {
      const gain = (pair.variance * share) / variance;
      pair.mean = Math.max(0, pair.mean + gain * error);
      pair.variance *= 1 - gain * share;
    }
  }

  /** Predicts the slowdown that `by` causes to `entry`. */
  predict(entry: EntryId, by: CoRunner, now: Instant): SlowdownEstimate {
    const pair = this.#pairs.get(toKey(entry, by.entry));
    const mean = pair ? pair.mean : PRIOR_MEAN;
    const variance = pair ? grown(pair, now) : PRIOR_VARIANCE;
    return {deviation: Math.sqrt(variance) * by.share, mean: mean * by.share};
  }

  #touch(entry: EntryId, by: EntryId, now: Instant): Pair {
    const key = toKey(entry, by);
    const known = this.#pairs.get(key);
    const pair = known ?? {mean: PRIOR_MEAN, updatedAt: now, variance: PRIOR_VARIANCE};
    pair.variance = grown(pair, now);
    pair.updatedAt = now;
    this.#pairs.set(key, pair);
    return pair;
  }
}

function toKey(entry: EntryId, by: EntryId): string {
  return `${entry} ${by}`;
}

function grown(pair: Pair, now: Instant): number {
  const seconds = Math.max(0, now - pair.updatedAt) / 1000;
  return Math.min(PRIOR_VARIANCE, pair.variance + seconds * VARIANCE_GROWTH_PER_S);
}
