/** Which VMs were seen leaving. A mark stays whatever the list says; only its bound drops it. */

import type {Instant} from '@nutmegproxy/core';
import type {LeavingMark} from '@nutmegproxy/schema';

interface StoredMark extends LeavingMark {
  readonly addedAt: Instant;
}

/** A VM is an id at an address: the same id at another address is another VM. */
function markKey({address, vm}: LeavingMark): string {
  return `${vm} ${address}`;
}

export class LeavingVms {
  readonly #capacity: number;
  /** In order of learning. */
  readonly #marks = new Map<string, StoredMark>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Returns whether the mark is new. */
  add(mark: LeavingMark, now: Instant): boolean {
    const key = markKey(mark);
    if (this.#marks.has(key)) {
      return false;
    }
    this.#marks.set(key, {addedAt: now, address: mark.address, vm: mark.vm});
    return true;
  }

  has(mark: LeavingMark): boolean {
    return this.#marks.has(markKey(mark));
  }

  /** Marks learned at `since` or later, newest first. */
  addedSince(since: Instant, limit: number): readonly LeavingMark[] {
    return [...this.#marks.values()]
      .filter(({addedAt: learnedAt}) => learnedAt >= since)
      .slice(-limit)
      .reverse()
      .map(({address, vm}) => ({address, vm}));
  }

  /** Drops the oldest marks over the bound, those of VMs that are still listed last. */
  trim(isListed: (mark: LeavingMark) => boolean): void {
    if (this.#marks.size <= this.#capacity) {
      return;
    }
    const marks = [...this.#marks];
    const dropOrder = [
      ...marks.filter(([, mark]) => !isListed(mark)),
      ...marks.filter(([, mark]) => isListed(mark)),
    ];
    for (const [key] of dropOrder.slice(0, this.#marks.size - this.#capacity)) {
      this.#marks.delete(key);
    }
  }
}
