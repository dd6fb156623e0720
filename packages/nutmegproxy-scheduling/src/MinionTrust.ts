/**
 * Trust in one minion, for loads in which some minions fail or stall all that they start. Such a
 * minion looks idle and would draw more work than any other.
 */

import type {Instant, JobId} from '@nutmegproxy/core';

/** Failures of different jobs without a success between them after which a minion is rested. */
const FAILURES_TO_REST = 2;
/** First rest in milliseconds; long enough that a short fault mostly passes. */
const FIRST_REST_MS = 2_000;
/** Longest rest in milliseconds; bounds how long a healed minion stays unused. */
const LONGEST_REST_MS = 8_000;

/** `trusted`: gets any work. `trial`: may get one run. `resting`: gets none. */
export type TrustLevel = 'resting' | 'trial' | 'trusted';

export class MinionTrust {
  readonly #failedJobs = new Set<JobId>();
  #restMs = FIRST_REST_MS;
  #restUntil: Instant | undefined;
  #stalls = 0;

  /** Whether the minion has failed something since its last success. */
  get isDoubted(): boolean {
    return this.#failedJobs.size > 0 || this.#stalls > 0 || this.#restUntil !== undefined;
  }

  level(now: Instant): TrustLevel {
    if (this.#restUntil === undefined) {
      return 'trusted';
    }
    return now < this.#restUntil ? 'resting' : 'trial';
  }

  /** Notes a failed run; true when the minion is rested from now on. */
  noteFailure(job: JobId, now: Instant): boolean {
    this.#failedJobs.add(job);
    return this.#failedJobs.size >= FAILURES_TO_REST || this.#restUntil !== undefined
      ? this.#rest(now)
      : false;
  }

  /** Notes a run that made no progress. */
  noteStall(now: Instant): boolean {
    this.#stalls += 1;
    return this.#rest(now);
  }

  /** Notes a run that ended well; true when it ends a rest. */
  noteSuccess(): boolean {
    const wasResting = this.#restUntil !== undefined;
    this.#failedJobs.clear();
    this.#restMs = FIRST_REST_MS;
    this.#restUntil = undefined;
    this.#stalls = 0;
    return wasResting;
  }

  #rest(now: Instant): boolean {
    const alreadyResting = this.level(now) === 'resting';
    if (alreadyResting) {
      return false;
    }
    this.#restUntil = (now + this.#restMs) as Instant;
    this.#restMs = Math.min(this.#restMs * 2, LONGEST_REST_MS);
    return true;
  }
}
