/** Actions of a simulation in the order of their time. */

import {findFirstIndex} from '@nutmegproxy/core';

interface AgendaEntry {
  readonly action: () => void;
  readonly atMs: number;
}

export class Agenda {
  /** Latest first, so that the next one is removed from the end. */
  readonly #entries: AgendaEntry[] = [];

  /** When the next action is due; Infinity when there is none. */
  get nextMs(): number {
    return this.#entries.at(-1)?.atMs ?? Infinity;
  }

  /** Adds an action; of those with the same time, the first one added runs first. */
  add(atMs: number, action: () => void): void {
    const index = findFirstIndex(this.#entries, (entry) => entry.atMs > atMs);
    this.#entries.splice(index, 0, {action, atMs});
  }

  /** Runs the next action, whenever it is due. */
  runNext(): void {
    this.#entries.pop()?.action();
  }

  /** Runs the actions that are due. */
  runUntil(nowMs: number): void {
    while (this.nextMs <= nowMs) {
      this.runNext();
    }
  }
}
