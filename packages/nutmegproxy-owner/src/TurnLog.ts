/** Logs, at a bounded rate, turns of the event loop that took long, with the phase of their work. */

import type {EventSink, Instant, WorkTurn} from '@nutmegproxy/core';

import type {OwnerLoad} from './OwnerLoad.ts';

import {LONG_TURN_LOG_INTERVAL_MS, LONG_TURN_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface TurnLogOptions {
  readonly events: EventSink;
  readonly load: Pick<OwnerLoad, 'recordTurn'>;
  readonly term: number;
}

export class TurnLog {
  /** Long turns since the last line. */
  #count = 0;
  #loggedAt = -Infinity;
  readonly #options: TurnLogOptions;

  constructor(options: TurnLogOptions) {
    this.#options = options;
  }

  /** Records a turn that has ended. */
  record(turn: WorkTurn, now: Instant): void {
    const {events, load, term} = this.#options;
    load.recordTurn(turn);
    if (turn.durationMs < LONG_TURN_MS) {
      return;
    }
    this.#count += 1;
    if (now - this.#loggedAt < LONG_TURN_LOG_INTERVAL_MS) {
      return;
    }
    events.record(OWNER_EVENTS.LONG_TURN, {
      count: this.#count,
      phase: turn.phase,
      term,
      turnMs: Math.round(turn.durationMs),
      workMs: Math.round(turn.workMs),
    });
    this.#count = 0;
    this.#loggedAt = now;
  }
}
