/** Recent peak demand of latency-critical tasks, which is kept free of batch tasks. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import {addResources, maxResources, NO_RESOURCES, scaleResources} from './ResourcesUtils.ts';

/** Time constant of the sum: the time within which a latency-critical task must start. */
const WINDOW_MS = 7000;
/** Half-life of the largest sum. */
const PEAK_HALF_LIFE_MS = 600_000;

/** Tracks an exponentially decaying sum of arrivals and its decaying maximum. */
export class LatencyCriticalDemand {
  #updatedAt = 0;
  #peak: Resources = NO_RESOURCES;
  #sum: Resources = NO_RESOURCES;

  add(amount: Resources, now: Instant): void {
    this.#decay(now);
    this.#sum = addResources(this.#sum, amount);
    this.#peak = maxResources(this.#peak, this.#sum);
  }

  /** Returns the capacity to keep free at `now`. */
  headroom(now: Instant): Resources {
    this.#decay(now);
    return this.#peak;
  }

  #decay(now: Instant): void {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = now;
    this.#sum = scaleResources(this.#sum, Math.exp(-elapsedMs / WINDOW_MS));
    this.#peak = scaleResources(this.#peak, 0.5 ** (elapsedMs / PEAK_HALF_LIFE_MS));
  }
}
