/** In-memory store with transactions, and failures before or after a call takes effect. */

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
} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';

/** `lost-after`: the call takes effect but its response is lost; `lost-before`: no effect. */
export type StoreFault = 'lost-after' | 'lost-before' | 'unavailable';

export class FakeStore implements PlatformStore {
  calls = 0;
  /** Faults of the next calls, in order; undefined means no fault. */
  readonly faults: (StoreFault | undefined)[] = [];
  /** Fault of every call while set. */
  outage: StoreFault | undefined;
  readonly values = new Map<string, StoredValue>();
  #revision = 0;

  close(): Promise<void> {
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    this.calls += 1;
    const fault = this.faults.shift() ?? this.outage;
    if (fault === 'unavailable') {
      return errAsync({kind: 'unavailable', message: 'down'});
    }
    const response = fault === 'lost-before' ? undefined : this.#apply(transaction);
    return fault === undefined && response !== undefined
      ? okAsync(response)
      : errAsync({kind: 'unknown', message: 'lost'});
  }

  grantLease(ttlSeconds: number) {
    return okAsync<{lease: LeaseId; ttlSeconds: number}, StoreFailure>({
      lease: brand<LeaseId>('lease-1'),
      ttlSeconds,
    });
  }

  keepLeaseAlive(lease: LeaseId) {
    return okAsync<{lease: LeaseId; ttlSeconds: number}, StoreFailure>({lease, ttlSeconds: 1});
  }

  revokeLease(): ResultAsync<void, StoreFailure> {
    return okAsync(undefined);
  }

  watch() {
    return {close: () => undefined};
  }

  #apply({compare, otherwise = [], then}: Transaction): TransactionResponse {
    this.#revision += 1;
    const succeeded = compare.every((each) => this.#matches(each));
    const responses = (succeeded ? then : otherwise).map((each) => this.#applyOperation(each));
    return {responses, revision: this.#revision, succeeded};
  }

  #matches(comparison: Comparison): boolean {
    const stored = this.values.get(comparison.key);
    return comparison.kind === 'modRevision'
      ? (stored?.modRevision ?? 0) === comparison.modRevision
      : stored?.value.equals(comparison.value) === true;
  }

  #applyOperation(operation: Operation): OperationResponse {
    if (operation.kind === 'transaction') {
      return {kind: 'transaction', response: this.#apply(operation.transaction)};
    }
    const {key} = operation;
    if (operation.kind === 'get') {
      const stored = this.values.get(key);
      return {kind: 'get', values: stored === undefined ? [] : [stored]};
    }
    if (operation.kind === 'delete') {
      return {deleted: this.values.delete(key) ? 1 : 0, kind: 'delete'};
    }
    const revision = this.#revision;
    const stored = {createRevision: revision, key, modRevision: revision, value: operation.value};
    this.values.set(key, stored);
    return {kind: 'put'};
  }
}
