/** Batches writes of many keys into one store call, each with its own conditions. */

import type {Clock} from '@nutmegproxy/core';
import type {
  PlatformStore,
  StoreFailure,
  Transaction,
  TransactionResponse,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';
import {setTimeout as sleep} from 'node:timers/promises';

import type {KeyRateLimiter} from './KeyRateLimiter.ts';

import {DEFERRED_KEY_WRITE_DELAY_MS, MAX_KEYS_PER_STORE_CALL} from './RequestsConstants.ts';

/** A transaction on a single key. */
export interface KeyWrite {
  readonly key: string;
  readonly transaction: Transaction;
}

type WriteResult = Result<TransactionResponse, StoreFailure>;

interface PendingWrite extends KeyWrite {
  readonly settle: (result: WriteResult) => void;
}

/**
 * One store call runs at a time; writes that arrive meanwhile join the next batch, so batches grow
 * with the load. Deferred writes wait for a short delay, or join the next batch with free capacity.
 */
export class KeyCommitter {
  readonly #clock: Clock;
  #deferred: PendingWrite[] = [];
  #flushTimer: NodeJS.Timeout | undefined;
  #immediate: PendingWrite[] = [];
  #isRunning = false;
  readonly #rateLimiter: KeyRateLimiter;
  readonly #store: PlatformStore;

  constructor(store: PlatformStore, rateLimiter: KeyRateLimiter, clock: Clock) {
    this.#clock = clock;
    this.#rateLimiter = rateLimiter;
    this.#store = store;
  }

  /** Number of pending writes; the running batch counts as one. */
  get pendingCount(): number {
    return this.#immediate.length + this.#deferred.length + (this.#isRunning ? 1 : 0);
  }

  /** Commits with the next batch. */
  commit(write: KeyWrite): Promise<WriteResult> {
    return new Promise((resolve) => {
      this.#immediate.push({...write, settle: resolve});
      this.flush();
    });
  }

  /** Commits pending writes without further delay. */
  flush(): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    if (!this.#isRunning && this.pendingCount > 0) {
      this.#isRunning = true;
      void this.#run();
    }
  }

  /** Commits with the next batch that has free capacity, or after a short delay. */
  commitDeferred(write: KeyWrite): Promise<WriteResult> {
    return new Promise((resolve) => {
      this.#deferred.push({...write, settle: resolve});
      this.#scheduleDeferred();
    });
  }

  async #commitBatch(batch: readonly PendingWrite[]): Promise<void> {
    const then = batch.map(({transaction}) => ({kind: 'transaction' as const, transaction}));
    const result = await this.#store.commit({compare: [], then});
    batch.forEach(({settle}, index) => {
      const response = result.isOk() ? result.value.responses[index] : undefined;
      if (response?.kind === 'transaction') {
        settle(ok(response.response));
        return;
      }
      const incompleteFailure: StoreFailure = {
        kind: 'unknown',
        message: 'the store’s response is incomplete',
      };
      settle(err(result.isErr() ? result.error : incompleteFailure));
    });
  }

  async #run(): Promise<void> {
    do {
      await sleep(this.#rateLimiter.reserve(this.#clock.monotonic()));
      await this.#commitBatch(this.#takeBatch());
    } while (this.#immediate.length > 0);
    this.#isRunning = false;
    this.#scheduleDeferred();
  }

  #scheduleDeferred(): void {
    if (this.#isRunning || this.#deferred.length === 0) {
      return;
    }
    this.#flushTimer ??= setTimeout(() => {
      this.flush();
    }, DEFERRED_KEY_WRITE_DELAY_MS).unref();
  }

  /** A store call may contain a key only once; further writes of a key wait for the next call. */
  #takeBatch(): PendingWrite[] {
    const batch = new Map<string, PendingWrite>();
    const fillBatch = (writes: readonly PendingWrite[]): PendingWrite[] =>
      writes.filter((write) => {
        if (batch.size >= MAX_KEYS_PER_STORE_CALL || batch.has(write.key)) {
          return true;
        }
        batch.set(write.key, write);
        return false;
      });
    this.#immediate = fillBatch(this.#immediate);
    this.#deferred = fillBatch(this.#deferred);
    return [...batch.values()];
  }
}
