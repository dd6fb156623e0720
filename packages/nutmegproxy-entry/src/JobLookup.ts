/** Finds the records of a job: in its home cell first, then in the cell that its place names. */

import type {EventSink, JobId} from '@nutmegproxy/core';
import type {CellIndex, JobStatus, QueueId} from '@nutmegproxy/jobs';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {
  decodePlace,
  decodeProgress,
  findJobCell,
  formatJobKey,
  formatJobPrefix,
  formatPlaceKey,
} from '@nutmegproxy/jobs';
import {getKey, getPrefix} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import {MAX_REPORTED_PLACES} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';
import {decodeRecords} from './JobRequestRecords.ts';

/** Into how many cells the fleet is divided, and whether jobs may be in another cell than their home. */
export interface FleetDivision {
  readonly cells: number;
  readonly hasPlaces: boolean;
}

/** Calls the store again after a failure, within the time of the caller. */
export type StoreRetry = <Value>(
  attempt: () => PromiseLike<Result<Value, StoreFailure>>,
) => Promise<Result<Value, StoreFailure>>;

/** What callers may read of a job. */
export interface JobSummary {
  readonly queue: QueueId;
  /** Revision of the stored progress; undefined while there is none. */
  readonly revision: number | undefined;
  readonly status: JobStatus;
}

/** A job's request. */
export interface FoundRequest {
  readonly cell: CellIndex;
  readonly isCancelled: boolean;
  readonly queue: QueueId;
  /** Revision of the store at which it was read. */
  readonly revision: number;
}

/** `cancelled-early`: there is no such job, and it was cancelled, so that none is stored any more. */
export type RequestLookup = 'cancelled-early' | FoundRequest | undefined;

export interface JobLookupOptions {
  readonly division: () => FleetDivision;
  readonly events: EventSink;
  readonly store: PlatformStore;
}

export class JobLookup {
  readonly #options: JobLookupOptions;
  /** Places that were reported as malformed, with their revisions. */
  readonly #reported = new Set<string>();

  constructor(options: JobLookupOptions) {
    this.#options = options;
  }

  findHome(id: JobId): CellIndex {
    return findJobCell(id, this.#options.division().cells);
  }

  /** Returns a job's request; undefined when there is no such job. */
  async findRequest(id: JobId, retry: StoreRetry): Promise<Result<RequestLookup, StoreFailure>> {
    const found = await this.#readRequest(id, this.findHome(id), retry);
    if (found.isErr() || typeof found.value === 'object') {
      return found;
    }
    const placed = await this.#findPlaced(id, retry, (cell) => this.#readRequest(id, cell, retry));
    return placed.map((request) => request ?? found.value);
  }

  /** Returns the state of a job; undefined when there is no such job. */
  async readStatus(
    id: JobId,
    retry: StoreRetry,
  ): Promise<Result<JobSummary | undefined, StoreFailure>> {
    const found = await this.#readSummary(id, this.findHome(id), retry);
    return found.isErr() || found.value !== undefined
      ? found
      : this.#findPlaced(id, retry, (cell) => this.#readSummary(id, cell, retry));
  }

  /** Returns the cell that the place of a job names; undefined without one. A malformed one is reported once. */
  async readPlace(
    id: JobId,
    retry: StoreRetry,
  ): Promise<Result<CellIndex | undefined, StoreFailure>> {
    const {division, store} = this.#options;
    const read = await retry(() => getKey(store, formatPlaceKey(id)));
    return read.andThen((place) =>
      place === undefined
        ? ok(undefined)
        : decodePlace(place.value, division().cells).mapErr((message) =>
            this.#reportPlace(place.key, message, place.modRevision),
          ),
    );
  }

  /** Looks for a job that its home does not have in the cell that its place names. */
  async #findPlaced<Found>(
    id: JobId,
    retry: StoreRetry,
    read: (cell: CellIndex) => Promise<Result<Found | undefined, StoreFailure>>,
  ): Promise<Result<Found | undefined, StoreFailure>> {
    if (!this.#options.division().hasPlaces) {
      return ok(undefined);
    }
    const place = await this.readPlace(id, retry);
    if (place.isErr() || place.value === undefined) {
      return place.map(() => undefined);
    }
    const found = await read(place.value);
    if (found.isErr() || found.value !== undefined) {
      return found;
    }
    // A job that has been removed meanwhile has no place any more.
    const after = await this.readPlace(id, retry);
    return after.andThen((cell) =>
      cell === undefined
        ? ok(undefined)
        : err(this.#reportPlace(formatPlaceKey(id), `cell ${cell} has no such job`, 0)),
    );
  }

  async #readRequest(
    id: JobId,
    cell: CellIndex,
    retry: StoreRetry,
  ): Promise<Result<RequestLookup, StoreFailure>> {
    const {store} = this.#options;
    const read = await retry(() => getPrefix(store, formatJobPrefix(id, cell)));
    return read.map(({revision, values}) => {
      const {hasRequest, isCancelled, queue} = decodeRecords(values);
      if (queue !== undefined) {
        return {cell, isCancelled, queue, revision};
      }
      return isCancelled && !hasRequest ? 'cancelled-early' : undefined;
    });
  }

  async #readSummary(
    id: JobId,
    cell: CellIndex,
    retry: StoreRetry,
  ): Promise<Result<JobSummary | undefined, StoreFailure>> {
    const {store} = this.#options;
    const progress = await retry(() => getKey(store, formatJobKey(id, 'progress', cell)));
    if (progress.isErr()) {
      return err(progress.error);
    }
    const revision = progress.value?.modRevision;
    // A record that can't be decoded is ignored: the owner reports it and writes it again.
    const reported = progress.value && decodeProgress(progress.value.value).unwrapOr(undefined);
    if (reported !== undefined) {
      return ok({queue: reported.queue, revision, status: reported.status});
    }
    // The owner has not written any progress yet.
    const request = await this.#readRequest(id, cell, retry);
    return request.map((found) =>
      typeof found === 'object'
        ? {queue: found.queue, revision, status: found.isCancelled ? 'cancelled' : 'queued'}
        : undefined,
    );
  }

  #reportPlace(key: string, message: string, revision: number): StoreFailure {
    const {events} = this.#options;
    const name = `${key} ${revision}`;
    if (!this.#reported.has(name)) {
      if (this.#reported.size >= MAX_REPORTED_PLACES) {
        this.#reported.clear();
      }
      this.#reported.add(name);
      events.record(ENTRY_EVENTS.PLACE_MALFORMED, {key, message, revision});
    }
    return {kind: 'rejected', message: `${key}: ${message}`};
  }
}
