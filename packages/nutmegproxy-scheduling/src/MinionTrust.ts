/**
 * Quarantines a minion whose runs fail or stall. Such a minion looks idle and would otherwise get
 * more work than any other.
 */

import type {Instant, JobId} from '@nutmegproxy/core';

/** Number of different jobs whose failures quarantine a minion if no run succeeds in between. */
const FAILURES_TO_QUARANTINE = 2;
/** First quarantine in milliseconds; most short faults are over after this time. */
const FIRST_QUARANTINE_MS = 2_000;
/** Longest quarantine in milliseconds; bounds how long a recovered minion stays unused. */
const MAX_QUARANTINE_MS = 4_000;
/** Longest time in milliseconds by which runs that are started before the next trial put it off. */
const MAX_POSTPONEMENT_MS = 2 * MAX_QUARANTINE_MS;
/** Time in milliseconds for which a failure speaks against the last attempt of a task. */
export const RECENT_FAILURE_MS = 8_000;
/** Time in milliseconds after which a failure no longer counts together with another one. */
const FAILURE_MEMORY_MS = 300_000;

/**
 * `trusted`: gets any work. `trial`: gets one run, until that has shown whether the minion is sound.
 * `quarantined`: gets none.
 */
export type TrustLevel = 'quarantined' | 'trial' | 'trusted';

export class MinionTrust {
  #failedAt = -Infinity;
  readonly #failedJobs = new Set<JobId>();
  #quarantineMs = FIRST_QUARANTINE_MS;
  #quarantinedUntil: Instant | undefined;

  /** Whether a run has failed or stalled a short time ago and none has succeeded since. */
  hasRecentFailures(now: Instant): boolean {
    return now - this.#failedAt < RECENT_FAILURE_MS;
  }

  /**
   * Whether interrupted tasks that find no other minion may start, although the minion may be
   * quarantined for longer, because it failed its trial.
   */
  admitsInterruptedTasks(now: Instant): boolean {
    return now - this.#failedAt >= FIRST_QUARANTINE_MS;
  }

  /** Whether a run that was sent at `sentAt` shows if the minion is sound. */
  isTrial(sentAt: Instant): boolean {
    return (
      this.#quarantinedUntil !== undefined &&
      (sentAt >= this.#quarantinedUntil || this.admitsInterruptedTasks(sentAt))
    );
  }

  level(now: Instant): TrustLevel {
    if (this.#quarantinedUntil === undefined) {
      return 'trusted';
    }
    return now < this.#quarantinedUntil ? 'quarantined' : 'trial';
  }

  /** Puts off the next trial, as a run was started before it that may fail as well. */
  postponeTrial(now: Instant): void {
    if (this.#quarantinedUntil !== undefined) {
      const untilMs = Math.max(now, this.#quarantinedUntil) + this.#quarantineMs;
      const latestMs = Math.max(this.#quarantinedUntil, now + MAX_POSTPONEMENT_MS);
      this.#quarantinedUntil = Math.min(untilMs, latestMs) as Instant;
    }
  }

  /** Records a failed run; returns true when this starts a quarantine. */
  recordFailure(job: JobId, now: Instant): boolean {
    if (now - this.#failedAt >= FAILURE_MEMORY_MS) {
      this.#failedJobs.clear();
    }
    this.#failedAt = now;
    this.#failedJobs.add(job);
    return this.#failedJobs.size >= FAILURES_TO_QUARANTINE || this.#quarantinedUntil !== undefined
      ? this.#quarantine(now)
      : false;
  }

  /** Records a run without progress; returns true when this starts a quarantine. */
  recordStall(now: Instant): boolean {
    this.#failedAt = now;
    return this.#quarantine(now);
  }

  /**
   * Ends the trial as its run has gone on for some time without failing. The failures count on: the
   * next one starts a quarantine, unless a run succeeds before.
   */
  endTrial(): void {
    this.#quarantinedUntil = undefined;
  }

  /**
   * Records the success of a run that was sent at `sentAt`; returns true when this ends a quarantine. It
   * says nothing about the minion if a run has failed since it was sent.
   */
  recordSuccess(sentAt: Instant): boolean {
    if (sentAt < this.#failedAt) {
      return false;
    }
    const wasQuarantined = this.#quarantinedUntil !== undefined;
    this.#failedAt = -Infinity;
    this.#failedJobs.clear();
    this.#quarantineMs = FIRST_QUARANTINE_MS;
    this.#quarantinedUntil = undefined;
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
