/** Sums over the fleet, kept up to date with each change of a worker. */

import type {WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {WorkerLoad} from './WorkerLedger.ts';

import {MAX_HEADROOM_SHARE} from './LearnedConstants.ts';
import {
  addResources,
  fitsInto,
  maxResources,
  minResources,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
} from './ResourcesUtils.ts';

interface WorkerCapacity {
  readonly capacity: Resources;
  readonly free: Resources;
}

/** Total capacity and room of the workers that take tasks. */
export class FleetCapacity {
  #capacity = NO_RESOURCES;
  #free = NO_RESOURCES;
  #largest: Resources | undefined;
  readonly #overcommitted = new Set<WorkerId>();
  readonly #workers = new Map<WorkerId, WorkerCapacity>();

  /** Whether `amount` can be used up while `headroom`, within its limit, stays free. */
  fitsWithHeadroom(amount: Resources, headroom: Resources): boolean {
    const limit = scaleResources(this.#capacity, MAX_HEADROOM_SHARE);
    const limitedHeadroom = {...minResources(headroom, limit), accelerators: 0};
    return fitsInto(addResources(amount, limitedHeadroom), this.#free);
  }

  /** The largest capacity of any worker, kind by kind; undefined when there are none. */
  largestCapacity(): Resources | undefined {
    return this.#largest;
  }

  /** Workers whose reservations have grown above their capacity. */
  overcommitted(): ReadonlySet<WorkerId> {
    return this.#overcommitted;
  }

  update(worker: WorkerId, load: undefined | WorkerLoad): void {
    const previous = this.#workers.get(worker);
    this.#capacity = subtractResources(this.#capacity, previous?.capacity ?? NO_RESOURCES);
    this.#free = subtractResources(this.#free, previous?.free ?? NO_RESOURCES);
    this.#overcommitted.delete(worker);
    if (!load) {
      this.#workers.delete(worker);
      this.#updateLargest();
      return;
    }
    const {capacity, drained} = load.profile;
    const current = {
      capacity: drained ? NO_RESOURCES : capacity,
      free: drained ? NO_RESOURCES : load.free,
    };
    this.#workers.set(worker, current);
    this.#capacity = addResources(this.#capacity, current.capacity);
    this.#free = addResources(this.#free, current.free);
    this.#largest = maxResources(this.#largest ?? NO_RESOURCES, capacity);
    if (!fitsInto(load.reserved, capacity)) {
      this.#overcommitted.add(worker);
    }
  }

  #updateLargest(): void {
    // A worker's removal is rare, so this one look at all of them costs little.
    this.#largest = undefined;
    for (const {capacity} of this.#workers.values()) {
      this.#largest = maxResources(this.#largest ?? NO_RESOURCES, capacity);
    }
  }
}
