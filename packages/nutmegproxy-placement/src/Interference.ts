/**
 * Model of how much attempts of one entry slow those of another on the same worker, learned from
 * delayed reports. A Kalman filter with a diagonal covariance estimates, for each ordered pair of
 * entries, the logarithm of the slowdown at full use of the processors.
 */

import type {EntryId, Instant} from '@nutmegproxy/core';
import type {PairSummary} from '@nutmegproxy/schema';

import {LRUCache} from 'lru-cache';

/** Mean for a pair without reports: a small slowdown. */
const PRIOR_MEAN = 0.05;
const PRIOR_VARIANCE = 0.25;
/** Variance of a report that is not caused by co-runners. */
const REPORT_VARIANCE = 0.01;
/** Growth of a pair's variance per second, so that new reports outweigh old ones as load shifts. */
const VARIANCE_GROWTH_PER_S = 0.000_05;
/** Lower bound on a peer's variance, so that later reports can correct a wrong summary. */
const MIN_PEER_VARIANCE = 0.005;
const MAX_SUMMARY_VARIANCE = 1e9;
/** Maximum number of pairs; the least recently used one is dropped first. */
const PAIR_LIMIT = 20_000;
/** Maximum number of pairs with reports not yet sent to peers. */
const UNSENT_LIMIT = 4096;

/** An entry that runs on the same worker, with the share of its processors that it uses, 0 to 1. */
export interface CoRunner {
  readonly entry: EntryId;
  readonly share: number;
}

/** Natural logarithm of a slowdown: 0 is none, 0.69 is half speed. */
export interface SlowdownEstimate {
  readonly deviation: number;
  readonly mean: number;
}

/** Reports on a pair not yet sent to peers: their sum of precisions and precision-weighted sum. */
interface UnsentReports {
  readonly by: EntryId;
  readonly entry: EntryId;
  precision: number;
  weighted: number;
}

interface Pair {
  readonly by: EntryId;
  readonly entry: EntryId;
  mean: number;
  updatedAt: Instant;
  variance: number;
}

/** Learns and predicts slowdowns for pairs of entries. */
export class Interference {
  readonly #pairs = new LRUCache<string, Pair>({max: PAIR_LIMIT});
  readonly #unsent = new LRUCache<string, UnsentReports>({max: UNSENT_LIMIT});

  /** Learns from the speed of an attempt, 0 to 1, and its co-runners at that time. */
  learn(entry: EntryId, coRunners: readonly CoRunner[], speed: number, now: Instant): void {
    const terms = coRunners
      .filter(({share}) => share > 0)
      .map(({entry: by, share}) => ({by, pair: this.#currentPair(entry, by, now), share}));
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
    for (const {by, pair, share} of terms) {
      // The part of the report that the other co-runners do not explain is attributed to this pair.
      const residual = (error + pair.mean * share) / share;
      const residualVariance = (variance - pair.variance * share * share) / (share * share);
      this.#addUnsent(entry, by, residual, residualVariance);
      const gain = (pair.variance * share) / variance;
      pair.mean = Math.max(0, pair.mean + gain * error);
      pair.variance *= 1 - gain * share;
    }
  }

  /** Merges a peer's summary of a pair into the estimate, weighted by the variances of both. */
  merge({by, entry, mean, variance}: PairSummary, now: Instant): void {
    const pair = this.#currentPair(entry as EntryId, by as EntryId, now);
    const gain = pair.variance / (pair.variance + Math.max(variance, MIN_PEER_VARIANCE));
    pair.mean = Math.max(0, pair.mean + gain * (mean - pair.mean));
    pair.variance *= 1 - gain;
  }

  /** Returns up to `limit` pairs, the most recently used first. */
  recentPairs(limit: number): PairSummary[] {
    const pairs = [...this.#pairs.entries()].slice(0, limit);
    return pairs.map(([, {by, entry, mean, variance}]) => ({by, entry, mean, variance}));
  }

  /** Predicts the slowdown that `by` causes to `entry`. */
  predict(entry: EntryId, by: CoRunner, now: Instant): SlowdownEstimate {
    const pair = this.#pairs.get(toKey(entry, by.entry));
    const mean = pair ? pair.mean : PRIOR_MEAN;
    const variance = pair ? varianceAt(pair, now) : PRIOR_VARIANCE;
    return {deviation: Math.sqrt(variance) * by.share, mean: mean * by.share};
  }

  /** Removes and returns up to `limit` pairs with reports not yet sent to peers. */
  takeUnsent(limit: number): PairSummary[] {
    const taken = [...this.#unsent.entries()].slice(0, limit);
    return taken.map(([key, {by, entry, precision, weighted}]) => {
      this.#unsent.delete(key);
      const mean = Math.min(1000, Math.max(-1000, weighted / precision));
      return {by, entry, mean, variance: Math.min(1 / precision, MAX_SUMMARY_VARIANCE)};
    });
  }

  #addUnsent(entry: EntryId, by: EntryId, observed: number, variance: number): void {
    const key = toKey(entry, by);
    const unsent = this.#unsent.get(key) ?? {by, entry, precision: 0, weighted: 0};
    unsent.precision += 1 / variance;
    unsent.weighted += observed / variance;
    this.#unsent.set(key, unsent);
  }

  #currentPair(entry: EntryId, by: EntryId, now: Instant): Pair {
    const key = toKey(entry, by);
    const known = this.#pairs.get(key);
    const pair = known ?? {by, entry, mean: PRIOR_MEAN, updatedAt: now, variance: PRIOR_VARIANCE};
    pair.variance = varianceAt(pair, now);
    pair.updatedAt = now;
    this.#pairs.set(key, pair);
    return pair;
  }
}

function toKey(entry: EntryId, by: EntryId): string {
  return `${entry} ${by}`;
}

function varianceAt(pair: Pair, now: Instant): number {
  const seconds = Math.max(0, now - pair.updatedAt) / 1000;
  return Math.min(PRIOR_VARIANCE, pair.variance + seconds * VARIANCE_GROWTH_PER_S);
}
