/** The event sink of a process: logs each event and keeps the newest in a ring buffer. */

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

/** Destination of log lines, which may drop lines before they are formatted. */
export interface LogDestination extends DestinationStream {
  /** Drops the next line if none of its frequency can be written now; returns whether it did. */
  dropIfExhausted?(isFrequent: boolean): boolean;
  /** Writes the lines that wait to be written with later ones. */
  flush?(): void;
}

export interface EventLogOptions {
  readonly clock: Clock;
  /** Destination of the log lines; standard output by default. */
  readonly destination?: LogDestination;
  readonly identity: NodeIdentity;
  /** Lowest level that is logged; the ring buffer keeps events of every level. */
  readonly level: EventLevel;
  readonly ringSize: number;
}

/** Logs events with a sequence number and keeps the newest for the timeline. */
export class EventLog implements EventSink {
  readonly #clock: Clock;
  readonly #destination: LogDestination | undefined;
  readonly #logger: Logger;
  readonly #ring: EventRing;

  constructor({clock, destination, identity, level, ringSize}: EventLogOptions) {
    const {dataCentre, incarnation, vm} = identity;
    const base = {dataCentre, incarnation, vm};
    this.#clock = clock;
    this.#destination = destination;
    this.#logger = pino({base, level}, destination ?? pino.destination({fd: 1, sync: true}));
    this.#ring = new EventRing(ringSize);
  }

  /** Sequence number of the newest event; 0 before the first. */
  get newestSequence(): number {
    return this.#ring.newestSequence;
  }

  record(kind: EventKind, fields: EventFields): void {
    const redacted = redact(fields);
    this.#ring.add(kind, redacted, this.#clock.wall());
    const isLogged = this.#logger.isLevelEnabled(kind.level);
    const isFrequent = kind.isFrequent === true;
    if (isLogged && this.#destination?.dropIfExhausted?.(isFrequent) === true) {
      return;
    }
    // A gap in the sequence numbers shows that log lines were dropped or lost.
    this.#logger[kind.level](
      {code: kind.code, fields: redacted, sequence: this.#ring.newestSequence},
      kind.text,
    );
    if (isLogged && !isFrequent) {
      this.#destination?.flush?.();
    }
  }

  /** Returns at most `limit` events after `sequence`, oldest first. */
  readAfter(sequence: number, limit: number): EventPage {
    return this.#ring.readAfter(sequence, limit);
  }
}
