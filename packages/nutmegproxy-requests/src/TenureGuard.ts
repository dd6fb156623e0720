/** Aborts requests at minions after a loss of tenure, before other VMs may use their slots. */

import type {Instant} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';

import {DEFAULT_PERIODS} from '@nutmegproxy/membership';

import {ABORT_DEADLINE} from './Call.ts';
import {SLOT_OVERRUN_FRACTION} from './RequestsConstants.ts';

/** Maximum time a request may run on a minion after the right to its slot has ended. */
export const SLOT_OVERRUN_LIMIT_MS = DEFAULT_PERIODS.requestLimitMs * SLOT_OVERRUN_FRACTION;

/** Tracks the requests at minions. */
export class TenureGuard {
  readonly #abortControllers = new Set<AbortController>();
  #lostAt: Instant | undefined;
  readonly #membership: Membership;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** Aborts the requests at minions once tenure has been lost for `SLOT_OVERRUN_LIMIT_MS`. */
  abortOverdue(now: Instant): void {
    if (this.#membership.holdsTenure(now)) {
      this.#lostAt = undefined;
      return;
    }
    this.#lostAt ??= Math.min(now, this.#membership.tenureExpiresAt()) as Instant;
    if (now - this.#lostAt < SLOT_OVERRUN_LIMIT_MS) {
      return;
    }
    for (const abort of this.#abortControllers) {
      abort.abort(ABORT_DEADLINE);
    }
  }

  /** Calls `run`; aborts `abort` if tenure is lost for too long meanwhile. */
  async watch<Value>(abort: AbortController, run: () => Promise<Value>): Promise<Value> {
    this.#abortControllers.add(abort);
    try {
      return await run();
    } finally {
      this.#abortControllers.delete(abort);
    }
  }
}
