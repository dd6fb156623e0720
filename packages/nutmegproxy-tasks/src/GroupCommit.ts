/**
 * Group commit for the changes of all cells of this VM. It sends one store transaction at a time,
 * in which each item is a nested transaction with its own conditions, so that a failed condition of
 * one cell does not affect the others.
 */

import type {EntryNode, Instant} from '@nutmegproxy/core';
import type {
  Comparison,
  Operation,
  PlatformStore,
  StoredValue,
  TransactionResponse,
} from '@nutmegproxy/store';

import {Counter, Histogram} from 'prom-client';

import {sleep} from './AsyncUtils.ts';
import {
  COMMIT_RETRY_MS,
  MAX_COMMIT_BYTES,
  MAX_COMMIT_INTERVAL_MS,
  MAX_ITEMS_PER_COMMIT,
  MAX_WAITING_ITEMS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/**
 * Outcome of an item. `refused`: a condition failed, or the store rejected the write.
 * `unavailable`: the item has had no effect and never will.
 */
export type CommitOutcome =
  | {readonly found: readonly (StoredValue | undefined)[]; readonly kind: 'refused'}
  | {readonly kind: 'committed'}
  | {readonly kind: 'unavailable'};

/**
 * A change with its conditions. One of them must fail when the item is committed again after it
 * took effect, so that retries are safe.
 */
export interface CommitItem {
  readonly compare: readonly Comparison[];
  /** Settles as unavailable instead of being retried when the store can't be reached. */
  readonly failFast: boolean;
  /** Keys that are read when a condition fails; the `refused` outcome contains their values. */
  readonly readBack: readonly string[];
  readonly sizeBytes: number;
  readonly then: readonly Operation[];
}

interface WaitingItem extends CommitItem {
  /** An earlier commit may have taken effect, so the item can no longer settle as unavailable. */
  mayBeCommitted: boolean;
  readonly settle: (outcome: CommitOutcome) => void;
}

/** Keys written by an item. The store rejects two writes of one key in one transaction. */
function getWrittenKeys(item: CommitItem): string[] {
  return item.then.flatMap((operation) => (operation.kind === 'put' ? [operation.key] : []));
}

function toOutcome(response: TransactionResponse, item: CommitItem): CommitOutcome {
  if (response.succeeded) {
    return {kind: 'committed'};
  }
  const found = item.readBack.map((_, index) => {
    const each = response.responses[index];
    return each?.kind === 'get' ? each.values[0] : undefined;
  });
  return {found, kind: 'refused'};
}

/** Sends one commit at a time; the interval adapts to the store's response time. */
export class GroupCommit {
  #batchLimit = MAX_ITEMS_PER_COMMIT;
  #isClosed = false;
  readonly #duration: Histogram;
  #isStoreHealthy = true;
  #idle: Promise<void> = Promise.resolve();
  readonly #intervalMs: () => number;
  readonly #items: Counter;
  #lastCommitAt: Instant | undefined;
  readonly #node: EntryNode;
  readonly #retryMs: number;
  #isRunning = false;
  readonly #store: PlatformStore;
  /** Duration of the last commit. */
  #lastDurationMs = 0;
  #waiting: WaitingItem[] = [];

  /** `intervalMs` returns the minimum time between two commits; it is called before each commit. */
  constructor(
    node: EntryNode,
    store: PlatformStore,
    intervalMs: () => number,
    retryMs: number = COMMIT_RETRY_MS,
  ) {
    this.#intervalMs = intervalMs;
    this.#node = node;
    this.#retryMs = retryMs;
    this.#store = store;
    this.#duration = new Histogram({
      buckets: [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5],
      help: 'Time of one commit of the task log.',
      name: 'nutmegproxy_tasks_commit_seconds',
      registers: [node.metrics],
    });
    this.#items = new Counter({
      help: 'Items committed to the task log, by outcome.',
      labelNames: ['outcome'],
      name: 'nutmegproxy_tasks_commit_items_total',
      registers: [node.metrics],
    });
  }

  /** Whether the store responded to the last commit. */
  get isHealthy(): boolean {
    return this.#isStoreHealthy;
  }

  /** Stops the loop. Waiting items settle as unavailable, unless they may have taken effect. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#idle;
  }

  /** Commits an item; items of one caller take effect in the order of their calls. */
  commit(item: CommitItem): Promise<CommitOutcome> {
    const isFull = this.#waiting.length >= MAX_WAITING_ITEMS;
    if (this.#isClosed || (item.failFast && (isFull || !this.#isStoreHealthy))) {
      return Promise.resolve({kind: 'unavailable'});
    }
    return new Promise((settle) => {
      this.#waiting.push({...item, mayBeCommitted: false, settle});
      if (!this.#isRunning) {
        this.#isRunning = true;
        this.#idle = this.#run();
      }
    });
  }

  /** Settles when no item waits. */
  async flush(): Promise<void> {
    await this.#idle;
  }

  async #commitBatch(batch: readonly WaitingItem[]): Promise<void> {
    const startedAt = this.#node.clock.monotonic();
    const result = await this.#store.commit({
      compare: [],
      then: batch.map(({compare, readBack, then}) => ({
        kind: 'transaction',
        transaction: {
          compare,
          otherwise: readBack.map((key) => ({key, kind: 'get'})),
          then,
        },
      })),
    });
    this.#lastDurationMs = this.#node.clock.monotonic() - startedAt;
    this.#duration.observe(this.#lastDurationMs / 1000);
    if (result.isOk()) {
      this.#isStoreHealthy = true;
      this.#batchLimit = Math.min(MAX_ITEMS_PER_COMMIT, this.#batchLimit * 2);
      this.#settleBatch(batch, result.value);
      return;
    }
    if (result.error.kind === 'rejected') {
      this.#splitBatch(batch, result.error.message);
      return;
    }
    this.#isStoreHealthy = false;
    this.#requeueBatch(batch, result.error.kind === 'unknown');
  }

  /** Retries the items of a rejected batch one by one, so that only the invalid one fails. */
  #splitBatch(batch: readonly WaitingItem[], message: string): void {
    this.#batchLimit = 1;
    const [first] = batch;
    if (batch.length === 1 && first && !first.mayBeCommitted) {
      this.#node.events.record(TASKS_EVENTS.COMMIT_REJECTED, {message});
      this.#settle(first, {found: [], kind: 'refused'});
      return;
    }
    this.#waiting = [...batch, ...this.#waiting];
  }

  /** Puts a batch without a response back at the front of the queue, in its order. */
  #requeueBatch(batch: readonly WaitingItem[], mayBeCommitted: boolean): void {
    const kept: WaitingItem[] = [];
    for (const item of [...batch, ...this.#waiting]) {
      item.mayBeCommitted ||= mayBeCommitted && batch.includes(item);
      if (item.mayBeCommitted || !item.failFast) {
        kept.push(item);
      } else {
        this.#settle(item, {kind: 'unavailable'});
      }
    }
    this.#waiting = kept;
  }

  /** Delay before the next commit after one sent at `startedAt`; it is longer for a slow store. */
  #delayMs(startedAt: Instant): number {
    if (!this.#isStoreHealthy) {
      return this.#retryMs;
    }
    const now = this.#node.clock.monotonic();
    const intervalMs = Math.max(
      this.#intervalMs(),
      Math.min(MAX_COMMIT_INTERVAL_MS, 2 * this.#lastDurationMs),
    );
    return Math.max(0, startedAt + intervalMs - now);
  }

  async #run(): Promise<void> {
    while (this.#waiting.length > 0) {
      await sleep(this.#lastCommitAt === undefined ? 0 : this.#delayMs(this.#lastCommitAt));
      if (this.#isClosed) {
        this.#settleClosed();
        break;
      }
      this.#lastCommitAt = this.#node.clock.monotonic();
      await this.#commitBatch(this.#takeBatch());
    }
    this.#isRunning = false;
  }

  #settle(item: WaitingItem, outcome: CommitOutcome): void {
    this.#items.inc({outcome: outcome.kind});
    item.settle(outcome);
  }

  #settleBatch(batch: readonly WaitingItem[], response: TransactionResponse): void {
    batch.forEach((item, index) => {
      const each = response.responses[index];
      if (each?.kind === 'transaction') {
        this.#settle(item, toOutcome(each.response, item));
      } else {
        this.#settle(item, {found: [], kind: 'refused'});
      }
    });
  }

  /** Items that may have taken effect never settle, so that no caller treats them as not done. */
  #settleClosed(): void {
    for (const item of this.#waiting.filter(({mayBeCommitted}) => !mayBeCommitted)) {
      this.#settle(item, {kind: 'unavailable'});
    }
    this.#waiting = [];
  }

  #takeBatch(): WaitingItem[] {
    const batch: WaitingItem[] = [];
    const keys = new Set<string>();
    let sizeBytes = 0;
    for (const item of this.#waiting) {
      const written = getWrittenKeys(item);
      const isFull =
        batch.length >= this.#batchLimit ||
        (batch.length > 0 && sizeBytes + item.sizeBytes > MAX_COMMIT_BYTES) ||
        written.some((key) => keys.has(key));
      if (isFull) {
        // Later items wait as well, because a cell's deltas must take effect in order.
        break;
      }
      batch.push(item);
      sizeBytes += item.sizeBytes;
      written.forEach((key) => keys.add(key));
    }
    this.#waiting = this.#waiting.slice(batch.length);
    return batch;
  }
}
