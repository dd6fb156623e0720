/** Helpers for common transactions. */

import type {ResultAsync} from 'neverthrow';

import type {
  LeaseId,
  Operation,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionResponse,
} from './PlatformStore.ts';

/** The values under a prefix at one revision of the store. */
export interface PrefixSnapshot {
  /** Revision of the store at the read; start a watch at `revision + 1` to miss no change. */
  readonly revision: number;
  readonly values: readonly StoredValue[];
}

function readValues(response: TransactionResponse): readonly StoredValue[] {
  const first = response.responses[0];
  return first?.kind === 'get' ? first.values : [];
}

/** Returns whether any operation of the transaction, nested ones included, may change the store. */
export function isWrite(transaction: Transaction): boolean {
  return [...transaction.then, ...(transaction.otherwise ?? [])].some(isWriteOperation);
}

function isWriteOperation(operation: Operation): boolean {
  return operation.kind === 'transaction'
    ? isWrite(operation.transaction)
    : operation.kind !== 'get';
}

/**
 * Reads all keys with a prefix.
 *
 * @example
 * const snapshot = await getPrefix(store, '/nutmegproxy/catalogue/');
 */
export function getPrefix(
  store: PlatformStore,
  prefix: string,
): ResultAsync<PrefixSnapshot, StoreFailure> {
  return store
    .commit({compare: [], then: [{key: prefix, kind: 'get', prefix: true}]})
    .map((response) => ({revision: response.revision, values: readValues(response)}));
}

/**
 * Reads one key; returns undefined when it is absent.
 *
 * @example
 * const head = await getKey(store, '/nutmegproxy/catalogue/head');
 */
export function getKey(
  store: PlatformStore,
  key: string,
): ResultAsync<StoredValue | undefined, StoreFailure> {
  return store
    .commit({compare: [], then: [{key, kind: 'get'}]})
    .map((response) => readValues(response)[0]);
}

/**
 * Writes one key unconditionally; returns the store's revision after the write.
 *
 * @example
 * const revision = await put(store, '/nutmegproxy/demo', Buffer.from('1'));
 */
export function put(
  store: PlatformStore,
  key: string,
  value: Buffer,
  lease?: LeaseId,
): ResultAsync<number, StoreFailure> {
  const operation = lease === undefined ? {key, value} : {key, lease, value};
  return store
    .commit({compare: [], then: [{kind: 'put', ...operation}]})
    .map((response) => response.revision);
}
