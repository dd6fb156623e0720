/** Mean and mean deviation of each entry's service time at the minions. */

import type {EntryId} from '@nutmegproxy/core';

import type {WaitingRequest} from './RequestQueue.ts';

import {
  SERVICE_TIME_ENTRIES_MAX,
  SERVICE_TIME_SHARE_MAX,
  SERVICE_TIME_WEIGHT,
} from './AdmissionConstants.ts';

interface ServiceTime {
  deviationMs: number;
  meanMs: number;
}

/** Keeps a bounded number of entries; the one added first is dropped first. */
export class ServiceTimes {
  readonly #times = new Map<EntryId, ServiceTime>();

  record(entry: EntryId, serviceMs: number): void {
    const known = this.#times.get(entry);
    if (known !== undefined) {
      const error = serviceMs - known.meanMs;
      known.meanMs += SERVICE_TIME_WEIGHT * error;
      known.deviationMs += SERVICE_TIME_WEIGHT * (Math.abs(error) - known.deviationMs);
      return;
    }
    const [oldest] = this.#times.keys();
    if (oldest !== undefined && this.#times.size >= SERVICE_TIME_ENTRIES_MAX) {
      this.#times.delete(oldest);
    }
    this.#times.set(entry, {deviationMs: serviceMs / 4, meanMs: serviceMs});
  }

  /** Returns the mean service time of the entry's requests; 0 when unknown. */
  meanMs(entry: EntryId): number {
    return this.#times.get(entry)?.meanMs ?? 0;
  }

  /**
   * Returns the time to reserve for the request at a minion: the mean plus `deviations` times the
   * mean deviation, at most a share of the request's time limit; 0 when unknown.
   */
  reserveMs({arrivedAt, deadline, entry}: WaitingRequest, deviations: number): number {
    const {deviationMs, meanMs} = this.#times.get(entry) ?? {deviationMs: 0, meanMs: 0};
    const longMs = meanMs + deviations * deviationMs;
    return Math.min(longMs, SERVICE_TIME_SHARE_MAX * (deadline - arrivedAt));
  }
}
