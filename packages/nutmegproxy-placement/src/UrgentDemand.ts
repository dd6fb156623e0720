/** How much room latency-critical tasks have asked for at once, to be kept free of batch tasks. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import {addResources, maxResources, NO_RESOURCES, scaleResources} from './ResourcesUtils.ts';

/** Demand is summed over the time in which urgent work has to start. */
const WINDOW_MS = 7000;
/** The largest sum seen loses half of its weight in this time. */
const HALF_LIFE_MS = 600_000;

/** Tracks a fading sum of arrivals and its fading maximum. */
export class UrgentDemand {
  #at = 0;
  #largest: Resources = NO_RESOURCES;
  #sum: Resources = NO_RESOURCES;

  arrive(amount: Resources, now: Instant): void {
    this.#fade(now);
    this.#sum = addResources(this.#sum, amount);
    this.#largest = maxResources(this.#largest, this.#sum);
  }

  /** Room to keep free at `now`. */
  headroom(now: Instant): Resources {
    this.#fade(now);
    return this.#largest;
  }

  #fade(now: Instant): void {
    const elapsed = Math.max(0, now - this.#at);
    this.#at = now;
    this.#sum = scaleResources(this.#sum, Math.exp(-elapsed / WINDOW_MS));
    this.#largest = scaleResources(this.#largest, 0.5 ** (elapsed / HALF_LIFE_MS));
  }
}
