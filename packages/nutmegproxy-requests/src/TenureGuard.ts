/** Ends requests at minions when tenure was lost so long ago that others may use the slots soon. */

import type {Instant} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';

import {DEFAULT_PERIODS} from '@nutmegproxy/membership';

import {ABORT_DEADLINE} from './Call.ts';
import {TENURE_LOSS_SHARE} from './RequestsConstants.ts';

/** Longest time at a minion after the right to its slot has ended. */
export const EXCHANGE_LIMIT_MS = DEFAULT_PERIODS.requestLimitMs * TENURE_LOSS_SHARE;

/** Knows the requests that are at minions. */
export class TenureGuard {
  readonly #aborts = new Set<AbortController>();
  #lostAt: Instant | undefined;
  readonly #membership: Membership;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** Aborts what is at minions when its time after the loss of tenure is over. */
  check(now: Instant): void {
    if (this.#membership.holdsTenure(now)) {
      this.#lostAt = undefined;
      return;
    }
    this.#lostAt ??= Math.min(now, this.#membership.tenureExpiresAt()) as Instant;
    if (now - this.#lostAt < EXCHANGE_LIMIT_MS) {
      return;
    }
    for (const abort of this.#aborts) {
      abort.abort(ABORT_DEADLINE);
    }
  }

  /** Runs `work` with `abort` being called when tenure is gone for too long. */
  async watch<Value>(abort: AbortController, work: () => Promise<Value>): Promise<Value> {
    this.#aborts.add(abort);
    try {
      return await work();
    } finally {
      this.#aborts.delete(abort);
    }
  }
}
