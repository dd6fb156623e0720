/**
 * The platform's key-value service as the rest of the project sees it. One file implements it over
 * the etcd v3 JSON gateway; another bench can be fitted by implementing this interface alone.
 */

import type {Branded} from '@nutmegproxy/core';
import type {ResultAsync} from 'neverthrow';

export type LeaseId = Branded<string, 'LeaseId'>;

/** One key with its value. Revisions are the store's own, as decimal numbers. */
export interface StoredValue {
  readonly createRevision: number;
  readonly key: string;
  readonly modRevision: number;
  readonly value: Buffer;
}

/** A condition of a transaction. `modRevision: 0` means that the key is absent. */
export type Comparison =
  | {readonly key: string; readonly kind: 'modRevision'; readonly modRevision: number}
  | {readonly key: string; readonly kind: 'value'; readonly value: Buffer};

/** An operation of a transaction; `transaction` nests one with conditions of its own. */
export type Operation =
  | {readonly key: string; readonly kind: 'delete'; readonly prefix?: boolean}
  | {readonly key: string; readonly kind: 'get'; readonly limit?: number; readonly prefix?: boolean}
  | {readonly key: string; readonly kind: 'put'; readonly lease?: LeaseId; readonly value: Buffer}
  | {readonly kind: 'transaction'; readonly transaction: Transaction};

/** Operations that take effect together. At most 128 on each side. */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly otherwise?: readonly Operation[];
  readonly then: readonly Operation[];
}

/** Answer of one operation, in the place of its operation. */
export type OperationResponse =
  | {readonly response: TransactionResponse; readonly kind: 'transaction'}
  | {readonly deleted: number; readonly kind: 'delete'}
  | {readonly kind: 'get'; readonly values: readonly StoredValue[]}
  | {readonly kind: 'put'};

export interface TransactionResponse {
  readonly responses: readonly OperationResponse[];
  /** The store's revision after the transaction. */
  readonly revision: number;
  /** Whether the comparisons held, so that `then` was carried out. */
  readonly succeeded: boolean;
}

/** A change of a watched key. */
export type WatchEvent =
  | {readonly key: string; readonly kind: 'delete'; readonly modRevision: number}
  | {readonly kind: 'put'; readonly stored: StoredValue};

/**
 * `unavailable`: the call certainly had no effect. `unknown`: a write may have taken effect, so the
 * caller reads back before it does anything else. `rejected`: the store refused the call.
 */
export interface StoreFailure {
  readonly kind: 'rejected' | 'unavailable' | 'unknown';
  readonly message: string;
}

export interface LeaseResponse {
  readonly lease: LeaseId;
  /** Time to live in seconds; 0 when the store has no such lease any more. */
  readonly ttlSeconds: number;
}

/** Called for each batch of a watch; `revision` is the store's revision of the batch. */
export interface WatchHandler {
  /** The watch lost events (compaction or a cut); the holder reads the prefix again. */
  readonly onBroken: (failure: StoreFailure) => void;
  readonly onEvents: (events: readonly WatchEvent[], revision: number) => void;
}

export interface Watch {
  close(): void;
}

/** Every call has a deadline of its own and settles by then. */
export interface PlatformStore {
  /** Closes all connections. */
  close(): Promise<void>;
  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure>;
  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure>;
  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure>;
  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure>;
  watch(prefix: string, fromRevision: number, handler: WatchHandler): Watch;
}
