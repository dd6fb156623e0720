/** How attempts of entries have ended, whatever the worker; the past fades. */

import type {EntryId, Instant} from '@nutmegproxy/core';

import {LRUCache} from 'lru-cache';

/** Time in which a count loses half of its weight. */
const HALF_LIFE_MS = 300_000;

/** A count that fades with time. */
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

/** Ended attempts and the failed ones among them. */
export interface Outcomes {
  readonly failures: number;
  readonly runs: number;
}

interface OutcomeCounts {
  readonly failures: DecayingCount;
  readonly runs: DecayingCount;
}

/** Counts of outcomes by entry; the entry that was used least recently goes first. */
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
