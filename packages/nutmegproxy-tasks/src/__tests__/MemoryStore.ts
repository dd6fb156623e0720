/** In-memory store with fault injection, for tests. */

import type {
  Comparison,
  LeaseId,
  Operation,
  OperationResponse,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {errAsync, okAsync} from 'neverthrow';

/**
 * `lost-answer`: takes effect, but returns `unknown`. `late`: returns `unknown`, and takes effect
 * with the next call.
 */
export type StoreFault = 'late' | 'lost-answer' | 'rejected' | 'unavailable';

export class MemoryStore implements PlatformStore {
  commits = 0;
  /** Faults of the next commits; with `repeatsFault`, the first one applies to all. */
  faults: StoreFault[] = [];
  /** Called before each commit is executed. */
  onCommit: (transaction: Transaction) => void = () => undefined;
  revision = 0;
  repeatsFault = false;
  readonly values = new Map<string, StoredValue>();
  #delayed: Transaction[] = [];

  close(): Promise<void> {
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    this.commits += 1;
    this.onCommit(transaction);
    const delayed = this.#delayed.splice(0);
    const fault = this.repeatsFault ? this.faults[0] : this.faults.shift();
    if (fault === 'unavailable' || fault === 'rejected') {
      return errAsync({kind: fault, message: fault});
    }
    if (fault === 'late') {
      this.#delayed.push(transaction);
      return errAsync({kind: 'unknown', message: fault});
    }
    delayed.forEach((each) => this.#commitTransaction(each));
    const response = this.#commitTransaction(transaction);
    return fault === 'lost-answer'
      ? errAsync({kind: 'unknown', message: fault})
      : okAsync(response);
  }

  grantLease(ttlSeconds: number): ReturnType<PlatformStore['grantLease']> {
    return okAsync({lease: brand<LeaseId>('1'), ttlSeconds});
  }

  keepLeaseAlive(lease: LeaseId): ReturnType<PlatformStore['keepLeaseAlive']> {
    return okAsync({lease, ttlSeconds: 1});
  }

  put(key: string, value: unknown): void {
    this.revision += 1;
    this.#putValue(key, Buffer.from(JSON.stringify(value)));
  }

  revokeLease(): ReturnType<PlatformStore['revokeLease']> {
    return okAsync(undefined);
  }

  watch(): Watch {
    return {close: () => undefined};
  }

  #commitTransaction(transaction: Transaction): TransactionResponse {
    this.revision += 1;
    return this.#runTransaction(transaction, new Set());
  }

  #isSatisfied(comparison: Comparison): boolean {
    const stored = this.values.get(comparison.key);
    return comparison.kind === 'modRevision'
      ? (stored?.modRevision ?? 0) === comparison.modRevision
      : stored?.value.equals(comparison.value) === true;
  }

  #runTransaction(transaction: Transaction, written: Set<string>): TransactionResponse {
    const succeeded = transaction.compare.every((each) => this.#isSatisfied(each));
    const operations = succeeded ? transaction.then : (transaction.otherwise ?? []);
    const responses = operations.map((each) => this.#runOperation(each, written));
    return {responses, revision: this.revision, succeeded};
  }

  #runOperation(operation: Operation, written: Set<string>): OperationResponse {
    if (operation.kind === 'transaction') {
      return {kind: 'transaction', response: this.#runTransaction(operation.transaction, written)};
    }
    if (operation.kind === 'put') {
      if (written.has(operation.key)) {
        throw new Error(`duplicate key in one transaction: ${operation.key}`);
      }
      written.add(operation.key);
      this.#putValue(operation.key, operation.value);
      return {kind: 'put'};
    }
    const matches = [...this.values.values()]
      .filter(({key}) => (operation.prefix ? key.startsWith(operation.key) : key === operation.key))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    if (operation.kind === 'get') {
      return {kind: 'get', values: matches};
    }
    matches.forEach(({key}) => this.values.delete(key));
    return {deleted: matches.length, kind: 'delete'};
  }

  #putValue(key: string, value: Buffer): void {
    const createRevision = this.values.get(key)?.createRevision ?? this.revision;
    this.values.set(key, {createRevision, key, modRevision: this.revision, value});
  }
}
