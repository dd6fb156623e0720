/** A store whose every call waits for the test: before its effect and again before its answer. */

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
  expires: number;
  readonly ttlMs: number;
}

interface EngineValue extends StoredValue {
  readonly lease: LeaseId | undefined;
}

/** The state that all clients share, on the clock of the store. */
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
    const answers = operations.map((each): OperationResponse => {
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
      throw new Error('not needed here');
    });
    return {responses: answers, revision: this.#revision, succeeded};
  }

  grant(ttlSeconds: number): LeaseResponse {
    const lease = brand<LeaseId>(`lease-${this.#nextLease}`);
    this.#nextLease += 1;
    const ttlMs = ttlSeconds * 1_000;
    this.#leases.set(lease, {expires: this.#clock.monotonic() + ttlMs, ttlMs});
    return {lease, ttlSeconds};
  }

  keepAlive(lease: LeaseId): LeaseResponse {
    this.#expire();
    const found = this.#leases.get(lease);
    if (found === undefined) {
      return {lease, ttlSeconds: 0};
    }
    found.expires = this.#clock.monotonic() + found.ttlMs;
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
    for (const [id, {expires}] of this.#leases) {
      if (expires <= this.#clock.monotonic()) {
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

/** One call under way. `open` lets it go one stage further; `expire` is its deadline. */
export class GatedCall {
  readonly #effect: () => unknown;
  readonly #lost: StoreFailure;
  #outcome: undefined | {readonly answer: unknown};
  readonly #settle: (result: Result<unknown, StoreFailure>) => void;
  #settled = false;

  constructor(
    effect: () => unknown,
    lost: StoreFailure,
    settle: (result: Result<unknown, StoreFailure>) => void,
  ) {
    this.#effect = effect;
    this.#lost = lost;
    this.#settle = settle;
  }

  /** The caller gives up; the effect may still come. Returns whether the call is over. */
  expire(): boolean {
    this.#finish(err(this.#lost));
    return this.#outcome !== undefined;
  }

  /** Returns whether the call is over. */
  open(): boolean {
    if (this.#outcome === undefined) {
      this.#outcome = {answer: this.#effect()};
      return this.#settled;
    }
    this.#finish(ok(this.#outcome.answer));
    return true;
  }

  #finish(result: Result<unknown, StoreFailure>): void {
    this.#settled = true;
    this.#settle(result);
  }
}

/** One process's client. */
export class GatedStore implements PlatformStore {
  down = false;
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

  #call<Answer>(writes: boolean, effect: () => Answer): ResultAsync<Answer, StoreFailure> {
    if (this.down) {
      const failure: StoreFailure = {kind: 'unavailable', message: 'the store is down'};
      return new ResultAsync(Promise.resolve(err(failure)));
    }
    const lost: StoreFailure = {kind: writes ? 'unknown' : 'unavailable', message: 'deadline'};
    const answer = new Promise<Result<Answer, StoreFailure>>((resolve) => {
      this.#engine.calls.push(
        new GatedCall(effect, lost, resolve as (result: Result<unknown, StoreFailure>) => void),
      );
    });
    return new ResultAsync(answer);
  }
}
