/** Commits operations on many keys in one store call, each with conditions of its own. */

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

import type {KeyPace} from './KeyPace.ts';

import {KEY_NOTE_DELAY_MS, KEYS_PER_CALL} from './RequestsConstants.ts';

/** A transaction that touches one key only. */
export interface KeyWrite {
  readonly key: string;
  readonly transaction: Transaction;
}

type WriteResult = Result<TransactionResponse, StoreFailure>;

interface PendingWrite extends KeyWrite {
  readonly settle: (result: WriteResult) => void;
}

/**
 * One call runs at a time; what comes meanwhile goes with the next one, so that groups grow with
 * the load. Notes wait a little, or go with the next group that has room.
 */
export class KeyCommitter {
  readonly #clock: Clock;
  #notes: PendingWrite[] = [];
  #noteTimer: NodeJS.Timeout | undefined;
  readonly #pace: KeyPace;
  #running = false;
  readonly #store: PlatformStore;
  #urgent: PendingWrite[] = [];

  constructor(store: PlatformStore, pace: KeyPace, clock: Clock) {
    this.#clock = clock;
    this.#pace = pace;
    this.#store = store;
  }

  /** Writes that wait or run. */
  get size(): number {
    return this.#urgent.length + this.#notes.length + (this.#running ? 1 : 0);
  }

  /** Commits soon. */
  commit(write: KeyWrite): Promise<WriteResult> {
    return new Promise((resolve) => {
      this.#urgent.push({...write, settle: resolve});
      this.flush();
    });
  }

  /** Sends what waits without further delay. */
  flush(): void {
    clearTimeout(this.#noteTimer);
    this.#noteTimer = undefined;
    if (!this.#running && this.size > 0) {
      this.#running = true;
      void this.#run();
    }
  }

  /** Commits with the next group, or after a short delay. */
  note(write: KeyWrite): Promise<WriteResult> {
    return new Promise((resolve) => {
      this.#notes.push({...write, settle: resolve});
      this.#scheduleNotes();
    });
  }

  async #commitGroup(group: readonly PendingWrite[]): Promise<void> {
    const then = group.map(({transaction}) => ({kind: 'transaction' as const, transaction}));
    const result = await this.#store.commit({compare: [], then});
    group.forEach(({settle}, index) => {
      const answer = result.isOk() ? result.value.responses[index] : undefined;
      if (answer?.kind === 'transaction') {
        settle(ok(answer.response));
        return;
      }
      const missing: StoreFailure = {kind: 'unknown', message: 'the store’s answer is incomplete'};
      settle(err(result.isErr() ? result.error : missing));
    });
  }

  async #run(): Promise<void> {
    do {
      await sleep(this.#pace.spend(this.#clock.monotonic()));
      await this.#commitGroup(this.#takeGroup());
    } while (this.#urgent.length > 0);
    this.#running = false;
    this.#scheduleNotes();
  }

  #scheduleNotes(): void {
    if (this.#running || this.#notes.length === 0) {
      return;
    }
    this.#noteTimer ??= setTimeout(() => {
      this.flush();
    }, KEY_NOTE_DELAY_MS).unref();
  }

  /** A call may name a key only once; repeated keys wait for the next call. */
  #takeGroup(): PendingWrite[] {
    const group = new Map<string, PendingWrite>();
    const takeFrom = (writes: readonly PendingWrite[]): PendingWrite[] =>
      writes.filter((write) => {
        if (group.size >= KEYS_PER_CALL || group.has(write.key)) {
          return true;
        }
        group.set(write.key, write);
        return false;
      });
    this.#urgent = takeFrom(this.#urgent);
    this.#notes = takeFrom(this.#notes);
    return [...group.values()];
  }
}
