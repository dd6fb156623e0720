/** Store leases with which idempotency keys expire; all keys claimed in one hour share a lease. */

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

  /** Returns the lease for keys claimed now; concurrent callers share one grant. */
  getCurrent(): ResultAsync<LeaseId, StoreFailure> {
    const period = Math.floor(this.#clock.monotonic() / KEY_LEASE_PERIOD_MS);
    if (this.#currentLease !== undefined && period === this.#currentPeriod) {
      return this.#currentLease;
    }
    const ttlSeconds = (KEY_RETENTION_MS + KEY_LEASE_PERIOD_MS) / 1000;
    const grantedLease = this.#store
      .grantLease(ttlSeconds)
      .map(({lease}) => lease)
      .mapErr((failure) => {
        this.invalidate();
        return failure;
      });
    this.#currentLease = grantedLease;
    this.#currentPeriod = period;
    return grantedLease;
  }

  /** Discards the current lease, which the store no longer has. */
  invalidate(): void {
    this.#currentLease = undefined;
  }
}
