/**
 * Trust in one minion, for loads in which some minions fail or stall all that they start. Such a
 * minion looks idle and would draw more work than any other.
 */

import type {Instant, JobId} from '@nutmegproxy/core';

/** Failures of different jobs without a success between them after which a minion is quarantined. */
const FAILURES_TO_QUARANTINE = 2;
/** First quarantine in milliseconds; long enough that a short fault mostly passes. */
const FIRST_QUARANTINE_MS = 2_000;
/** Longest quarantine in milliseconds; bounds how long a healed minion stays unused. */
const MAX_QUARANTINE_MS = 8_000;

/** `trusted`: gets any work. `trial`: may get one run. `quarantined`: gets none. */
export type TrustLevel = 'quarantined' | 'trial' | 'trusted';

export class MinionTrust {
  readonly #failedJobs = new Set<JobId>();
  #quarantineMs = FIRST_QUARANTINE_MS;
  #quarantinedUntil: Instant | undefined;
  #stalls = 0;

  /** Whether the minion has failed something since its last success. */
  get hasRecentFailures(): boolean {
    return this.#failedJobs.size > 0 || this.#stalls > 0 || this.#quarantinedUntil !== undefined;
  }

  level(now: Instant): TrustLevel {
    if (this.#quarantinedUntil === undefined) {
      return 'trusted';
    }
    return now < this.#quarantinedUntil ? 'quarantined' : 'trial';
  }

  /** Notes a failed run; true when the minion is quarantined from now on. */
  recordFailure(job: JobId, now: Instant): boolean {
    this.#failedJobs.add(job);
    return this.#failedJobs.size >= FAILURES_TO_QUARANTINE || this.#quarantinedUntil !== undefined
      ? this.#quarantine(now)
      : false;
  }

  /** Notes a run that made no progress. */
  recordStall(now: Instant): boolean {
    this.#stalls += 1;
    return this.#quarantine(now);
  }

  /** Notes a run that ended well; true when it ends a quarantine. */
  recordSuccess(): boolean {
    const wasQuarantined = this.#quarantinedUntil !== undefined;
    this.#failedJobs.clear();
    this.#quarantineMs = FIRST_QUARANTINE_MS;
    this.#quarantinedUntil = undefined;
    this.#stalls = 0;
    return wasQuarantined;
  }

  #quarantine(now: Instant): boolean {
    const isAlreadyQuarantined = this.level(now) === 'quarantined';
    if (isAlreadyQuarantined) {
      return false;
    }
    this.#quarantinedUntil = (now + this.#quarantineMs) as Instant;
    this.#quarantineMs = Math.min(this.#quarantineMs * 2, MAX_QUARANTINE_MS);
    return true;
  }
}
