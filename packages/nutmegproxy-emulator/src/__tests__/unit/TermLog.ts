/** Keeps when owners of a fleet acquired and lost it, from the events of their VMs. */

import type {EventFields, EventKind} from '@nutmegproxy/core';

import {OWNER_EVENTS} from '@nutmegproxy/owner';

/** Number of terms that a description tells of. */
const DESCRIBED_TERMS = 4;

/** An ownership of the fleet; times in milliseconds. */
export interface Term {
  readonly acquiredMs: number;
  /** When a minion last carried out a start of it. */
  lastStartedMs: number | undefined;
  /** When its VM knew that it had ended. */
  lostMs: number | undefined;
  /** Its number among all terms of the fleet. */
  readonly number: number;
  /** When recovery ended. */
  recoveredMs: number | undefined;
  /** Tasks that were started before it. */
  readonly startedBefore: number;
  /** Starts that its VM sent after it knew that the ownership had ended. */
  startsAfterLoss: number;
  readonly vm: string;
}

/** Where and when an event was recorded; `started` is the number of tasks that were started by then. */
export interface EventOrigin {
  readonly nowMs: number;
  readonly started: number;
  readonly vm: string;
}

/**
 * @example
 * const log = new TermLog();
 * log.record(OWNER_EVENTS.OWNERSHIP_ACQUIRED, {term: 1}, {nowMs: 2_000, started: 0, vm: 'vm-1'});
 * log.terms.length; // 1
 */
export class TermLog {
  readonly #terms: Term[] = [];

  get terms(): readonly Term[] {
    return this.#terms;
  }

  clear(): void {
    this.#terms.length = 0;
  }

  /** Returns lines on the first terms, with times in milliseconds from an instant on. */
  describe(sinceMs: number): string[] {
    const format = (atMs: number | undefined): string =>
      atMs === undefined ? 'never' : String(Math.round(atMs - sinceMs));
    const lines = this.#terms
      .slice(0, DESCRIBED_TERMS)
      .map(
        ({acquiredMs, lostMs, recoveredMs, startedBefore, vm}) =>
          `${vm}: acquired ${format(acquiredMs)}, recovered ${format(recoveredMs)}, ` +
          `lost ${format(lostMs)}, ${startedBefore} started before`,
      );
    return [`${this.#terms.length} terms`, ...lines];
  }

  /** Returns the term of a number; undefined for one that was not recorded. */
  find(number: unknown): Term | undefined {
    return this.#terms.find((term) => term.number === number);
  }

  record(kind: EventKind, fields: EventFields, {nowMs, started, vm}: EventOrigin): void {
    const term = this.find(fields.term);
    if (kind === OWNER_EVENTS.OWNERSHIP_ACQUIRED) {
      this.#terms.push({
        acquiredMs: nowMs,
        lastStartedMs: undefined,
        lostMs: undefined,
        number: Number(fields.term),
        recoveredMs: undefined,
        startedBefore: started,
        startsAfterLoss: 0,
        vm,
      });
    } else if (kind === OWNER_EVENTS.OWNERSHIP_LOST && term !== undefined) {
      term.lostMs ??= nowMs;
    } else if (kind === OWNER_EVENTS.RECOVERY_DONE && term !== undefined) {
      term.recoveredMs = nowMs;
    }
  }
}
