/** Whether the store answers this VM, from the outcomes of all of its calls. */

import type {EventSink, Instant} from '@nutmegproxy/core';

import {STORE_SILENCE_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

export class StoreHealth {
  readonly #events: EventSink;
  /** First failure since the last answer; undefined when none. */
  #failingSince: Instant | undefined;
  #isLost = false;

  constructor(events: EventSink) {
    this.#events = events;
  }

  /** Whether calls that need the store have a chance. */
  isAvailable(now: Instant): boolean {
    return this.#failingSince === undefined || now - this.#failingSince < STORE_SILENCE_MS;
  }

  /** Time in milliseconds since the first failure; 0 while the store answers. */
  failingForMs(now: Instant): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince;
  }

  note(isAnswered: boolean, now: Instant): void {
    if (isAnswered) {
      if (this.#isLost) {
        const lostMs = Math.round(now - (this.#failingSince ?? now));
        this.#events.record(ENTRY_EVENTS.STORE_REGAINED, {lostMs});
      }
      this.#failingSince = undefined;
      this.#isLost = false;
      return;
    }
    this.#failingSince ??= now;
    if (!this.#isLost && !this.isAvailable(now)) {
      this.#isLost = true;
      const failingMs = Math.round(now - this.#failingSince);
      this.#events.record(ENTRY_EVENTS.STORE_LOST, {failingMs});
    }
  }
}
