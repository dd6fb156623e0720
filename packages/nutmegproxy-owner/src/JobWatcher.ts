/** Watches jobs, cancellations and the owner's key in the store. */

import type {Clock, EventSink, JobId, WorkQueue} from '@nutmegproxy/core';
import type {JobProgress, StoredJob} from '@nutmegproxy/jobs';
import type {Fleet} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoredValue, StoreFailure, Watch, WatchEvent} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {
  decodeJob,
  decodeProgress,
  formatFleetPrefix,
  formatOwnerKey,
  formatProgressPrefix,
  JobState,
  parseJobKey,
} from '@nutmegproxy/jobs';
import {describeJobs} from '@nutmegproxy/scheduling';
import {getPrefix} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {CancellationMarks} from './CancellationMarks.ts';
import type {FleetOwnership} from './FleetOwnership.ts';

import {STORE_RETRY_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface JobWatcherOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly marks: CancellationMarks;
  readonly onChange: () => void;
  /** Called when the store shows that another VM owns the fleet. */
  readonly onFenced: () => void;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
  readonly work: WorkQueue;
}

export class JobWatcher {
  readonly #options: JobWatcherOptions;
  readonly #ownerKey: string;
  #stopped = false;
  #watch: undefined | Watch;

  constructor(options: JobWatcherOptions) {
    this.#options = options;
    this.#ownerKey = formatOwnerKey(options.ownership.cell);
  }

  close(): void {
    this.#stopped = true;
    this.#watch?.close();
  }

  /** Closes the watch until the next start. */
  pause(): void {
    this.#watch?.close();
  }

  /** Reads all jobs and then watches for changes; returns an error when the jobs can't be read. */
  async start(): Promise<Result<void, StoreFailure>> {
    const {onChange, ownership, store, work} = this.#options;
    const fleetPrefix = formatFleetPrefix(ownership.cell);
    const [snapshot, progress] = await Promise.all([
      getPrefix(store, fleetPrefix),
      getPrefix(store, formatProgressPrefix(ownership.cell)),
    ]);
    if (snapshot.isErr()) {
      return err(snapshot.error);
    }
    if (progress.isErr()) {
      return err(progress.error);
    }
    const {revision, values} = snapshot.value;
    await this.#applySnapshot([...values, ...progress.value.values]);
    if (!this.#stopped) {
      this.#watch = store.watch(fleetPrefix, revision + 1, {
        onBroken: (failure) => {
          void this.#restart(failure);
        },
        onEvents: (events) => {
          // No work may keep this owner from learning that another one has replaced it.
          for (const event of events.filter((each) => this.#isOwnerChange(each))) {
            this.#checkOwner(event);
          }
          for (const event of events.filter((each) => !this.#isOwnerChange(each))) {
            void work.run('jobs', () => {
              this.#applyEvent(event);
              onChange();
            });
          }
        },
      });
    }
    onChange();
    return ok(undefined);
  }

