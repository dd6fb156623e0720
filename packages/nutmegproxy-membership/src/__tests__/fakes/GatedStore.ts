/** A store whose calls wait for the test twice: before their effect and before their result. */

import type {Clock} from '@nutmegproxy/core';
import type {
  LeaseId,
  LeaseResponse,
  OperationResponse,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {err, ok, ResultAsync} from 'neverthrow';

interface Lease {
  expiresAt: number;
  readonly ttlMs: number;
}

interface EngineValue extends StoredValue {
  readonly lease: LeaseId | undefined;
}

/** The state that all clients share, with the clock of the store. */
export class StoreEngine {
  readonly calls: GatedCall[] = [];
  readonly #clock: Clock;
  readonly #leases = new Map<string, Lease>();
  #nextLease = 1;
  #revision = 1;
  readonly #values = new Map<string, EngineValue>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  commit({compare, otherwise = [], then}: Transaction): TransactionResponse {
    this.#expire();
    const succeeded = compare.every((each) => {
      const stored = this.#values.get(each.key);
      return each.kind === 'modRevision'
        ? (stored?.modRevision ?? 0) === each.modRevision
        : stored?.value.equals(each.value) === true;
    });
    const operations = succeeded ? then : otherwise;
    if (operations.some(({kind}) => kind !== 'get')) {
      this.#revision += 1;
    }
    const responses = operations.map((each): OperationResponse => {
      if (each.kind === 'get') {
        const values = [...this.#values.values()].filter(({key}) =>
          each.prefix === true ? key.startsWith(each.key) : key === each.key,
        );
        return {kind: 'get', values};
      }
      if (each.kind === 'put') {
        this.#put(each.key, each.value, each.lease);
        return {kind: 'put'};
      }
      throw new Error('operation not implemented');
    });
    return {responses, revision: this.#revision, succeeded};
  }

  grant(ttlSeconds: number): LeaseResponse {
    const lease = brand<LeaseId>(`lease-${this.#nextLease}`);
    this.#nextLease += 1;
    const ttlMs = ttlSeconds * 1_000;
    this.#leases.set(lease, {expiresAt: this.#clock.monotonic() + ttlMs, ttlMs});
    return {lease, ttlSeconds};
  }

  keepAlive(lease: LeaseId): LeaseResponse {
    this.#expire();
    const found = this.#leases.get(lease);
    if (found === undefined) {
      return {lease, ttlSeconds: 0};
    }
    found.expiresAt = this.#clock.monotonic() + found.ttlMs;
    return {lease, ttlSeconds: found.ttlMs / 1_000};
  }

  read(key: string): StoredValue | undefined {
    return this.#values.get(key);
  }

  revoke(lease: LeaseId): void {
    this.#leases.delete(lease);
    this.#expire();
  }

  #expire(): void {
    for (const [id, {expiresAt}] of this.#leases) {
      if (expiresAt <= this.#clock.monotonic()) {
        this.#leases.delete(id);
      }
    }
    for (const {key, lease} of [...this.#values.values()]) {
      if (lease !== undefined && !this.#leases.has(lease)) {
        this.#values.delete(key);
        this.#revision += 1;
      }
    }
  }

  #put(key: string, value: Buffer, lease: LeaseId | undefined): void {
    if (lease !== undefined && !this.#leases.has(lease)) {
      return;
    }
    const modRevision = this.#revision;
    const createRevision = this.#values.get(key)?.createRevision ?? modRevision;
    this.#values.set(key, {createRevision, key, lease, modRevision, value});
  }
}

/** A pending call. `advance` moves it one stage further; `expire` reaches its deadline. */
export class GatedCall {
  readonly #effect: () => unknown;
  readonly #timeoutFailure: StoreFailure;
  #result: undefined | {readonly value: unknown};
  readonly #settle: (result: Result<unknown, StoreFailure>) => void;
  #isSettled = false;

  constructor(
    effect: () => unknown,
    timeoutFailure: StoreFailure,
    settle: (result: Result<unknown, StoreFailure>) => void,
  ) {
    this.#effect = effect;
    this.#timeoutFailure = timeoutFailure;
    this.#settle = settle;
  }

  /** Times out the caller; the effect may still happen. Returns whether the call is complete. */
  expire(): boolean {
    this.#finish(err(this.#timeoutFailure));
    return this.#result !== undefined;
  }

  /** Performs the effect or delivers its result. Returns whether the call is complete. */
  advance(): boolean {
    if (this.#result === undefined) {
      this.#result = {value: this.#effect()};
      return this.#isSettled;
    }
    this.#finish(ok(this.#result.value));
    return true;
  }

  #finish(result: Result<unknown, StoreFailure>): void {
    this.#isSettled = true;
    this.#settle(result);
  }
}

/** Store client of one process. */
export class GatedStore implements PlatformStore {
  isDown = false;
  readonly #engine: StoreEngine;

  constructor(engine: StoreEngine) {
    this.#engine = engine;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    const writes = transaction.then.some(({kind}) => kind !== 'get');
    return this.#call(writes, () => this.#engine.commit(transaction));
  }

  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call(true, () => this.#engine.grant(ttlSeconds));
  }

  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure> {
    return this.#call(true, () => this.#engine.keepAlive(lease));
  }

  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure> {
    return this.#call(true, () => {
      this.#engine.revoke(lease);
    });
  }

  watch(): Watch {
    return {close: () => undefined};
  }

  #call<Value>(writes: boolean, effect: () => Value): ResultAsync<Value, StoreFailure> {
    if (this.isDown) {
      const failure: StoreFailure = {kind: 'unavailable', message: 'the store is down'};
      return new ResultAsync(Promise.resolve(err(failure)));
    }
    const timeoutFailure: StoreFailure = {
      kind: writes ? 'unknown' : 'unavailable',
      message: 'deadline',
    };
    const result = new Promise<Result<Value, StoreFailure>>((resolve) => {
      this.#engine.calls.push(
        new GatedCall(
          effect,
          timeoutFailure,
          resolve as (result: Result<unknown, StoreFailure>) => void,
        ),
      );
    });
    return new ResultAsync(result);
  }
}
