/** The event sink of the program: a log line on standard output and a place in the ring. */

import type {
  Clock,
  EventFields,
  EventKind,
  EventLevel,
  EventSink,
  NodeIdentity,
} from '@nutmegproxy/core';
import type {DestinationStream, Logger} from 'pino';

import {pino} from 'pino';

import type {EventPage} from './EventRing.ts';

import {EventRing} from './EventRing.ts';
import {redact} from './EventUtils.ts';

export interface EventLogOptions {
  readonly clock: Clock;
  /** Where log lines go; standard output by default. */
  readonly destination?: DestinationStream;
  readonly identity: NodeIdentity;
  /** Lowest level that is logged; the ring keeps every level. */
  readonly level: EventLevel;
  readonly ringSize: number;
}

/** Records numbered events; holds the newest for the time line. */
export class EventLog implements EventSink {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #ring: EventRing;

  constructor({clock, destination, identity, level, ringSize}: EventLogOptions) {
    const {dataCentre, incarnation, vm} = identity;
    const base = {dataCentre, incarnation, vm};
    this.#clock = clock;
    this.#logger = pino({base, level}, destination ?? pino.destination({fd: 1, sync: true}));
    this.#ring = new EventRing(ringSize);
  }

  /** Number of the newest event; 0 before the first. */
  get newestSequence(): number {
    return this.#ring.newestSequence;
  }

  record(kind: EventKind, fields: EventFields): void {
    const redacted = redact(fields);
    this.#ring.add(kind, redacted, this.#clock.wall());
    // A gap in the numbers shows that lines were left out or lost on their way.
    this.#logger[kind.level](
      {code: kind.code, fields: redacted, sequence: this.#ring.newestSequence},
      kind.text,
    );
  }

  /** At most `limit` events after `sequence`, oldest first. */
  readAfter(sequence: number, limit: number): EventPage {
    return this.#ring.readAfter(sequence, limit);
  }
}
