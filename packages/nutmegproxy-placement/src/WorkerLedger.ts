/** Which attempts hold which reservation on which worker. */

import type {AttemptId, WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import {invariant} from '@nutmegproxy/core';

import type {PlacedAttempt, WorkerProfile} from './Placement.ts';

import {addResources, fitsInto, NO_RESOURCES, subtractResources} from './ResourcesUtils.ts';

/** A worker with what it holds. */
export interface WorkerLoad {
  readonly attempts: ReadonlySet<AttemptId>;
  readonly free: Resources;
  readonly profile: WorkerProfile;
  readonly reserved: Resources;
}

interface Account {
  readonly attempts: Set<AttemptId>;
  free: Resources;
  profile: WorkerProfile;
  reserved: Resources;
}

/** Called with each worker whose free capacity or profile has changed. */
export type LoadListener = (worker: WorkerId, load: undefined | WorkerLoad) => void;

/** Keeps the reservations; each operation costs the same whatever the fleet's size. */
export class WorkerLedger {
  readonly #accounts = new Map<WorkerId, Account>();
  readonly #attempts = new Map<AttemptId, PlacedAttempt>();
  #cursor: IterableIterator<Account> = this.#accounts.values();
  readonly #listener: LoadListener;

  constructor(listener: LoadListener = () => undefined) {
    this.#listener = listener;
  }

  /** Adds a reservation; a known attempt keeps the one it has. */
  add(attempt: PlacedAttempt): void {
    const account = this.#accounts.get(attempt.worker);
    if (this.#attempts.has(attempt.attempt)) {
      return;
    }
    this.#attempts.set(attempt.attempt, attempt);
    if (account) {
      account.attempts.add(attempt.attempt);
      this.#charge(account, addResources(account.reserved, attempt.reserved));
    }
  }

  attempt(id: AttemptId): PlacedAttempt | undefined {
    return this.#attempts.get(id);
  }

  load(worker: WorkerId): undefined | WorkerLoad {
    return this.#accounts.get(worker);
  }

  loads(): IterableIterator<WorkerLoad> {
    return this.#accounts.values();
  }

  /** Takes a reservation back and returns the attempt that held it. */
  remove(id: AttemptId): PlacedAttempt | undefined {
    const attempt = this.#attempts.get(id);
    if (!attempt) {
      return undefined;
    }
    this.#attempts.delete(id);
    const account = this.#accounts.get(attempt.worker);
    if (account?.attempts.delete(id)) {
      this.#charge(account, subtractResources(account.reserved, attempt.reserved));
    }
    return attempt;
  }

  /** Forgets a worker; reservations there are kept by id until they are released. */
  removeWorker(worker: WorkerId): void {
    this.#accounts.delete(worker);
    this.#listener(worker, undefined);
  }

  /** Makes a new reservation, which must fit. */
  reserve(attempt: PlacedAttempt): void {
    const account = this.#accounts.get(attempt.worker);
    invariant(
      account !== undefined && fitsInto(attempt.reserved, account.free),
      'placement: a reservation exceeds the free capacity of its worker',
    );
    this.add(attempt);
  }

  /** Changes the amount that a running attempt holds. */
  resize(id: AttemptId, reserved: Resources): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) {
      return;
    }
    this.#attempts.set(id, {...attempt, reserved});
    const account = this.#accounts.get(attempt.worker);
    if (account) {
      const others = subtractResources(account.reserved, attempt.reserved);
      this.#charge(account, addResources(others, reserved));
    }
  }

  /** Up to `limit` workers, going round the fleet from call to call. */
  *sample(limit: number): Generator<WorkerLoad> {
    for (let count = Math.min(limit, this.#accounts.size); count > 0; count -= 1) {
      let next = this.#cursor.next();
      if (next.done) {
        this.#cursor = this.#accounts.values();
        next = this.#cursor.next();
      }
      if (next.done) {
        return;
      }
      yield next.value;
    }
  }

  setWorker(profile: WorkerProfile): void {
    const account = this.#accounts.get(profile.id);
    if (account) {
      account.profile = profile;
      this.#charge(account, account.reserved);
      return;
    }
    this.#open(profile);
  }

  #charge(account: Account, reserved: Resources): void {
    // An empty worker has no rounding errors left over.
    account.reserved = account.attempts.size === 0 ? NO_RESOURCES : reserved;
    account.free = subtractResources(account.profile.capacity, account.reserved);
    this.#listener(account.profile.id, account);
  }

  #open(profile: WorkerProfile): void {
    const attempts = new Set<AttemptId>();
    let reserved = NO_RESOURCES;
    // A worker may come back into the list while attempts on it are still accounted for.
    for (const attempt of this.#attempts.values()) {
      if (attempt.worker === profile.id) {
        attempts.add(attempt.attempt);
        reserved = addResources(reserved, attempt.reserved);
      }
    }
    const account: Account = {attempts, free: profile.capacity, profile, reserved};
    this.#accounts.set(profile.id, account);
    this.#charge(account, reserved);
  }
}
