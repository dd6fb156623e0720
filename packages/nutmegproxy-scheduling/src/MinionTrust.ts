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
/** Maximum number of failed jobs in a snapshot; more than quarantine a minion. */
const MAX_SNAPSHOT_JOBS = 4;
/** Maximum number of owners that pass on a failure they have not seen: ages are lost where each is a new process. */
const MAX_UNSEEN_HANDOVERS = 5;

/**
 * `trusted`: gets any work. `trial`: gets one run, until that has shown whether the minion is sound.
 * `quarantined`: gets none.
 */
export type TrustLevel = 'quarantined' | 'trial' | 'trusted';

/** What an owner passes on of a minion that is not trusted. */
export interface TrustSnapshot {
  /** Start of the incarnation that failed, in Unix milliseconds; undefined when it is not reported. */
  readonly bornAt?: number | undefined;
  /** Time in milliseconds from the last failure to the snapshot. */
  readonly failedForMs: number;
  /** Number of owners that have passed it on without a failure that they have seen. */
  readonly handovers: number;
  /** Time in milliseconds from the snapshot to the next trial; 0 when it is due. */
  readonly heldForMs: number;
  /** Last of the jobs that failed. */
  readonly jobs: readonly JobId[];
}

function isTime(value: unknown, maxMs: number): value is number {
  return typeof value === 'number' && value >= 0 && value <= maxMs;
}

/** Returns a snapshot that was stored; undefined where it is malformed. */
export function parseTrustSnapshot(stored: unknown): TrustSnapshot | undefined {
  const {bornAt, failedForMs, handovers, heldForMs, jobs} = Object(stored) as Partial<
    Record<keyof TrustSnapshot, unknown>
  >;
  const isSnapshot =
    (bornAt === undefined || Number.isFinite(bornAt)) &&
    isTime(failedForMs, RECENT_FAILURE_MS) &&
    Number.isInteger(handovers) &&
    Number(handovers) >= 0 &&
    isTime(heldForMs, MAX_POSTPONEMENT_MS) &&
    Array.isArray(jobs) &&
    jobs.length <= MAX_SNAPSHOT_JOBS &&
    jobs.every((job) => typeof job === 'string');
  return isSnapshot ? (stored as TrustSnapshot) : undefined;
}

/** Why distrust that a former owner passed on has ended: the minion restarted, or the failure is too old. */
export type FormerDistrustEnd = 'restart' | 'time';

interface FormerDistrust {
  readonly bornAt: number | undefined;
  readonly endsAt: Instant;
  readonly handovers: number;
}

export class MinionTrust {
  #failedAt = -Infinity;
  /** Present while the distrust rests on what a former owner passed on alone. */
  #former: FormerDistrust | undefined;
  readonly #failedJobs = new Set<JobId>();
  #quarantineMs = FIRST_QUARANTINE_MS;
  #quarantinedUntil: Instant | undefined;

  /** When a run has last failed or stalled of which nothing has shown since that the minion is sound. */
  get failedAt(): number {
    return this.#failedAt;
  }

  /** Whether the distrust rests on what a former owner passed on alone. */
  get restsOnFormerOwner(): boolean {
    return this.#former !== undefined;
  }

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
    if (this.#quarantinedUntil === undefined || now >= (this.#former?.endsAt ?? Infinity)) {
      return 'trusted';
    }
    return now < this.#quarantinedUntil ? 'quarantined' : 'trial';
  }

  /**
   * Returns what the next owner has to know of the incarnation that started at `bornAt`, or of the one that a former
   * owner named; undefined when the minion is trusted, its last failure is no longer recent, or enough owners that
   * did not see that failure have passed it on.
   *
   * @example
   * const snapshot = trust.export(minion.bornAt, now);
   */
  export(bornAt: number | undefined, now: Instant): TrustSnapshot | undefined {
    const handovers = this.#former?.handovers ?? 0;
    const isOver = !this.hasRecentFailures(now) || handovers > MAX_UNSEEN_HANDOVERS;
    if (this.level(now) === 'trusted' || isOver) {
      return undefined;
    }
    return {
      bornAt: this.#former === undefined ? bornAt : this.#former.bornAt,
      failedForMs: Math.floor(now - this.#failedAt),
      handovers,
      heldForMs: Math.max(0, Math.ceil((this.#quarantinedUntil ?? now) - now)),
      jobs: [...this.#failedJobs].slice(-MAX_SNAPSHOT_JOBS),
    };
  }

  /**
   * Takes over what a former owner stored by `storedBy`. Without another failure it ends once the last one is no
   * longer recent. Each owner in a series that has seen none waits half as long for the next trial, as the age may
   * have been lost.
   *
   * @example
   * trust.import(snapshot, storedBy);
   */
  import(snapshot: TrustSnapshot, storedBy: Instant): void {
    const {bornAt, failedForMs, handovers, heldForMs, jobs} = snapshot;
    const failedAt = storedBy - failedForMs;
    const endsAt = (failedAt + RECENT_FAILURE_MS) as Instant;
    this.#failedAt = failedAt;
    this.#former = {bornAt, endsAt, handovers: handovers + 1};
    this.#quarantineMs = MAX_QUARANTINE_MS;
    this.#quarantinedUntil = (storedBy + heldForMs / 2 ** handovers) as Instant;
    for (const job of jobs) {
      this.#failedJobs.add(job);
    }
  }

  /**
   * Ends distrust that a former owner passed on, if the minion is another incarnation or the time is over; returns
   * why, or undefined when nothing has ended.
   */
  endFormerDistrust(bornAt: number | undefined, now: Instant): FormerDistrustEnd | undefined {
    if (this.#former === undefined) {
      return undefined;
    }
    if (bornAt !== this.#former.bornAt) {
      this.#reset();
      return 'restart';
    }
    if (now < this.#former.endsAt) {
      return undefined;
    }
    this.endTrial();
    return 'time';
  }

  /** Trusts the minion anew if the distrust rests on what a former owner passed on alone; returns whether it did. */
  forgetFormerDistrust(): boolean {
    const hadFormer = this.#former !== undefined;
    if (hadFormer) {
      this.#reset();
    }
    return hadFormer;
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
    this.#former = undefined;
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
    this.#reset();
    return wasQuarantined;
  }

  #quarantine(now: Instant): boolean {
    const isAlreadyQuarantined = this.level(now) === 'quarantined';
    this.#former = undefined;
    if (isAlreadyQuarantined) {
      return false;
    }
    this.#quarantinedUntil = (now + this.#quarantineMs) as Instant;
    this.#quarantineMs = Math.min(this.#quarantineMs * 2, MAX_QUARANTINE_MS);
    return true;
  }

  #reset(): void {
    this.#failedAt = -Infinity;
    this.#failedJobs.clear();
    this.#former = undefined;
    this.#quarantineMs = FIRST_QUARANTINE_MS;
    this.#quarantinedUntil = undefined;
  }
}
