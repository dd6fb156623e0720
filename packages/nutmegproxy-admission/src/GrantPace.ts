/**
 * The pace at which waiting requests of one class are granted slots. It shows what the other class,
 * slow minions and lent slots leave, which no count of slots does.
 */

import type {Instant} from '@nutmegproxy/core';

import {PACE_MIN_GRANTS, PACE_WEIGHT} from './AdmissionConstants.ts';

export class GrantPace {
  #gapMs = 0;
  #grants = 0;
  #latest: Instant | undefined;

  /** No request of the class waits any more. */
  pause(): void {
    this.#latest = undefined;
  }

  /** A request that waited was granted a slot. */
  grant(now: Instant): void {
    if (this.#latest !== undefined) {
      const gapMs = now - this.#latest;
      const weight = Math.max(PACE_WEIGHT, 1 / (this.#grants + 1));
      this.#gapMs += weight * (gapMs - this.#gapMs);
      this.#grants += 1;
    }
    this.#latest = now;
  }

  /** The wait behind `ahead` waiting requests; undefined while too few grants were seen. */
  predictWaitMs(ahead: number, now: Instant): number | undefined {
    if (this.#grants < PACE_MIN_GRANTS || this.#latest === undefined) {
      return undefined;
    }
    const stalledMs = Math.max(0, now - this.#latest - this.#gapMs);
    return (ahead + 1) * this.#gapMs + stalledMs;
  }
}
