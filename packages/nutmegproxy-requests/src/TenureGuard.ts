/** Ends requests at minions when tenure was lost so long ago that others may use the slots soon. */

import type {Instant} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';

import {DEFAULT_PERIODS} from '@nutmegproxy/membership';

import {ABORT_DEADLINE} from './Call.ts';
import {SLOT_OVERRUN_FRACTION} from './RequestsConstants.ts';

/** Longest time at a minion after the right to its slot has ended. */
export const SLOT_OVERRUN_LIMIT_MS = DEFAULT_PERIODS.requestLimitMs * SLOT_OVERRUN_FRACTION;

/** Knows the requests that are at minions. */
export class TenureGuard {
  readonly #abortControllers = new Set<AbortController>();
  #lostAt: Instant | undefined;
  readonly #membership: Membership;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** Aborts what is at minions when its time after the loss of tenure is over. */
  abortOverdue(now: Instant): void {
    if (this.#membership.holdsTenure(now)) {
      this.#lostAt = undefined;
      return;
    }
    this.#lostAt ??= Math.min(now, this.#membership.tenureEnds()) as Instant;
    if (now - this.#lostAt < SLOT_OVERRUN_LIMIT_MS) {
      return;
    }
    for (const abort of this.#abortControllers) {
      abort.abort(ABORT_DEADLINE);
    }
  }

  /** Runs `work` with `abort` being called when tenure is gone for too long. */
  async watch<Value>(abort: AbortController, run: () => Promise<Value>): Promise<Value> {
    this.#abortControllers.add(abort);
    try {
      return await run();
    } finally {
      this.#abortControllers.delete(abort);
    }
  }
}
