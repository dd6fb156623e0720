/** A ring buffer of the newest events of this process, for the timeline. */

import type {EventFields, EventKind, WallTime} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

/** An event as it is stored and returned to operators. */
export interface RecordedEvent {
  readonly code: number;
  readonly fields: EventFields;
  readonly level: EventKind['level'];
  /** Sequence number: 1 for the first event of the process, then one higher for each event. */
  readonly sequence: number;
  readonly text: string;
  readonly wall: WallTime;
}

/** A page of the events after a sequence number. */
export interface EventPage {
  readonly events: readonly RecordedEvent[];
  /** Number of events after the requested sequence number that were overwritten. */
  readonly missed: number;
  /** Sequence number after which the next page starts. */
  readonly next: number;
}

/** Keeps the newest `capacity` events. */
export class EventRing {
  readonly #capacity: number;
  #newestSequence = 0;
  readonly #entries: RecordedEvent[] = [];

  constructor(capacity: number) {
    invariant(capacity > 0, 'events: ring capacity must be positive');
    this.#capacity = capacity;
  }

  /** Sequence number of the newest event; 0 before the first. */
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

  /** Returns at most `limit` events with a sequence number above `sequence`, oldest first. */
  readAfter(sequence: number, limit: number): EventPage {
    const oldest = Math.max(1, this.#newestSequence - this.#capacity + 1);
    const first = Math.max(sequence + 1, oldest);
    const last = Math.min(this.#newestSequence, first + limit - 1);
    const events: RecordedEvent[] = [];
    for (let number = first; number <= last; number += 1) {
      const event = this.#entries[number % this.#capacity];
      invariant(event !== undefined, 'events: missing entry in the ring buffer');
      events.push(event);
    }
    const missed = Math.max(0, oldest - sequence - 1);
    return {events, missed, next: Math.max(sequence, last)};
  }
}
