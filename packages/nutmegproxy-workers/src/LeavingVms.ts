/**
 * The VMs that were reported as leaving. A mark stays even if the VM list shows the VM as live; it
 * is only removed when the number of marks exceeds the capacity.
 */

import type {Instant} from '@nutmegproxy/core';
import type {LeavingMark} from '@nutmegproxy/schema';

interface StoredMark extends LeavingMark {
  readonly addedAt: Instant;
}

/** A VM is identified by id and address: the same id at another address is another VM. */
function markKey({address, vm}: LeavingMark): string {
  return `${vm} ${address}`;
}

export class LeavingVms {
  readonly #capacity: number;
  /** In insertion order. */
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

  /** Returns up to `limit` marks added at `since` or later, newest first. */
  addedSince(since: Instant, limit: number): readonly LeavingMark[] {
    return [...this.#marks.values()]
      .filter(({addedAt: learnedAt}) => learnedAt >= since)
      .slice(-limit)
      .reverse()
      .map(({address, vm}) => ({address, vm}));
  }

  /** Removes the oldest marks above the capacity; marks of listed VMs are removed last. */
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
