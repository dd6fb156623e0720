/** Writes job progress to the store in batches, on the condition that this VM owns the fleet. */

import type {EventSink} from '@nutmegproxy/core';
import type {JobState} from '@nutmegproxy/jobs';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {encodeRecord, formatJobKey} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';

import type {FleetOwnership} from './FleetOwnership.ts';

import {
  JOURNAL_BATCH_JOBS,
  JOURNAL_DELAY_MS,
  JOURNAL_RETRY_MS,
  JOURNAL_URGENT_DELAY_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {createFencingCondition, isOwnedBy} from './OwnerUtils.ts';

export interface JournalOptions {
  /** Jobs with progress that is not stored yet; the journal removes a job when it writes it. */
  readonly dirtyJobs: Set<JobState>;
  readonly events: EventSink;
  /** Called when the store shows that another VM owns the fleet. */
  readonly onFenced: () => void;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class Journal {
  readonly #options: JournalOptions;
  #isWriting = false;
  #stopped = false;
  #wake: (() => void) | undefined;
  #waiters: (() => void)[] = [];

  constructor(options: JournalOptions) {
    this.#options = options;
  }

  /** Whether all progress is stored. */
  get isClean(): boolean {
    return this.#options.dirtyJobs.size === 0 && this.#waiters.length === 0 && !this.#isWriting;
  }

  /** Resolves once all progress made so far is stored; waits for as long as the store fails. */
  flush(): Promise<void> {
    if (this.isClean) {
      return Promise.resolve();
    }
    const promise = new Promise<void>((resolve) => {
      this.#waiters.push(resolve);
    });
    this.wake();
    return promise;
  }

  /** Writes until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.isClean) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
      await this.#collectProgress();
      if (this.#hasStopped()) {
        return;
      }
      const waiters = this.#waiters;
      this.#waiters = [];
      const jobs = [...this.#options.dirtyJobs];
      this.#options.dirtyJobs.clear();
      this.#isWriting = true;
      const isWritten = await this.#write(jobs);
      this.#isWriting = false;
      if (isWritten) {
        for (const resolve of waiters) {
          resolve();
        }
      } else {
        this.#waiters = [...waiters, ...this.#waiters];
        await delay(JOURNAL_RETRY_MS);
      }
    }
  }

  stop(): void {
    this.#stopped = true;
    this.wake();
  }

  /** Starts a write when there is unstored progress. */
  wake(): void {
    this.#wake?.();
    this.#wake = undefined;
  }

  /** Reads the flag again after a wait; the compiler takes its earlier value for constant. */
  #hasStopped(): boolean {
    return this.#stopped;
  }

  /**
   * Writes a batch on the condition that its jobs' records have not changed since their last known
   * write: a write without a response may be carried out seconds later and must not replace newer
   * progress.
   */
  async #commit(batch: readonly JobState[]): Promise<boolean> {
    const {events, ownership, store} = this.#options;
    const written = await store.commit({
      compare: [
        createFencingCondition(ownership),
        ...batch.map(({id, progressRevision}) => ({
          key: formatJobKey(id, 'progress', ownership.cell),
          kind: 'modRevision' as const,
          modRevision: progressRevision,
        })),
      ],
      then: batch.map((job) => ({
        key: formatJobKey(job.id, 'progress', ownership.cell),
        kind: 'put' as const,
        value: encodeRecord(job.exportProgress()),
      })),
    });
    if (written.isErr()) {
      const {kind, message} = written.error;
      events.record(OWNER_EVENTS.JOURNAL_FAILED, {jobs: batch.length, kind, message});
      return false;
    }
    if (!written.value.succeeded) {
      await this.#refreshRevisions(batch);
      return false;
    }
    for (const job of batch) {
      job.progressRevision = written.value.revision;
    }
    events.record(OWNER_EVENTS.JOURNAL_WRITTEN, {
      jobs: batch.map(({id, status}) => `${id}:${status}`).join(' '),
      revision: written.value.revision,
    });
    return true;
  }

  /** Determines why a condition failed: another owner, or a delayed write of this one. */
  async #refreshRevisions(batch: readonly JobState[]): Promise<void> {
    const {onFenced, ownership, store} = this.#options;
    const owned = await isOwnedBy(store, ownership);
    if (owned.isOk() && !owned.value) {
      this.#stopped = true;
      onFenced();
      return;
    }
    for (const job of batch) {
      const stored = await getKey(store, formatJobKey(job.id, 'progress', ownership.cell));
      if (stored.isOk()) {
        job.progressRevision = stored.value?.modRevision ?? 0;
      }
    }
  }

  /** Waits for more progress for the same write; waits less once a job has ended. */
  async #collectProgress(): Promise<void> {
    for (let waitedMs = 0; waitedMs < JOURNAL_DELAY_MS; waitedMs += JOURNAL_URGENT_DELAY_MS) {
      await delay(JOURNAL_URGENT_DELAY_MS);
      if ([...this.#options.dirtyJobs].some((job) => job.isFinal)) {
        return;
      }
    }
  }

  /** Writes all jobs; returns those to `dirtyJobs` that could not be written. */
  async #write(jobs: readonly JobState[]): Promise<boolean> {
    for (let start = 0; start < jobs.length; start += JOURNAL_BATCH_JOBS) {
      if (!(await this.#commit(jobs.slice(start, start + JOURNAL_BATCH_JOBS)))) {
        for (const job of jobs.slice(start)) {
          this.#options.dirtyJobs.add(job);
        }
        return false;
      }
    }
    return true;
  }
}
