/**
 * Idempotency keys of non-idempotent requests. A key is created in the store before the request
 * is sent to a minion, so that no entry VM runs another request with the same key.
 */

import type {Clock, EntryId, Instant, NodeIdentity, RequestId} from '@nutmegproxy/core';
import type {RequestKeyRecord} from '@nutmegproxy/schema';
import type {
  LeaseId,
  Operation,
  PlatformStore,
  StoreFailure,
  Transaction,
  TransactionResponse,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {after} from '@nutmegproxy/core';
import {validateRequestKeyRecord} from '@nutmegproxy/schema';
import {setTimeout as sleep} from 'node:timers/promises';

import type {KeyWrite} from './KeyCommitter.ts';

import {KeyCommitter} from './KeyCommitter.ts';
import {KeyLeases} from './KeyLeases.ts';
import {KeyRateLimiter} from './KeyRateLimiter.ts';
import {
  DRAIN_POLL_INTERVAL_MS,
  KEY_FLUSH_TIMEOUT_MS,
  KEY_STORE_RETRY_DELAY_MS,
  MAX_KEY_WRITE_ATTEMPTS,
  MAX_PENDING_KEY_CLAIMS,
  MAX_PENDING_KEY_WRITES,
} from './RequestsConstants.ts';

/** A key that this process has claimed for one request. */
export interface KeyClaim {
  readonly key: string;
  readonly lease: LeaseId;
  readonly record: RequestKeyRecord;
}

/** `known`: an earlier request holds the key, so this one must not run. */
export type ClaimResult =
  | {readonly claim: KeyClaim; readonly kind: 'claimed'}
  | {readonly kind: 'known'; readonly state: RequestKeyRecord['state']}
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** Dependencies of the idempotency keys. */
export interface RequestKeysDependencies {
  readonly clock: Clock;
  readonly countVms: () => number;
  readonly identity: NodeIdentity;
  readonly keyPrefix: string;
  readonly store: PlatformStore;
}

type CommitResult = Result<TransactionResponse, StoreFailure>;

export class RequestKeys {
  readonly #clock: Clock;
  readonly #committer: KeyCommitter;
  readonly #identity: NodeIdentity;
  readonly #leases: KeyLeases;
  #pausedUntil = 0 as Instant;
  #pendingClaims = 0;
  readonly #prefix: string;

  constructor({clock, countVms, identity, keyPrefix, store}: RequestKeysDependencies) {
    this.#clock = clock;
    this.#committer = new KeyCommitter(store, new KeyRateLimiter(countVms), clock);
    this.#identity = identity;
    this.#leases = new KeyLeases(store, clock);
    this.#prefix = `${keyPrefix}/once`;
  }

  /** Claims a key for a request, or returns the state of the request that holds it. */
  async claim(entry: EntryId, key: string, request: RequestId): Promise<ClaimResult> {
    const now = this.#clock.monotonic();
    if (now < this.#pausedUntil) {
      return {kind: 'unavailable', retryAfterMs: this.#pausedUntil - now};
    }
    if (this.#pendingClaims >= MAX_PENDING_KEY_CLAIMS) {
      return {kind: 'unavailable', retryAfterMs: KEY_STORE_RETRY_DELAY_MS};
    }
    this.#pendingClaims += 1;
    try {
      return await this.#claimKey(`${this.#prefix}/${entry}/${encodeURIComponent(key)}`, request);
    } finally {
      this.#pendingClaims -= 1;
    }
  }

  /** Records the result of a claim's request. */
  recordResult(claim: KeyClaim, state: 'answered' | 'unknown'): void {
    const {key, lease, record} = claim;
    const value = encodeRecord({...record, state});
    void this.#updateRecord(claim, {key, kind: 'put', lease, value}, (write) =>
      this.#committer.commitDeferred(write),
    );
  }

  /** Deletes the key of a request that was not run. */
  release(claim: KeyClaim): void {
    void this.#updateRecord(claim, {key: claim.key, kind: 'delete'}, (write) =>
      this.#committer.commit(write),
    );
  }

  /** Commits pending writes and waits up to `KEY_FLUSH_TIMEOUT_MS` for them. */
  async flush(): Promise<void> {
    const deadline = after(this.#clock.monotonic(), KEY_FLUSH_TIMEOUT_MS);
    while (this.#committer.pendingCount > 0 && this.#clock.monotonic() < deadline) {
      this.#committer.flush();
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }

  async #claimKey(key: string, request: RequestId): Promise<ClaimResult> {
    const lease = await this.#leases.getCurrent();
    if (lease.isErr()) {
      return this.#pause();
    }
    const {incarnation, vm} = this.#identity;
    const record: RequestKeyRecord = {incarnation, request, state: 'taken', vm};
    const claim = {key, lease: lease.value, record};
    const transaction = createClaimTransaction(claim);
    let result = await this.#committer.commit({key, transaction});
    if (result.isErr() && result.error.kind === 'unknown') {
      // The repeated claim finds its own request id if the first one took effect.
      result = await this.#committer.commit({key, transaction});
    }
    return this.#toClaimResult(claim, result);
  }

  /** Writes the key if it still holds this claim's record; retries after store failures. */
  async #updateRecord(
    claim: KeyClaim,
    operation: Operation,
    send: (write: KeyWrite) => Promise<CommitResult>,
  ): Promise<void> {
    if (this.#committer.pendingCount >= MAX_PENDING_KEY_WRITES) {
      // The key keeps its state until it expires, so a retry is refused and nothing runs twice.
      return;
    }
    const {key, record} = claim;
    const compare = [{key, kind: 'value' as const, value: encodeRecord(record)}];
    const write = {key, transaction: {compare, then: [operation]}};
    for (let attempt = 0; attempt < MAX_KEY_WRITE_ATTEMPTS; attempt += 1) {
      const result = await send(write);
      if (result.isOk()) {
        return;
      }
      await sleep(KEY_STORE_RETRY_DELAY_MS);
    }
  }

  #pause(): ClaimResult {
    this.#pausedUntil = after(this.#clock.monotonic(), KEY_STORE_RETRY_DELAY_MS);
    return {kind: 'unavailable', retryAfterMs: KEY_STORE_RETRY_DELAY_MS};
  }

  #toClaimResult(claim: KeyClaim, result: CommitResult): ClaimResult {
    if (result.isErr()) {
      if (result.error.kind === 'rejected') {
        this.#leases.invalidate();
      }
      // The claim may still take effect and would then block the key until it expires.
      this.release(claim);
      return this.#pause();
    }
    if (result.value.succeeded) {
      return {claim, kind: 'claimed'};
    }
    const existing = parseExistingRecord(result.value);
    if (existing?.request === claim.record.request) {
      return {claim, kind: 'claimed'};
    }
    return {kind: 'known', state: existing?.state ?? 'unknown'};
  }
}

function createClaimTransaction(claim: KeyClaim): Transaction {
  const {key, lease, record} = claim;
  return {
    compare: [{key, kind: 'modRevision', modRevision: 0}],
    otherwise: [{key, kind: 'get'}],
    then: [{key, kind: 'put', lease, value: encodeRecord(record)}],
  };
}

function encodeRecord({incarnation, request, state, vm}: RequestKeyRecord): Buffer {
  return Buffer.from(JSON.stringify({incarnation, request, state, vm}));
}

/** Returns the record found by a claim, or undefined if it is invalid. */
function parseExistingRecord({responses}: TransactionResponse): RequestKeyRecord | undefined {
  const [response] = responses;
  const text = response?.kind === 'get' ? response.values[0]?.value.toString('utf8') : undefined;
  try {
    const value: unknown = JSON.parse(text ?? 'null');
    return validateRequestKeyRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
