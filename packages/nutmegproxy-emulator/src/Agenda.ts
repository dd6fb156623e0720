/** Actions of a simulation in the order of their time. */

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
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#entries[middle]?.atMs ?? 0) > atMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#entries.splice(low, 0, {action, atMs});
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
