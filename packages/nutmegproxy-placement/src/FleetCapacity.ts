/** Capacity sums over the fleet, updated with each change of a worker. */

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

/** Total and free capacity of the workers that accept tasks. */
export class FleetCapacity {
  #capacity = NO_RESOURCES;
  #free = NO_RESOURCES;
  #largest: Resources | undefined;
  readonly #overcommitted = new Set<WorkerId>();
  readonly #workers = new Map<WorkerId, WorkerCapacity>();

  /** Returns whether `amount` fits while `headroom`, up to its limit, stays free. */
  fitsWithHeadroom(amount: Resources, headroom: Resources): boolean {
    const limit = scaleResources(this.#capacity, MAX_HEADROOM_SHARE);
    const limitedHeadroom = {...minResources(headroom, limit), accelerators: 0};
    return fitsInto(addResources(amount, limitedHeadroom), this.#free);
  }

  /** Returns the largest capacity of any worker for each kind; undefined without workers. */
  largestCapacity(): Resources | undefined {
    return this.#largest;
  }

  /** Returns the workers whose reservations exceed their capacity. */
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
    // Scans all workers, which is acceptable because removals are rare.
    this.#largest = undefined;
    for (const {capacity} of this.#workers.values()) {
      this.#largest = maxResources(this.#largest ?? NO_RESOURCES, capacity);
    }
  }
}
