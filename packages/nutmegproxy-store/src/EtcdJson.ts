/** Converts between the store's interface and the messages of the etcd v3 JSON gateway. */

import {brand} from '@nutmegproxy/core';

import type {
  Comparison,
  LeaseId,
  LeaseResponse,
  Operation,
  OperationResponse,
  StoredValue,
  Transaction,
  TransactionResponse,
  WatchEvent,
} from './PlatformStore.ts';

/** A key-value pair; 64-bit numbers are decimal strings, and default values are omitted. */
export interface EtcdKeyValue {
  readonly createRevision?: string;
  readonly key: string;
  readonly lease?: string;
  readonly modRevision?: string;
  readonly value?: string;
  readonly version?: string;
}

export interface EtcdHeader {
  readonly revision?: string;
}

export interface EtcdCompare {
  readonly createRevision?: string;
  readonly key: string;
  readonly modRevision?: string;
  readonly result?: string;
  readonly target?: string;
  readonly value?: string;
  readonly version?: string;
}

/** Exactly one of the fields is present. */
export interface EtcdOperation {
  readonly requestDeleteRange?: {readonly key: string; readonly rangeEnd?: string};
  readonly requestPut?: {readonly key: string; readonly lease?: string; readonly value: string};
  readonly requestRange?: {
    readonly key: string;
    readonly limit?: string;
    readonly rangeEnd?: string;
  };
  readonly requestTxn?: EtcdTransaction;
}

export interface EtcdTransaction {
  readonly compare?: readonly EtcdCompare[];
  readonly failure?: readonly EtcdOperation[];
  readonly success?: readonly EtcdOperation[];
}

/** Exactly one of the fields is present. */
export interface EtcdOperationResponse {
  readonly responseDeleteRange?: {readonly deleted?: string};
  readonly responsePut?: object;
  readonly responseRange?: {readonly count?: string; readonly kvs?: readonly EtcdKeyValue[]};
  readonly responseTxn?: EtcdTransactionResponse;
}

export interface EtcdTransactionResponse {
  readonly header?: EtcdHeader;
  readonly responses?: readonly EtcdOperationResponse[];
  readonly succeeded?: boolean;
}

export interface EtcdLeaseResponse {
  readonly ID?: string;
  readonly TTL?: string;
}

export interface EtcdWatchEvent {
  readonly kv: EtcdKeyValue;
  readonly type?: string;
}

export interface EtcdWatchResponse {
  readonly canceled?: boolean;
  readonly cancelReason?: string;
  readonly compactRevision?: string;
  readonly created?: boolean;
  readonly events?: readonly EtcdWatchEvent[];
  readonly header?: EtcdHeader;
}

function camelizeKey(key: string): string {
  return key.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}

/** Parses a message into camel case; the gateway writes snake case and accepts both. */
export function parseMessage(text: string): unknown {
  return JSON.parse(text, (_key, value: unknown) => {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      return value;
    }
    return Object.fromEntries(
      Object.entries(value).map(([key, each]) => [camelizeKey(key), each as unknown]),
    );
  });
}

export function encodeText(text: string): string {
  return Buffer.from(text).toString('base64');
}

export function decodeText(encoded: string): string {
  return Buffer.from(encoded, 'base64').toString();
}

/**
 * Returns the first key after all keys with the prefix, in base64. The prefix must end with an ASCII
 * character.
 */
export function encodePrefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}

function encodeRange(key: string, prefix: boolean | undefined) {
  return prefix === true
    ? {key: encodeText(key), rangeEnd: encodePrefixEnd(key)}
    : {key: encodeText(key)};
}

function encodeCompare(comparison: Comparison): EtcdCompare {
  const key = encodeText(comparison.key);
  if (comparison.kind === 'value') {
    const value = comparison.value.toString('base64');
    return {key, result: 'EQUAL', target: 'VALUE', value};
  }
  const modRevision = String(comparison.modRevision);
  return {key, modRevision, result: 'EQUAL', target: 'MOD'};
}

type OperationEncoders = {
  readonly [Kind in Operation['kind']]: (
    operation: Extract<Operation, {kind: Kind}>,
  ) => EtcdOperation;
};

const OPERATION_ENCODERS: OperationEncoders = {
  delete: ({key, prefix}) => ({requestDeleteRange: encodeRange(key, prefix)}),
  get: ({key, limit, prefix}) => ({
    requestRange: {...encodeRange(key, prefix), limit: String(limit ?? 0)},
  }),
  put: ({key, lease, value}) => ({
    requestPut: {key: encodeText(key), lease: lease ?? '0', value: value.toString('base64')},
  }),
  transaction: ({transaction}) => ({requestTxn: encodeTransaction(transaction)}),
};

function encodeOperation(operation: Operation): EtcdOperation {
  const encode = OPERATION_ENCODERS[operation.kind] as (each: Operation) => EtcdOperation;
  return encode(operation);
}

export function encodeTransaction(transaction: Transaction): EtcdTransaction {
  return {
    compare: transaction.compare.map(encodeCompare),
    failure: (transaction.otherwise ?? []).map(encodeOperation),
    success: transaction.then.map(encodeOperation),
  };
}

export function decodeStoredValue(kv: EtcdKeyValue): StoredValue {
  return {
    createRevision: Number(kv.createRevision ?? 0),
    key: decodeText(kv.key),
    modRevision: Number(kv.modRevision ?? 0),
    value: Buffer.from(kv.value ?? '', 'base64'),
  };
}

function decodeOperationResponse(response: EtcdOperationResponse): OperationResponse {
  if (response.responseRange !== undefined) {
    return {kind: 'get', values: (response.responseRange.kvs ?? []).map(decodeStoredValue)};
  }
  if (response.responseDeleteRange !== undefined) {
    return {deleted: Number(response.responseDeleteRange.deleted ?? 0), kind: 'delete'};
  }
  if (response.responseTxn !== undefined) {
    return {kind: 'transaction', response: decodeTransactionResponse(response.responseTxn)};
  }
  return {kind: 'put'};
}

export function decodeTransactionResponse(response: EtcdTransactionResponse): TransactionResponse {
  return {
    responses: (response.responses ?? []).map(decodeOperationResponse),
    revision: Number(response.header?.revision ?? 0),
    succeeded: response.succeeded ?? false,
  };
}

export function decodeLeaseResponse(response: EtcdLeaseResponse): LeaseResponse {
  return {lease: brand<LeaseId>(response.ID ?? '0'), ttlSeconds: Number(response.TTL ?? 0)};
}

export function decodeWatchEvent(event: EtcdWatchEvent): WatchEvent {
  const stored = decodeStoredValue(event.kv);
  return event.type === 'DELETE'
    ? {key: stored.key, kind: 'delete', modRevision: stored.modRevision}
    : {kind: 'put', stored};
}