  /** Adds a job; returns undefined if it is known already or its record is malformed. */
  #addJob(stored: StoredValue, progress?: JobProgress, progressRevision = 0): JobState | undefined {
    const {clock, fleet, ownership} = this.#options;
    const request = this.#decode(stored, decodeJob);
    if (request === undefined || fleet.jobs.has(request.id)) {
      return undefined;
    }
    const job = new JobState(request, stored.createRevision, progress);
    job.progressRevision = progressRevision;
    if (job.revision < ownership.token) {
      const revision = Math.max(job.revision, progressRevision);
      job.heldSince = ownership.ages.findSeenAt(revision, clock.monotonic());
    }
    fleet.jobs.set(job.id, job);
    return job;
  }

  #applyEvent(event: WatchEvent): void {
    const {marks} = this.#options;
    const parsed = parseJobKey(findKey(event));
    if (parsed === undefined || event.kind !== 'put') {
      return;
    }
    if (parsed.part === 'request') {
      const job = this.#addJob(event.stored);
      if (job !== undefined) {
        this.#recordDiscovery(job, event.stored.modRevision);
      }
      if (marks.has(parsed.id)) {
        // A VM of an earlier version stores a job although it was cancelled before.
        this.#cancel(parsed.id);
      }
    } else if (parsed.part === 'cancel') {
      this.#cancel(parsed.id);
    }
  }

  /** Ends the term if an event shows that another VM owns the fleet. */
  #checkOwner(event: WatchEvent): void {
    const {onFenced, ownership} = this.#options;
    const revision = event.kind === 'put' ? event.stored.modRevision : event.modRevision;
    if (revision > ownership.token) {
      onFenced();
    }
  }

  async #applySnapshot(values: readonly StoredValue[]): Promise<void> {
    const {events, onFenced, ownership, work} = this.#options;
    const owner = values.find(({key}) => key === this.#ownerKey);
    if (owner?.modRevision !== ownership.token) {
      onFenced();
      return;
    }
    const parts = values.map((stored) => ({parsed: parseJobKey(stored.key), stored}));
    const progress = new Map<string, JobProgress>();
    const revisions = new Map<string, number>();
    await work.forEach('jobs', parts, ({parsed, stored}) => {
      const record = parsed?.part === 'progress' ? this.#decode(stored, decodeProgress) : undefined;
      if (parsed !== undefined && record !== undefined) {
        progress.set(parsed.id, record);
        revisions.set(parsed.id, stored.modRevision);
      }
    });
    const added: JobState[] = [];
    await work.forEach('jobs', parts, ({parsed, stored}) => {
      if (parsed?.part === 'request') {
        const job = this.#addJob(stored, progress.get(parsed.id), revisions.get(parsed.id));
        added.push(...(job === undefined ? [] : [job]));
      }
    });
    // A line for each job would use up the log's allowance at the start of a term.
    for (const fields of describeJobs(added)) {
      events.record(OWNER_EVENTS.JOBS_READ, {...fields, fence: ownership.token});
    }
    for (const {parsed} of parts) {
      if (parsed?.part === 'cancel') {
        this.#cancel(parsed.id);
      }
    }
  }

  /** Cancels a job, or remembers that it must not run if it is not stored. */
  #cancel(id: JobId): void {
    const {clock, fleet, marks} = this.#options;
    const job = fleet.jobs.get(id);
    if (job === undefined) {
      marks.add(id, clock.monotonic());
    } else {
      marks.delete(id);
      fleet.cancelJob(job);
    }
  }

  #decode<Value extends JobProgress | StoredJob>(
    stored: StoredValue,
    decode: (value: Buffer) => Result<Value, string>,
  ): undefined | Value {
    return decode(stored.value).match(
      (value): undefined | Value => value,
      (message) => {
        const fields = {key: stored.key, message, revision: stored.modRevision};
        this.#options.events.record(OWNER_EVENTS.RECORD_MALFORMED, fields);
        return undefined;
      },
    );
  }

  /** Whether an event is about the key of the ownership. */
  #isOwnerChange(event: WatchEvent): boolean {
    return findKey(event) === this.#ownerKey;
  }

  #recordDiscovery(job: JobState, revision: number): void {
    const {clock, events} = this.#options;
    const {acceptedAt, queue, steps} = job.request;
    events.record(OWNER_EVENTS.JOB_DISCOVERED, {
      acceptedAgoMs: Math.round(clock.wall() - acceptedAt),
      job: job.id,
      queue,
      revision,
      status: job.status,
      steps: steps.length,
    });
  }

  /** Reads all jobs again after the watch has lost events. */
  async #restart(failure: StoreFailure): Promise<void> {
    const {events} = this.#options;
    this.#watch?.close();
    events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message: failure.message, what: 'jobs'});
    while (!this.#stopped) {
      const started = await this.start();
      if (started.isOk()) {
        return;
      }
      await delay(STORE_RETRY_MS);
    }
  }
}

function findKey(event: WatchEvent): string {
  return event.kind === 'put' ? event.stored.key : event.key;
}
