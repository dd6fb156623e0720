/**
 * The interface of the platform's key-value store. `EtcdStore` implements it over the etcd v3 JSON
 * gateway; another store only needs to implement this interface.
 */

import type {Branded} from '@nutmegproxy/core';
import type {ResultAsync} from 'neverthrow';

export type LeaseId = Branded<string, 'LeaseId'>;

/** A key with its value and the store's revisions of its creation and last change. */
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

/** An operation of a transaction; `transaction` nests a transaction with its own conditions. */
export type Operation =
  | {readonly key: string; readonly kind: 'delete'; readonly prefix?: boolean}
  | {readonly key: string; readonly kind: 'get'; readonly limit?: number; readonly prefix?: boolean}
  | {readonly key: string; readonly kind: 'put'; readonly lease?: LeaseId; readonly value: Buffer}
  | {readonly kind: 'transaction'; readonly transaction: Transaction};

/**
 * Operations that are applied atomically: `then` when all comparisons hold, else `otherwise`. At
 * most 128 in each list.
 */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly otherwise?: readonly Operation[];
  readonly then: readonly Operation[];
}

/** The response to an operation, at the same index as the operation. */
export type OperationResponse =
  | {readonly response: TransactionResponse; readonly kind: 'transaction'}
  | {readonly deleted: number; readonly kind: 'delete'}
  | {readonly kind: 'get'; readonly values: readonly StoredValue[]}
  | {readonly kind: 'put'};

export interface TransactionResponse {
  readonly responses: readonly OperationResponse[];
  /** The store's revision after the transaction. */
  readonly revision: number;
  /** Whether the comparisons held, so that `then` was applied. */
  readonly succeeded: boolean;
}

/** A change of a watched key. */
export type WatchEvent =
  | {readonly key: string; readonly kind: 'delete'; readonly modRevision: number}
  | {readonly kind: 'put'; readonly stored: StoredValue};

/**
 * `unavailable`: the call certainly had no effect. `unknown`: a write may have taken effect, so the
 * caller must read it back before it does anything else. `rejected`: the store refused the call.
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

/** Receives the batches of a watch; `revision` is the highest revision of the batch. */
export interface WatchHandler {
  /**
   * Called when the watch lost events, by compaction or a disconnection; the handler must read the
   * prefix again.
   */
  readonly onBroken: (failure: StoreFailure) => void;
  readonly onEvents: (events: readonly WatchEvent[], revision: number) => void;
}

export interface Watch {
  close(): void;
}

/** A key-value store. Every call has its own deadline and settles by then. */
export interface PlatformStore {
  /** Closes all connections. */
  close(): Promise<void>;
  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure>;
  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure>;
  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure>;
  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure>;
  watch(prefix: string, fromRevision: number, handler: WatchHandler): Watch;
}
