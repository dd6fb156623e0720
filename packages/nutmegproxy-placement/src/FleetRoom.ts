/** Sums over the fleet, kept up to date with each change of a worker. */

import type {WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {WorkerLoad} from './WorkerLedger.ts';

import {LARGEST_HEADROOM_SHARE} from './LearnedConstants.ts';
import {
  addResources,
  fitsInto,
  maxResources,
  minResources,
  NO_RESOURCES,
  scaleResources,
  subtractResources,
} from './ResourcesUtils.ts';

interface Part {
  readonly capacity: Resources;
  readonly free: Resources;
}

/** Total capacity and room of the workers that take tasks. */
export class FleetRoom {
  #capacity = NO_RESOURCES;
  #free = NO_RESOURCES;
  #largest: Resources | undefined;
  readonly #overfull = new Set<WorkerId>();
  readonly #parts = new Map<WorkerId, Part>();

  /** Whether `amount` can be used up while `headroom`, within its limit, stays free. */
  holds(amount: Resources, headroom: Resources): boolean {
    const limit = scaleResources(this.#capacity, LARGEST_HEADROOM_SHARE);
    const kept = {...minResources(headroom, limit), accelerators: 0};
    return fitsInto(addResources(amount, kept), this.#free);
  }

  /** The largest capacity of any worker, kind by kind; undefined when there are none. */
  largestWorker(): Resources | undefined {
    return this.#largest;
  }

  /** Workers whose reservations have grown above their capacity. */
  overfull(): ReadonlySet<WorkerId> {
    return this.#overfull;
  }

  update(worker: WorkerId, load: undefined | WorkerLoad): void {
    const before = this.#parts.get(worker);
    this.#capacity = subtractResources(this.#capacity, before?.capacity ?? NO_RESOURCES);
    this.#free = subtractResources(this.#free, before?.free ?? NO_RESOURCES);
    this.#overfull.delete(worker);
    if (!load) {
      this.#parts.delete(worker);
      this.#measureLargest();
      return;
    }
    const {capacity, drained} = load.profile;
    const part = {
      capacity: drained ? NO_RESOURCES : capacity,
      free: drained ? NO_RESOURCES : load.free,
    };
    this.#parts.set(worker, part);
    this.#capacity = addResources(this.#capacity, part.capacity);
    this.#free = addResources(this.#free, part.free);
    this.#largest = maxResources(this.#largest ?? NO_RESOURCES, capacity);
    if (!fitsInto(load.reserved, capacity)) {
      this.#overfull.add(worker);
    }
  }

  #measureLargest(): void {
    // A worker's removal is rare, so this one look at all of them costs little.
    this.#largest = undefined;
    for (const {capacity} of this.#parts.values()) {
      this.#largest = maxResources(this.#largest ?? NO_RESOURCES, capacity);
    }
  }
}
