/** A store in memory with faults to order, for tests. */

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

/** `lost-answer`: takes effect, answered as unknown. `late`: answered as unknown, takes effect with the next call. */
export type StoreFault = 'late' | 'lost-answer' | 'rejected' | 'unavailable';

export class MemoryStore implements PlatformStore {
  commits = 0;
  /** Faults of the next commits that write; the last one stays when `stuck`. */
  faults: StoreFault[] = [];
  /** Called before each commit is carried out. */
  onCommit: (transaction: Transaction) => void = () => undefined;
  revision = 0;
  stuck = false;
  readonly values = new Map<string, StoredValue>();
  #late: Transaction[] = [];

  close(): Promise<void> {
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    this.commits += 1;
    this.onCommit(transaction);
    const late = this.#late.splice(0);
    const fault = this.stuck ? this.faults[0] : this.faults.shift();
    if (fault === 'unavailable' || fault === 'rejected') {
      return errAsync({kind: fault, message: fault});
    }
    if (fault === 'late') {
      this.#late.push(transaction);
      return errAsync({kind: 'unknown', message: fault});
    }
    late.forEach((each) => this.#execute(each));
    const answer = this.#execute(transaction);
    return fault === 'lost-answer' ? errAsync({kind: 'unknown', message: fault}) : okAsync(answer);
  }

  grantLease(ttlSeconds: number): ReturnType<PlatformStore['grantLease']> {
    return okAsync({lease: brand<LeaseId>('1'), ttlSeconds});
  }

  keepLeaseAlive(lease: LeaseId): ReturnType<PlatformStore['keepLeaseAlive']> {
    return okAsync({lease, ttlSeconds: 1});
  }

  put(key: string, value: unknown): void {
    this.revision += 1;
    this.#put(key, Buffer.from(JSON.stringify(value)));
  }

  revokeLease(): ReturnType<PlatformStore['revokeLease']> {
    return okAsync(undefined);
  }

  watch(): Watch {
    return {close: () => undefined};
  }

  #execute(transaction: Transaction): TransactionResponse {
    this.revision += 1;
    return this.#nested(transaction, new Set());
  }

  #holds(comparison: Comparison): boolean {
    const stored = this.values.get(comparison.key);
    return comparison.kind === 'modRevision'
      ? (stored?.modRevision ?? 0) === comparison.modRevision
      : stored?.value.equals(comparison.value) === true;
  }

  #nested(transaction: Transaction, written: Set<string>): TransactionResponse {
    const succeeded = transaction.compare.every((each) => this.#holds(each));
    const operations = succeeded ? transaction.then : (transaction.otherwise ?? []);
    const answers = operations.map((each) => this.#operate(each, written));
    return {responses: answers, revision: this.revision, succeeded};
  }

  #operate(operation: Operation, written: Set<string>): OperationResponse {
    if (operation.kind === 'transaction') {
      return {kind: 'transaction', response: this.#nested(operation.transaction, written)};
    }
    if (operation.kind === 'put') {
      if (written.has(operation.key)) {
        throw new Error(`duplicate key in one transaction: ${operation.key}`);
      }
      written.add(operation.key);
      this.#put(operation.key, operation.value);
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

  #put(key: string, value: Buffer): void {
    const createRevision = this.values.get(key)?.createRevision ?? this.revision;
    this.values.set(key, {createRevision, key, modRevision: this.revision, value});
  }
}
