/** The newest events of this process, in bounded memory, for the time line. */

import type {EventFields, EventKind, WallTime} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

/** One event as it is kept and answered to operators. */
export interface RecordedEvent {
  readonly code: number;
  readonly fields: EventFields;
  readonly level: EventKind['level'];
  /** Rises by one with each event of the process, from 1. */
  readonly sequence: number;
  readonly text: string;
  readonly wall: WallTime;
}

/** Events after a sequence number. */
export interface EventPage {
  readonly events: readonly RecordedEvent[];
  /** Events after the wanted number that the ring no longer holds. */
  readonly missed: number;
  /** Number to ask with next. */
  readonly next: number;
}

/** Keeps the newest `capacity` events. */
export class EventRing {
  readonly #capacity: number;
  #newestSequence = 0;
  readonly #entries: RecordedEvent[] = [];

  constructor(capacity: number) {
    invariant(capacity > 0, 'events: a ring without capacity');
    this.#capacity = capacity;
  }

  /** Number of the newest event; 0 before the first. */
  get newestSequence(): number {
    return this.#newestSequence;
  }

  add(kind: EventKind, fields: EventFields, wall: WallTime): void {
    this.#newestSequence += 1;
    const {code, level, text} = kind;
    this.#entries[this.#newestSequence % this.#capacity] = {
      code,
      fields,
      level,
      sequence: this.#newestSequence,
      text,
      wall,
    };
  }

  /** At most `limit` events with a number above `sequence`, oldest first. */
  readAfter(sequence: number, limit: number): EventPage {
    const oldest = Math.max(1, this.#newestSequence - this.#capacity + 1);
    const first = Math.max(sequence + 1, oldest);
    const last = Math.min(this.#newestSequence, first + limit - 1);
    const events: RecordedEvent[] = [];
    for (let number = first; number <= last; number += 1) {
      const event = this.#entries[number % this.#capacity];
      invariant(event !== undefined, 'events: a gap in the ring');
      events.push(event);
    }
    const missed = Math.max(0, oldest - sequence - 1);
    return {events, missed, next: Math.max(sequence, last)};
  }
}
