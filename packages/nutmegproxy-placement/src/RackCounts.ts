/** Running attempts of each entry in each rack. */

import type {EntryId, RackId} from '@nutmegproxy/core';

/** Counts attempts by entry and rack. */
export class RackCounts {
  readonly #counts = new Map<string, number>();

  change(entry: EntryId, rack: RackId | undefined, delta: number): void {
    if (rack === undefined) {
      return;
    }
    const key = toKey(entry, rack);
    const count = this.count(entry, rack) + delta;
    if (count > 0) {
      this.#counts.set(key, count);
    } else {
      this.#counts.delete(key);
    }
  }

  count(entry: EntryId, rack: RackId): number {
    return this.#counts.get(toKey(entry, rack)) ?? 0;
  }
}

function toKey(entry: EntryId, rack: RackId): string {
  return `${entry} ${rack}`;
}
