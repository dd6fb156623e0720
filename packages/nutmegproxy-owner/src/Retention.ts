/**
 * Removes records of ended jobs, and of cancellations without a job, after their retention time, to bound the store and
 * the owner's memory.
 */

import type {Clock, EventSink, Instant, JobId} from '@nutmegproxy/core';
import type {Fleet} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {formatJobKey, formatPlaceKey, type JobPart, type JobState} from '@nutmegproxy/jobs';

import type {CancellationMarks} from './CancellationMarks.ts';
import type {FleetOwnership} from './FleetOwnership.ts';

import {RETENTION_BATCH_KEYS, RETENTION_INTERVAL_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {createFencingCondition} from './OwnerUtils.ts';

const PARTS: readonly JobPart[] = ['cancel', 'progress', 'request'];

export interface RetentionOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly marks: CancellationMarks;
  readonly ownership: FleetOwnership;
  /** Time in milliseconds for which the records of an ended job and cancellations without one are kept. */
  readonly retentionMs: number;
  readonly store: PlatformStore;
}

export class Retention {
  /** When this owner first saw each job as ended; a new owner starts the retention time again. */
  readonly #endedAt = new Map<JobId, Instant>();
  readonly #options: RetentionOptions;

  constructor(options: RetentionOptions) {
    this.#options = options;
  }

  /** Removes old jobs while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    while (isActing()) {
      await delay(RETENTION_INTERVAL_MS);
      await this.sweep(this.#options.clock.monotonic());
    }
  }

  /** Removes one batch of the jobs, and of the cancellations without one, whose retention time has passed. */
  async sweep(now: Instant): Promise<void> {
    const {events, fleet, marks, ownership, retentionMs, store} = this.#options;
    const expired = this.#chooseExpired(now);
    const jobKeys = expired.flatMap((job) => this.#listKeys(job));
    const expiredMarks = marks
      .listOlderThan(retentionMs, now)
      .slice(0, RETENTION_BATCH_KEYS - jobKeys.length);
    const markKeys = expiredMarks.map((id) => formatJobKey(id, 'cancel', ownership.cell));
    if (expired.length + expiredMarks.length === 0) {
      return;
    }
    const removed = await store.commit({
      compare: [createFencingCondition(ownership)],
      then: [...jobKeys, ...markKeys].map((key) => ({key, kind: 'delete' as const})),
    });
    if (removed.isErr()) {
      const {kind, message} = removed.error;
      events.record(OWNER_EVENTS.JOURNAL_FAILED, {kind, message, what: 'removal of old jobs'});
      return;
    }
    for (const {id} of expired) {
      fleet.jobs.delete(id);
      this.#endedAt.delete(id);
    }
    for (const id of expiredMarks) {
      marks.delete(id);
    }
    events.record(OWNER_EVENTS.JOBS_REMOVED, {
      jobs: expired.map(({id}) => id).join(' '),
      ...(expiredMarks.length > 0 ? {cancellations: expiredMarks.join(' ')} : {}),
    });
  }

  #chooseExpired(now: Instant): JobState[] {
    const {fleet, retentionMs} = this.#options;
    const expired: JobState[] = [];
    let keys = 0;
    for (const job of fleet.jobs.values()) {
      const knownEnd = this.#endedAt.get(job.id);
      const isKept = knownEnd !== undefined && now - knownEnd <= retentionMs;
      // Most jobs are kept ones, of which nothing else has to be looked at.
      if (isKept || !job.isFinal || fleet.dirtyJobs.has(job) || job.hasLiveRuns) {
        continue;
      }
      const endedAt = knownEnd ?? now;
      this.#endedAt.set(job.id, endedAt);
      const isOver = now - endedAt > retentionMs;
      keys += isOver ? this.#listKeys(job).length : 0;
      if (isOver && keys <= RETENTION_BATCH_KEYS) {
        expired.push(job);
      }
    }
    return expired;
  }

  /** Returns the keys of a job, with its place: one that is left would name a cell without the job. */
  #listKeys({id, request}: JobState): string[] {
    const {cell} = this.#options.ownership;
    const keys = PARTS.map((part) => formatJobKey(id, part, cell));
    return request.isPlaced === true ? [...keys, formatPlaceKey(id)] : keys;
  }
}
