/** Tracks whether the store responds to this VM, from the outcomes of all calls to it. */

import type {EventSink, Instant} from '@nutmegproxy/core';

import {STORE_OUTAGE_AFTER_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

export class StoreHealth {
  readonly #events: EventSink;
  /** Time of the first failure since the last response; undefined when none. */
  #failingSince: Instant | undefined;
  #isUnavailable = false;

  constructor(events: EventSink) {
    this.#events = events;
  }

  /** Returns false once the store has not responded for `STORE_OUTAGE_AFTER_MS`. */
  isAvailable(now: Instant): boolean {
    return this.#failingSince === undefined || now - this.#failingSince < STORE_OUTAGE_AFTER_MS;
  }

  /** Returns the time in milliseconds since the first failure; 0 while the store responds. */
  getOutageMs(now: Instant): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince;
  }

  recordOutcome(isAnswered: boolean, now: Instant): void {
    if (isAnswered) {
      if (this.#isUnavailable) {
        const lostMs = Math.round(now - (this.#failingSince ?? now));
        this.#events.record(ENTRY_EVENTS.STORE_RECOVERED, {lostMs});
      }
      this.#failingSince = undefined;
      this.#isUnavailable = false;
      return;
    }
    this.#failingSince ??= now;
    if (!this.#isUnavailable && !this.isAvailable(now)) {
      this.#isUnavailable = true;
      const failingMs = Math.round(now - this.#failingSince);
      this.#events.record(ENTRY_EVENTS.STORE_UNAVAILABLE, {failingMs});
    }
  }
}
