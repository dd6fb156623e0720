/** Failure rates of entries over all workers; older outcomes lose weight. */

import type {EntryId, Instant} from '@nutmegproxy/core';

import {LRUCache} from 'lru-cache';

/** Half-life of a count. */
const HALF_LIFE_MS = 300_000;

/** A count that decays exponentially with time. */
export class DecayingCount {
  #updatedAt = 0;
  #value = 0;

  add(amount: number, now: Instant): void {
    this.#value = this.value(now) + amount;
    this.#updatedAt = now;
  }

  value(now: Instant): number {
    return this.#value * 0.5 ** (Math.max(0, now - this.#updatedAt) / HALF_LIFE_MS);
  }
}

/** Number of ended attempts, and of those that failed. */
export interface Outcomes {
  readonly failures: number;
  readonly runs: number;
}

interface OutcomeCounts {
  readonly failures: DecayingCount;
  readonly runs: DecayingCount;
}

/** Outcome counts by entry; the least recently used entry is dropped first. */
export class FailureRates {
  readonly #counts: LRUCache<EntryId, OutcomeCounts>;

  constructor(limit: number) {
    this.#counts = new LRUCache({max: limit});
  }

  add(entry: EntryId, {failures, runs}: Outcomes, now: Instant): void {
    const counts = this.#counts.get(entry) ?? {
      failures: new DecayingCount(),
      runs: new DecayingCount(),
    };
    counts.runs.add(runs, now);
    counts.failures.add(failures, now);
    this.#counts.set(entry, counts);
  }

  outcomes(entry: EntryId, now: Instant): Outcomes {
    const counts = this.#counts.get(entry);
    return {failures: counts?.failures.value(now) ?? 0, runs: counts?.runs.value(now) ?? 0};
  }
}
