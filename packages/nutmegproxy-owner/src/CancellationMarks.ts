/**
 * Cancellations of jobs that are not stored. A submission that was under way when its job was cancelled finds
 * the cancellation in the store and stores nothing; it is kept until none can be under way any more.
 */

import type {Instant, JobId} from '@nutmegproxy/core';

/**
 * @example
 * const marks = new CancellationMarks();
 * marks.add(id, clock.monotonic());
 * marks.listOlderThan(retentionMs, clock.monotonic()); // [] until the time has passed
 */
export class CancellationMarks {
  /** When this owner first knew of each, oldest first. */
  readonly #seenAt = new Map<JobId, Instant>();

  /** Adds a cancellation without a job, unless it is known. */
  add(id: JobId, now: Instant): void {
    if (!this.#seenAt.has(id)) {
      this.#seenAt.set(id, now);
    }
  }

  delete(id: JobId): void {
    this.#seenAt.delete(id);
  }

  has(id: JobId): boolean {
    return this.#seenAt.has(id);
  }

  /** Returns the jobs whose cancellations are older than a time in milliseconds, oldest first. */
  listOlderThan(ageMs: number, now: Instant): JobId[] {
    const older: JobId[] = [];
    for (const [id, seenAt] of this.#seenAt) {
      if (now - seenAt <= ageMs) {
        break;
      }
      older.push(id);
    }
    return older;
  }
}
