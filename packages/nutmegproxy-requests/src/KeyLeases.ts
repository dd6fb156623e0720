/** Store leases that let idempotency keys expire; one lease serves all keys of an hour. */

import type {Clock} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

import {KEY_LEASE_PERIOD_MS, KEY_RETENTION_MS} from './RequestsConstants.ts';

export class KeyLeases {
  readonly #clock: Clock;
  #currentLease: ResultAsync<LeaseId, StoreFailure> | undefined;
  #currentPeriod = -1;
  readonly #store: PlatformStore;

  constructor(store: PlatformStore, clock: Clock) {
    this.#clock = clock;
    this.#store = store;
  }

  /** The lease for keys that are taken now; concurrent callers share one grant. */
  getCurrent(): ResultAsync<LeaseId, StoreFailure> {
    const period = Math.floor(this.#clock.monotonic() / KEY_LEASE_PERIOD_MS);
    if (this.#currentLease !== undefined && period === this.#currentPeriod) {
      return this.#currentLease;
    }
    const ttlSeconds = (KEY_RETENTION_MS + KEY_LEASE_PERIOD_MS) / 1000;
    const lease = this.#store
      .grantLease(ttlSeconds)
      .map(({lease}) => lease)
      .mapErr((failure) => {
        this.invalidate();
        return failure;
      });
    this.#currentLease = lease;
    this.#currentPeriod = period;
    return lease;
  }

  /** The store does not know the lease any more. */
  invalidate(): void {
    this.#currentLease = undefined;
  }
}
