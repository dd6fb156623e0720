/** Spaces the store calls for idempotency keys, so that all entry VMs stay within a budget. */

import type {Instant} from '@nutmegproxy/core';

import {KEY_STORE_CALL_BURST, MAX_KEY_STORE_CALLS_PER_SECOND} from './RequestsConstants.ts';

/** Token bucket; the budget is split evenly among the entry VMs. */
export class KeyRateLimiter {
  readonly #countVms: () => number;
  #tokens: number = KEY_STORE_CALL_BURST;
  #updatedAt: Instant | undefined;

  constructor(countVms: () => number) {
    this.#countVms = countVms;
  }

  /** Reserves one call and returns the delay in milliseconds before it may start. */
  reserve(now: Instant): number {
    const callsPerMs = MAX_KEY_STORE_CALLS_PER_SECOND / 1000 / Math.max(1, this.#countVms());
    const refill = (now - (this.#updatedAt ?? now)) * callsPerMs;
    this.#updatedAt = now;
    this.#tokens = Math.min(KEY_STORE_CALL_BURST, this.#tokens + refill) - 1;
    return this.#tokens >= 0 ? 0 : -this.#tokens / callsPerMs;
  }
}
