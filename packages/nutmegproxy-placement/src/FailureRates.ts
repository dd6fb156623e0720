/** How attempts of entries have ended, whatever the worker; the past fades. */

import type {EntryId, Instant} from '@nutmegproxy/core';

import {LRUCache} from 'lru-cache';

/** Time in which a count loses half of its weight. */
const HALF_LIFE_MS = 300_000;

/** A count that fades with time. */
export class FadingCount {
  #at = 0;
  #value = 0;

  add(amount: number, now: Instant): void {
    this.#value = this.value(now) + amount;
    this.#at = now;
  }

  value(now: Instant): number {
    return this.#value * 0.5 ** (Math.max(0, now - this.#at) / HALF_LIFE_MS);
  }
}

/** Ended attempts and the failed ones among them. */
export interface Outcomes {
  readonly failures: number;
  readonly runs: number;
}

interface Tally {
  readonly failures: FadingCount;
  readonly runs: FadingCount;
}

/** Counts of outcomes by entry; the entry that was used least recently goes first. */
export class FailureRates {
  readonly #tallies: LRUCache<EntryId, Tally>;

  constructor(limit: number) {
    this.#tallies = new LRUCache({max: limit});
  }

  add(entry: EntryId, {failures, runs}: Outcomes, now: Instant): void {
    const tally = this.#tallies.get(entry) ?? {
      failures: new FadingCount(),
      runs: new FadingCount(),
    };
    tally.runs.add(runs, now);
    tally.failures.add(failures, now);
    this.#tallies.set(entry, tally);
  }

  outcomes(entry: EntryId, now: Instant): Outcomes {
    const tally = this.#tallies.get(entry);
    return {failures: tally?.failures.value(now) ?? 0, runs: tally?.runs.value(now) ?? 0};
  }
}
