/**
 * Idempotency keys of non-idempotent requests. A key is created in the store before the request
 * goes to a minion, so that no entry VM runs a request with that key a second time.
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
import {KeyPace} from './KeyPace.ts';
import {
  DRAIN_POLL_MS,
  KEY_CLAIMS_MAX,
  KEY_NOTE_TRIES_MAX,
  KEY_NOTES_MAX,
  KEY_SETTLE_MS,
  KEY_STORE_PAUSE_MS,
} from './RequestsConstants.ts';

/** A key that this process has taken for one request. */
export interface KeyClaim {
  readonly key: string;
  readonly lease: LeaseId;
  readonly record: RequestKeyRecord;
}

/** `known`: an earlier request has the key, so this one must not run. */
export type ClaimResult =
  | {readonly claim: KeyClaim; readonly kind: 'claimed'}
  | {readonly kind: 'known'; readonly state: RequestKeyRecord['state']}
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** What keys are kept with. */
export interface RequestKeysParts {
  readonly clock: Clock;
  readonly countVms: () => number;
  readonly identity: NodeIdentity;
  readonly keyPrefix: string;
  readonly store: PlatformStore;
}

type CommitResult = Result<TransactionResponse, StoreFailure>;

export class RequestKeys {
  readonly #clock: Clock;
  #claims = 0;
  readonly #committer: KeyCommitter;
  readonly #identity: NodeIdentity;
  readonly #leases: KeyLeases;
  #pausedUntil = 0 as Instant;
  readonly #prefix: string;

  constructor({clock, countVms, identity, keyPrefix, store}: RequestKeysParts) {
    this.#clock = clock;
    this.#committer = new KeyCommitter(store, new KeyPace(countVms), clock);
    this.#identity = identity;
    this.#leases = new KeyLeases(store, clock);
    this.#prefix = `${keyPrefix}/once`;
  }

  /** Takes a key for a request, or tells who has it. */
  async claim(entry: EntryId, key: string, request: RequestId): Promise<ClaimResult> {
    const now = this.#clock.monotonic();
    if (now < this.#pausedUntil) {
      return {kind: 'unavailable', retryAfterMs: this.#pausedUntil - now};
    }
    if (this.#claims >= KEY_CLAIMS_MAX) {
      return {kind: 'unavailable', retryAfterMs: KEY_STORE_PAUSE_MS};
    }
    this.#claims += 1;
    try {
      return await this.#claimAt(`${this.#prefix}/${entry}/${encodeURIComponent(key)}`, request);
    } finally {
      this.#claims -= 1;
    }
  }

  /** Records how the request of a claim ended. */
  finish(claim: KeyClaim, state: 'answered' | 'unknown'): void {
    const {key, lease, record} = claim;
    const value = encodeRecord({...record, state});
    void this.#write(claim, {key, kind: 'put', lease, value}, (write) =>
      this.#committer.note(write),
    );
  }

  /** Frees a key whose request certainly was not run. */
  release(claim: KeyClaim): void {
    void this.#write(claim, {key: claim.key, kind: 'delete'}, (write) =>
      this.#committer.commit(write),
    );
  }

  /** Sends what waits to be recorded, and waits for a bounded time until it is. */
  async settle(): Promise<void> {
    const end = after(this.#clock.monotonic(), KEY_SETTLE_MS);
    while (this.#committer.size > 0 && this.#clock.monotonic() < end) {
      this.#committer.flush();
      await sleep(DRAIN_POLL_MS);
    }
  }

  async #claimAt(key: string, request: RequestId): Promise<ClaimResult> {
    const lease = await this.#leases.current();
    if (lease.isErr()) {
      return this.#pause();
    }
    const {incarnation, vm} = this.#identity;
    const record: RequestKeyRecord = {incarnation, request, state: 'taken', vm};
    const claim = {key, lease: lease.value, record};
    const transaction = claimTransaction(claim);
    let result = await this.#committer.commit({key, transaction});
    if (result.isErr() && result.error.kind === 'unknown') {
      // The same claim again reads back: it finds its own request id if the first one took effect.
      result = await this.#committer.commit({key, transaction});
    }
    return this.#readClaim(claim, result);
  }

  /** Changes the key for as long as it is as this claim left it; tries again when that is unclear. */
  async #write(
    claim: KeyClaim,
    operation: Operation,
    send: (write: KeyWrite) => Promise<CommitResult>,
  ): Promise<void> {
    if (this.#committer.size >= KEY_NOTES_MAX) {
      // The key stays as it is until it expires: a retry is refused, and nothing runs twice.
      return;
    }
    const {key, record} = claim;
    const compare = [{key, kind: 'value' as const, value: encodeRecord(record)}];
    const write = {key, transaction: {compare, then: [operation]}};
    for (let tries = 0; tries < KEY_NOTE_TRIES_MAX; tries += 1) {
      const result = await send(write);
      if (result.isOk()) {
        return;
      }
      await sleep(KEY_STORE_PAUSE_MS);
    }
  }

  #pause(): ClaimResult {
    this.#pausedUntil = after(this.#clock.monotonic(), KEY_STORE_PAUSE_MS);
    return {kind: 'unavailable', retryAfterMs: KEY_STORE_PAUSE_MS};
  }

  #readClaim(claim: KeyClaim, result: CommitResult): ClaimResult {
    if (result.isErr()) {
      if (result.error.kind === 'rejected') {
        this.#leases.forget();
      }
      // A claim that may yet take effect would block the key for good.
      this.release(claim);
      return this.#pause();
    }
    if (result.value.succeeded) {
      return {claim, kind: 'claimed'};
    }
    const holder = readHolder(result.value);
    if (holder?.request === claim.record.request) {
      return {claim, kind: 'claimed'};
    }
    return {kind: 'known', state: holder?.state ?? 'unknown'};
  }
}

function claimTransaction(claim: KeyClaim): Transaction {
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

/** The record that was found, or undefined when it can't be read. */
function readHolder({responses: answers}: TransactionResponse): RequestKeyRecord | undefined {
  const [answer] = answers;
  const text = answer?.kind === 'get' ? answer.values[0]?.value.toString('utf8') : undefined;
  try {
    const value: unknown = JSON.parse(text ?? 'null');
    return validateRequestKeyRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
