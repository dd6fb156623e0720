/** Reservations of attempts on workers. */

import type {AttemptId, WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import {invariant} from '@nutmegproxy/core';

import type {PlacedAttempt, WorkerProfile} from './Placement.ts';

import {addResources, fitsInto, NO_RESOURCES, subtractResources} from './ResourcesUtils.ts';

/** A worker with its attempts, reserved amount and free capacity. */
export interface WorkerLoad {
  readonly attempts: ReadonlySet<AttemptId>;
  readonly free: Resources;
  readonly profile: WorkerProfile;
  readonly reserved: Resources;
}

interface WorkerState {
  readonly attempts: Set<AttemptId>;
  free: Resources;
  profile: WorkerProfile;
  reserved: Resources;
}

/** Called when a worker's free capacity or profile changes; `load` is undefined after removal. */
export type LoadListener = (worker: WorkerId, load: undefined | WorkerLoad) => void;

/** Keeps the reservations; the cost of an operation does not depend on the fleet's size. */
export class WorkerLedger {
  readonly #workers = new Map<WorkerId, WorkerState>();
  readonly #attempts = new Map<AttemptId, PlacedAttempt>();
  #cursor: IterableIterator<WorkerState> = this.#workers.values();
  readonly #listener: LoadListener;

  constructor(listener: LoadListener = () => undefined) {
    this.#listener = listener;
  }

  /** Adds a reservation unless the attempt already has one. */
  add(attempt: PlacedAttempt): void {
    const state = this.#workers.get(attempt.worker);
    if (this.#attempts.has(attempt.attempt)) {
      return;
    }
    this.#attempts.set(attempt.attempt, attempt);
    if (state) {
      state.attempts.add(attempt.attempt);
      this.#setReserved(state, addResources(state.reserved, attempt.reserved));
    }
  }

  attempt(id: AttemptId): PlacedAttempt | undefined {
    return this.#attempts.get(id);
  }

  load(worker: WorkerId): undefined | WorkerLoad {
    return this.#workers.get(worker);
  }

  loads(): IterableIterator<WorkerLoad> {
    return this.#workers.values();
  }

  /** Removes a reservation and returns its attempt. */
  remove(id: AttemptId): PlacedAttempt | undefined {
    const attempt = this.#attempts.get(id);
    if (!attempt) {
      return undefined;
    }
    this.#attempts.delete(id);
    const state = this.#workers.get(attempt.worker);
    if (state?.attempts.delete(id)) {
      this.#setReserved(state, subtractResources(state.reserved, attempt.reserved));
    }
    return attempt;
  }

  /** Removes a worker; its reservations are kept by attempt until they are released. */
  removeWorker(worker: WorkerId): void {
    this.#workers.delete(worker);
    this.#listener(worker, undefined);
  }

  /** Makes a new reservation; throws when it exceeds the worker's free capacity. */
  reserve(attempt: PlacedAttempt): void {
    const state = this.#workers.get(attempt.worker);
    invariant(
      state !== undefined && fitsInto(attempt.reserved, state.free),
      'placement: a reservation exceeds the free capacity of its worker',
    );
    this.add(attempt);
  }

  /** Changes the reserved amount of a running attempt. */
  resize(id: AttemptId, reserved: Resources): void {
    const attempt = this.#attempts.get(id);
    if (!attempt) {
      return;
    }
    this.#attempts.set(id, {...attempt, reserved});
    const state = this.#workers.get(attempt.worker);
    if (state) {
      const others = subtractResources(state.reserved, attempt.reserved);
      this.#setReserved(state, addResources(others, reserved));
    }
  }

  /** Yields up to `limit` workers; successive calls rotate through the fleet. */
  *sample(limit: number): Generator<WorkerLoad> {
    for (let count = Math.min(limit, this.#workers.size); count > 0; count -= 1) {
      let next = this.#cursor.next();
      if (next.done) {
        this.#cursor = this.#workers.values();
        next = this.#cursor.next();
      }
      if (next.done) {
        return;
      }
      yield next.value;
    }
  }

  setWorker(profile: WorkerProfile): void {
    const state = this.#workers.get(profile.id);
    if (state) {
      state.profile = profile;
      this.#setReserved(state, state.reserved);
      return;
    }
    this.#addWorker(profile);
  }

  #setReserved(state: WorkerState, reserved: Resources): void {
    // Discards accumulated rounding errors once the worker is empty.
    state.reserved = state.attempts.size === 0 ? NO_RESOURCES : reserved;
    state.free = subtractResources(state.profile.capacity, state.reserved);
    this.#listener(state.profile.id, state);
  }

  #addWorker(profile: WorkerProfile): void {
    const attempts = new Set<AttemptId>();
    let reserved = NO_RESOURCES;
    // A worker can be listed again while attempts on it still have reservations.
    for (const attempt of this.#attempts.values()) {
      if (attempt.worker === profile.id) {
        attempts.add(attempt.attempt);
        reserved = addResources(reserved, attempt.reserved);
      }
    }
    const state: WorkerState = {attempts, free: profile.capacity, profile, reserved};
    this.#workers.set(profile.id, state);
    this.#setReserved(state, reserved);
  }
}
