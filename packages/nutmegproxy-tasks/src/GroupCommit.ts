/**
 * Commits the changes of all cells of this VM together: one store transaction at a time, each item
 * a nested transaction with conditions of its own, so that one cell's failed condition does not
 * touch the others.
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

import {wait} from './AsyncUtils.ts';
import {
  COMMIT_RETRY_MS,
  MAX_COMMIT_BYTES,
  MAX_COMMIT_INTERVAL_MS,
  MAX_ITEMS_PER_COMMIT,
  MAX_WAITING_ITEMS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** What became of an item. `unavailable`: it certainly has no effect and never will. */
export type CommitOutcome =
  | {readonly found: readonly (StoredValue | undefined)[]; readonly kind: 'refused'}
  | {readonly kind: 'committed'}
  | {readonly kind: 'unavailable'};

/** A change with its conditions. Committing it again after it took effect must fail a condition. */
export interface CommitItem {
  readonly compare: readonly Comparison[];
  /** Refused at once when the store can't be reached, in place of being tried again. */
  readonly failFast: boolean;
  /** Keys read back when a condition fails; `refused` carries their values. */
  readonly readBack: readonly string[];
  readonly sizeBytes: number;
  readonly then: readonly Operation[];
}

interface WaitingItem extends CommitItem {
  /** A commit of it may have taken effect, so that it can be given up no more. */
  doubtful: boolean;
  readonly settle: (outcome: CommitOutcome) => void;
}

/** Keys written by an item; the store refuses two writes of one key in one transaction. */
function writtenKeys(item: CommitItem): string[] {
  return item.then.flatMap((operation) => (operation.kind === 'put' ? [operation.key] : []));
}

function outcomeOf(answer: TransactionResponse, item: CommitItem): CommitOutcome {
  if (answer.succeeded) {
    return {kind: 'committed'};
  }
  const found = item.readBack.map((_, index) => {
    const each = answer.responses[index];
    return each?.kind === 'get' ? each.values[0] : undefined;
  });
  return {found, kind: 'refused'};
}

/** One commit in flight; the interval follows the store's answer time. */
export class GroupCommit {
  #batchLimit = MAX_ITEMS_PER_COMMIT;
  #closed = false;
  readonly #duration: Histogram;
  #healthy = true;
  #idle: Promise<void> = Promise.resolve();
  readonly #intervalMs: () => number;
  readonly #items: Counter;
  #lastCommitAt: Instant | undefined;
  readonly #node: EntryNode;
  readonly #retryMs: number;
  #running = false;
  readonly #store: PlatformStore;
  /** Time that the last commit took. */
  #tookMs = 0;
  #waiting: WaitingItem[] = [];

  /** `intervalMs` is asked before each commit: the least time between two commits. */
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

  /** Whether the last commit was answered. */
  get healthy(): boolean {
    return this.#healthy;
  }

  /** Ends the loop; what waits settles as unavailable, unless it may have taken effect. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#idle;
  }

  /** Commits an item; items of one caller take effect in the order of their calls. */
  commit(item: CommitItem): Promise<CommitOutcome> {
    const full = this.#waiting.length >= MAX_WAITING_ITEMS;
    if (this.#closed || (item.failFast && (full || !this.#healthy))) {
      return Promise.resolve({kind: 'unavailable'});
    }
    return new Promise((settle) => {
      this.#waiting.push({...item, doubtful: false, settle});
      if (!this.#running) {
        this.#running = true;
        this.#idle = this.#run();
      }
    });
  }

  /** Settles when nothing waits. */
  async flushed(): Promise<void> {
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
    this.#tookMs = this.#node.clock.monotonic() - startedAt;
    this.#duration.observe(this.#tookMs / 1000);
    if (result.isOk()) {
      this.#healthy = true;
      this.#batchLimit = Math.min(MAX_ITEMS_PER_COMMIT, this.#batchLimit * 2);
      this.#settleBatch(batch, result.value);
      return;
    }
    if (result.error.kind === 'rejected') {
      this.#divide(batch, result.error.message);
      return;
    }
    this.#healthy = false;
    this.#keepBatch(batch, result.error.kind === 'unknown');
  }

  /** After a refusal of the store the items go one by one, so that only the one at fault fails. */
  #divide(batch: readonly WaitingItem[], message: string): void {
    this.#batchLimit = 1;
    const [first] = batch;
    if (batch.length === 1 && first && !first.doubtful) {
      this.#node.events.record(TASKS_EVENTS.COMMIT_REJECTED, {message});
      this.#settle(first, {found: [], kind: 'refused'});
      return;
    }
    this.#waiting = [...batch, ...this.#waiting];
  }

  /** Puts a batch that got no answer back in front, in its order. */
  #keepBatch(batch: readonly WaitingItem[], doubtful: boolean): void {
    const kept: WaitingItem[] = [];
    for (const item of [...batch, ...this.#waiting]) {
      item.doubtful ||= doubtful && batch.includes(item);
      if (item.doubtful || !item.failFast) {
        kept.push(item);
      } else {
        this.#settle(item, {kind: 'unavailable'});
      }
    }
    this.#waiting = kept;
  }

  /** Time to wait after a commit that was sent at `startedAt`: a slow store is asked less often. */
  #pauseMs(startedAt: Instant): number {
    if (!this.#healthy) {
      return this.#retryMs;
    }
    const now = this.#node.clock.monotonic();
    const intervalMs = Math.max(
      this.#intervalMs(),
      Math.min(MAX_COMMIT_INTERVAL_MS, 2 * this.#tookMs),
    );
    return Math.max(0, startedAt + intervalMs - now);
  }

  async #run(): Promise<void> {
    while (this.#waiting.length > 0) {
      await wait(this.#lastCommitAt === undefined ? 0 : this.#pauseMs(this.#lastCommitAt));
      if (this.#closed) {
        this.#settleClosed();
        break;
      }
      this.#lastCommitAt = this.#node.clock.monotonic();
      await this.#commitBatch(this.#takeBatch());
    }
    this.#running = false;
  }

  #settle(item: WaitingItem, outcome: CommitOutcome): void {
    this.#items.inc({outcome: outcome.kind});
    item.settle(outcome);
  }

  #settleBatch(batch: readonly WaitingItem[], answer: TransactionResponse): void {
    batch.forEach((item, index) => {
      const each = answer.responses[index];
      if (each?.kind === 'transaction') {
        this.#settle(item, outcomeOf(each.response, item));
      } else {
        this.#settle(item, {found: [], kind: 'refused'});
      }
    });
  }

  /** Doubtful items never settle: nobody may take them as not done. */
  #settleClosed(): void {
    for (const item of this.#waiting.filter(({doubtful}) => !doubtful)) {
      this.#settle(item, {kind: 'unavailable'});
    }
    this.#waiting = [];
  }

  #takeBatch(): WaitingItem[] {
    const batch: WaitingItem[] = [];
    const keys = new Set<string>();
    let sizeBytes = 0;
    for (const item of this.#waiting) {
      const written = writtenKeys(item);
      const full =
        batch.length >= this.#batchLimit ||
        (batch.length > 0 && sizeBytes + item.sizeBytes > MAX_COMMIT_BYTES) ||
        written.some((key) => keys.has(key));
      if (full) {
        // Later items wait too: a cell's deltas take effect in order.
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
