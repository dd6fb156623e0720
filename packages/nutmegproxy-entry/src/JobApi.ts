/** The operations that an entry VM offers to callers: submit a job, read its status, cancel it. */

import type {Clock, EventSink, JobId, RequestId} from '@nutmegproxy/core';
import type {CellIndex, JobRequest, JobStatus, QueueId, StoredJob} from '@nutmegproxy/jobs';
import type {RevisionLog} from '@nutmegproxy/owner';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {QueueRoute} from './Configuration.ts';
import type {FleetDivision, FoundRequest, StoreRetry} from './JobLookup.ts';
import type {JobHome} from './JobTransactions.ts';
import type {StoreHealth} from './StoreHealth.ts';

import {CellRouter} from './CellRouter.ts';
import {MAX_CANCEL_ATTEMPTS, MIN_RETRY_AFTER_MS, RETRY_AFTER_JITTER_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';
import {JobLookup} from './JobLookup.ts';
import {createCancellation, createEarlyCancellation, createSubmission} from './JobTransactions.ts';
import {QueueLengthCache} from './QueueLengthCache.ts';
import {chooseRetryAfter} from './RetryAfter.ts';
import {retryStoreCall} from './StoreRetries.ts';

/** `not-run`: the call had and will have no effect. `unknown`: the call may have taken effect. */
export interface Refusal {
  /** Whether each VM would refuse the call, so that it need not be forwarded. */
  readonly isByAll?: true;
  readonly kind: 'not-run' | 'unknown';
  readonly reason: string;
  readonly retryAfterMs: number;
}

export interface JobApiOptions {
  readonly clock: Clock;
  /** Returns into how many cells the fleet is divided; default: one. */
  readonly division?: () => FleetDivision;
  readonly events: EventSink;
  readonly health: StoreHealth;
  /** A number from 0 to 1. */
  readonly random: () => number;
  /** When this VM knew which revisions of the store; default: it learns them as it reads queue lengths. */
  readonly revisions?: RevisionLog;
  readonly store: PlatformStore;
}

/** The parts of a caller's request that all operations share. */
export interface CallContext {
  readonly requestId: RequestId;
  /** Time in milliseconds that the caller waits for the response; undefined when not given. */
  readonly timeoutMs: number | undefined;
}

const UNDIVIDED: FleetDivision = {cells: 1, hasPlaces: false};

export class JobApi {
  readonly #lookup: JobLookup;
  readonly #options: JobApiOptions;
  readonly #router: CellRouter;
  readonly #queueLengths: QueueLengthCache;

  constructor(options: JobApiOptions) {
    this.#options = options;
    const division = (): FleetDivision => this.#division;
    this.#lookup = new JobLookup({...options, division});
    this.#queueLengths = new QueueLengthCache({...options, division});
    this.#router = new CellRouter({...options, cells: () => this.#division.cells});
  }

  get #division(): FleetDivision {
    return this.#options.division?.() ?? UNDIVIDED;
  }

  /**
   * Cancels a job; returns false when the queue has no such job. A submission that is still under way does not store
   * it after that.
   */
  async cancel(route: QueueRoute, id: JobId, call: CallContext): Promise<Result<boolean, Refusal>> {
    const {events, store} = this.#options;
    const retry = this.#createRetry(call);
    const fail = (failure: StoreFailure): Result<boolean, Refusal> =>
      err(this.#refuseAfterFailure(call, failure, {job: id, what: 'cancel'}));
    for (let attempt = 1; attempt <= MAX_CANCEL_ATTEMPTS; attempt += 1) {
      const read = await this.#lookup.findRequest(id, retry);
      if (read.isErr()) {
        return fail(read.error);
      }
      const found = read.value;
      if (typeof found === 'object') {
        return found.queue === route.id ? this.#cancelStored(id, found, call) : ok(false);
      }
      if (found === 'cancelled-early') {
        return ok(false);
      }
      const cancellation = createEarlyCancellation(id, this.#findHome(id), call.requestId);
      const written = await retry(() => store.commit(cancellation));
      if (written.isErr()) {
        return fail(written.error);
      }
      const {revision, succeeded} = written.value;
      if (succeeded) {
        events.record(ENTRY_EVENTS.CANCELLED_EARLY, {job: id, request: call.requestId, revision});
        return ok(false);
      }
      // The job has been stored since the read.
    }
    return fail({kind: 'unknown', message: 'the job is being stored or removed'});
  }

  /**
   * Returns the number of accepted jobs of the queue that have not started, which may be some seconds old. Refuses at
   * once while the owner does not say how many they are, as after a takeover: callers would hear too few.
   */
  async countQueued(queue: QueueId, call: CallContext): Promise<Result<number, Refusal>> {
    const fields = {queue, what: 'count'};
    const read = await this.#queueLengths.read(this.#createRetry(call));
    if (read.isErr()) {
      return err(this.#refuseAfterFailure(call, read.error, fields));
    }
    if (read.value === 'outdated') {
      const retryAfterMs = MIN_RETRY_AFTER_MS + this.#options.random() * RETRY_AFTER_JITTER_MS;
      const refusal = this.refuse(call, 'the queue lengths are outdated', fields, retryAfterMs);
      return err({...refusal, isByAll: true});
    }
    return ok(read.value[queue] ?? 0);
  }

  /** Refuses a call without a call to the store, for instance because there is no configuration. */
  refuse(
    call: CallContext,
    reason: string,
    fields: Readonly<Record<string, string>> = {},
    retryAfterMs = this.#chooseRetryAfter(),
  ): Refusal {
    const {events} = this.#options;
    events.record(ENTRY_EVENTS.CALL_REFUSED, {
      ...fields,
      kind: 'not-run',
      reason,
      request: call.requestId,
      retryAfterMs,
    });
    return {kind: 'not-run', reason, retryAfterMs};
  }

  /** Returns the status of a job; undefined when the queue has no such job. */
  async readStatus(
    route: QueueRoute,
    id: JobId,
    call: CallContext,
  ): Promise<Result<JobStatus | undefined, Refusal>> {
    const {events} = this.#options;
    const summary = await this.#lookup.readStatus(id, this.#createRetry(call));
    if (summary.isErr()) {
      return err(this.#refuseAfterFailure(call, summary.error, {job: id, what: 'status'}));
    }
    if (summary.value?.queue !== route.id) {
      return ok(undefined);
    }
    events.record(ENTRY_EVENTS.JOB_STATUS_RETURNED, {
      job: id,
      request: call.requestId,
      revision: summary.value.revision,
      status: summary.value.status,
    });
    return ok(summary.value.status);
  }

  /** Stores a job; the job is accepted when this resolves without a refusal. */
  async submit(
    route: QueueRoute,
    request: JobRequest,
    call: CallContext,
  ): Promise<Result<void, Refusal>> {
    const {clock, events, store} = this.#options;
    const job: StoredJob = {
      ...request,
      acceptedAt: clock.wall(),
      queue: route.id,
      queuePolicy: {
        ...(route.advice !== undefined && {advice: route.advice}),
        maxAttempts: route.maxAttempts,
      },
      service: route.service,
    };
    const cell = await this.#chooseCell(job);
    const transaction = createSubmission(job, cell, this.#findHome(job.id));
    const written = await this.#createRetry(call)(() => store.commit(transaction));
    if (written.isErr()) {
      return err(this.#refuseAfterFailure(call, written.error, {job: job.id, what: 'submit'}));
    }
    const {revision, succeeded} = written.value;
    if (!succeeded) {
      const refusal = await this.#checkStored(job.id, call);
      if (refusal !== undefined) {
        return err(refusal);
      }
    }
    events.record(succeeded ? ENTRY_EVENTS.JOB_ACCEPTED : ENTRY_EVENTS.JOB_ALREADY_STORED, {
      ...(succeeded && this.#division.hasPlaces ? {cell} : {}),
      job: job.id,
      queue: route.id,
      request: call.requestId,
      revision,
      steps: job.steps.length,
    });
    return ok(undefined);
  }

  async #chooseCell(job: StoredJob): Promise<CellIndex> {
    const {clock, health} = this.#options;
    return this.#division.hasPlaces && health.isAvailable(clock.monotonic())
      ? this.#router.choose(job)
      : this.#lookup.findHome(job.id);
  }

  async #cancelStored(
    id: JobId,
    {cell, isCancelled, revision}: FoundRequest,
    call: CallContext,
  ): Promise<Result<boolean, Refusal>> {
    const {events, store} = this.#options;
    if (!isCancelled) {
      const cancellation = createCancellation(id, cell, call.requestId);
      const written = await this.#createRetry(call)(() => store.commit(cancellation));
      if (written.isErr()) {
        return err(this.#refuseAfterFailure(call, written.error, {job: id, what: 'cancel'}));
      }
    }
    events.record(ENTRY_EVENTS.CANCEL_ACCEPTED, {job: id, request: call.requestId, revision});
    return ok(true);
  }

  /** Returns why a job was not stored; undefined when it is stored already. */
  async #checkStored(id: JobId, call: CallContext): Promise<Refusal | undefined> {
    const read = await this.#lookup.findRequest(id, this.#createRetry(call));
    if (read.isOk() && read.value === 'cancelled-early') {
      const refusal = this.refuse(call, 'the job was cancelled before it was stored', {job: id});
      return {...refusal, isByAll: true};
    }
    if (read.isOk() && read.value !== undefined) {
      return undefined;
    }
    // It may have been accepted before.
    const message = read.isErr() ? read.error.message : 'the job has been removed';
    return this.#refuseAfterFailure(call, {kind: 'unknown', message}, {job: id, what: 'submit'});
  }

  #findHome(id: JobId): JobHome {
    return {cell: this.#lookup.findHome(id), hasPlaces: this.#division.hasPlaces};
  }

  #createRetry(call: CallContext): StoreRetry {
    return (attempt) => retryStoreCall(attempt, this.#options, call.timeoutMs);
  }

  #chooseRetryAfter(): number {
    const {clock, health, random} = this.#options;
    return chooseRetryAfter(health.getOutageMs(clock.monotonic()), random());
  }

  #refuseAfterFailure(
    call: CallContext,
    failure: StoreFailure,
    fields: Readonly<Record<string, string>>,
  ): Refusal {
    const {events} = this.#options;
    const kind = failure.kind === 'unknown' ? 'unknown' : 'not-run';
    const retryAfterMs = this.#chooseRetryAfter();
    events.record(ENTRY_EVENTS.CALL_REFUSED, {
      ...fields,
      kind,
      reason: failure.message,
      request: call.requestId,
      retryAfterMs,
    });
    return {kind, reason: 'the store does not answer', retryAfterMs};
  }
}
