/** Spaces the store calls for idempotency keys, so that all entry VMs stay within a budget. */

import type {Instant} from '@nutmegproxy/core';

import {KEY_CALLS_BURST, KEY_CALLS_PER_SECOND} from './RequestsConstants.ts';

/** Token bucket; the budget is split evenly among the entry VMs. */
export class KeyPace {
  #calls: number = KEY_CALLS_BURST;
  readonly #countVms: () => number;
  #updatedAt: Instant | undefined;

  constructor(countVms: () => number) {
    this.#countVms = countVms;
  }

  /** Counts one call, and says how long it has to wait. */
  spend(now: Instant): number {
    const callsPerMs = KEY_CALLS_PER_SECOND / 1000 / Math.max(1, this.#countVms());
    const gained = (now - (this.#updatedAt ?? now)) * callsPerMs;
    this.#updatedAt = now;
    this.#calls = Math.min(KEY_CALLS_BURST, this.#calls + gained) - 1;
    return this.#calls >= 0 ? 0 : -this.#calls / callsPerMs;
  }
}
