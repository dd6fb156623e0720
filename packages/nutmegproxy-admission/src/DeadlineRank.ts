/** Counts how many waiting requests have an earlier deadline, in logarithmic time. */

import type {Instant} from '@nutmegproxy/core';

import {RANK_BUCKET_MS, RANK_BUCKETS} from './AdmissionConstants.ts';

/**
 * Fenwick tree over a ring of deadline buckets. Deadlines beyond the ring fall into its last bucket,
 * so the rank is an estimate.
 */
export class DeadlineRank {
  readonly #counts = new Int32Array(RANK_BUCKETS + 1);
  #total = 0;

  /** Adds a request and returns its bucket, to be passed to `remove`. */
  add(deadline: Instant, now: Instant): number {
    const bucket = this.#bucket(deadline, now);
    this.#change(bucket, 1);
    return bucket;
  }

  /** Returns the number of requests with a deadline in an earlier bucket. */
  ahead(deadline: Instant, now: Instant): number {
    const start = this.#bucket(now, now);
    const end = this.#bucket(deadline, now);
    if (start <= end) {
      return this.#sumBelow(end) - this.#sumBelow(start);
    }
    return this.#total - this.#sumBelow(start) + this.#sumBelow(end);
  }

  remove(bucket: number): void {
    this.#change(bucket, -1);
  }

  #bucket(deadline: Instant, now: Instant): number {
    const furthest = now + (RANK_BUCKETS - 2) * RANK_BUCKET_MS;
    const counted = Math.max(now, Math.min(deadline, furthest));
    return Math.floor(counted / RANK_BUCKET_MS) % RANK_BUCKETS;
  }

  #change(bucket: number, by: number): void {
    this.#total += by;
    for (let index = bucket + 1; index <= RANK_BUCKETS; index += index & -index) {
      this.#counts[index] = (this.#counts[index] ?? 0) + by;
    }
  }

  #sumBelow(bucket: number): number {
    let sum = 0;
    for (let index = bucket; index > 0; index -= index & -index) {
      sum += this.#counts[index] ?? 0;
    }
    return sum;
  }
}
