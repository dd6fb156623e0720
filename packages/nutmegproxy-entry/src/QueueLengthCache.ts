/** The queue lengths that this VM read last, so that many calls cost one read. */

import type {Clock, Instant} from '@nutmegproxy/core';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {RevisionLog} from '@nutmegproxy/owner';
import {ok} from 'neverthrow';

import type {FleetDivision, StoreRetry} from './JobLookup.ts';
import type {KnownQueueLengths} from './QueueLengthReader.ts';

import {QUEUE_LENGTH_CACHE_MS} from './EntryConstants.ts';
import {readQueueLengths} from './QueueLengthReader.ts';

export interface QueueLengthCacheOptions {
  readonly clock: Clock;
  readonly division: () => FleetDivision;
  /** When this VM knew which revisions of the store; default: it learns them as it reads queue lengths. */
  readonly revisions?: RevisionLog;
  readonly store: PlatformStore;
}

/**
 * @example
 * const lengths = await cache.read(retry);
 */
export class QueueLengthCache {
  #last: {readonly lengths: KnownQueueLengths; readonly readAt: Instant} | undefined;
  readonly #options: QueueLengthCacheOptions;
  readonly #revisions: RevisionLog;

  constructor(options: QueueLengthCacheOptions) {
    this.#options = options;
    this.#revisions = options.revisions ?? new RevisionLog();
  }

  async read(retry: StoreRetry): Promise<Result<KnownQueueLengths, StoreFailure>> {
    const {clock, division, store} = this.#options;
    const ages = {clock, revisions: this.#revisions};
    const readAt = clock.monotonic();
    if (this.#last !== undefined && readAt - this.#last.readAt <= QUEUE_LENGTH_CACHE_MS) {
      return ok(this.#last.lengths);
    }
    const read = await retry(() => readQueueLengths(store, division().cells, ages));
    return read.andTee((lengths) => {
      this.#last = {lengths, readAt};
    });
  }
}
