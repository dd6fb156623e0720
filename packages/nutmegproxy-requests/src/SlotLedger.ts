/** Accounts for the minion slots that this process may use and those in use. */

import type {MinionId} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

/** Slot counts. */
export interface SlotCounts {
  /** Temporarily negative if a loan expires before it is added. */
  borrowed: number;
  inFlight: number;
  lent: number;
  share: number;
}

/** Slots of one minion that are in use, borrowed or lent. */
export interface SlotUse {
  readonly borrowed: number;
  readonly inFlight: number;
  readonly lent: number;
}

/** Requests on borrowed slots may be aborted before their deadline. */
export type SlotOrigin = 'borrowed' | 'own';

/** Never revokes a slot in use, and never grants more slots than the capacity. */
export class SlotLedger {
  readonly #minions = new Map<MinionId, SlotCounts>();

  /** Acquires a slot and returns its origin, or undefined if none is idle. */
  acquire(minion: MinionId): SlotOrigin | undefined {
    const slots = this.#minions.get(minion);
    if (slots === undefined || computeIdleSlots(slots) < 1) {
      return undefined;
    }
    slots.inFlight += 1;
    return slots.inFlight <= slots.share - slots.lent ? 'own' : 'borrowed';
  }

  /** Adds slots borrowed from a peer. */
  addBorrowed(minion: MinionId, count: number): void {
    this.#getOrCreate(minion).borrowed += count;
  }

  borrowedMinions(): readonly MinionId[] {
    return [...this.#minions].filter(([, slots]) => slots.borrowed > 0).map(([minion]) => minion);
  }

  /** Usable slots: the share plus borrowed slots minus lent slots. */
  capacity(minion: MinionId): number {
    const slots = this.#minions.get(minion);
    return slots === undefined ? 0 : computeCapacity(slots);
  }

  /** Removes borrowed slots from the capacity; requests that use them may still finish. */
  endBorrowed(minion: MinionId, count: number): void {
    const slots = this.#getOrCreate(minion);
    slots.borrowed -= count;
    this.#prune(minion, slots);
  }

  idle(minion: MinionId): number {
    const slots = this.#minions.get(minion);
    return slots === undefined ? 0 : computeIdleSlots(slots);
  }

  inFlight(minion: MinionId): number {
    return this.#minions.get(minion)?.inFlight ?? 0;
  }

  /** Returns the current slot counts of a minion. */
  getUse(minion: MinionId): SlotUse {
    const {borrowed = 0, inFlight = 0, lent = 0} = this.#minions.get(minion) ?? {};
    return {borrowed, inFlight, lent};
  }

  /** Whether more slots are in use than the capacity, as after a loan expired. */
  isOverdrawn(minion: MinionId): boolean {
    const slots = this.#minions.get(minion);
    return slots !== undefined && slots.inFlight > computeCapacity(slots);
  }

  /** Whether the slots in use and lent fit within the share, without borrowed slots. */
  isWithinShare(minion: MinionId): boolean {
    const slots = this.#minions.get(minion);
    return slots === undefined || slots.inFlight + slots.lent <= slots.share;
  }

  /** Lends up to `count` idle slots of this process's share; returns the number lent. */
  lend(minion: MinionId, count: number): number {
    const slots = this.#minions.get(minion);
    if (slots === undefined) {
      return 0;
    }
    const idle = slots.share - slots.lent - slots.inFlight;
    const lent = Math.max(0, Math.min(count, idle));
    slots.lent += lent;
    return lent;
  }

  release(minion: MinionId): void {
    const slots = this.#getOrCreate(minion);
    invariant(slots.inFlight > 0, 'requests: released a slot that was not in use');
    slots.inFlight -= 1;
    this.#prune(minion, slots);
  }

  /** Restores lent slots that a peer has returned. */
  restoreLent(minion: MinionId, count: number): void {
    const slots = this.#getOrCreate(minion);
    slots.lent = Math.max(0, slots.lent - count);
    this.#prune(minion, slots);
  }

  /** Sets the shares of the allotment; missing minions get a share of 0. */
  setShares(shares: ReadonlyMap<MinionId, number>): void {
    for (const [minion, slots] of this.#minions) {
      slots.share = shares.get(minion) ?? 0;
      this.#prune(minion, slots);
    }
    for (const [minion, share] of shares) {
      if (share > 0) {
        this.#getOrCreate(minion).share = share;
      }
    }
  }

  /** Removes idle borrowed slots, to be returned to their lenders; returns their number. */
  takeBorrowed(minion: MinionId): number {
    const slots = this.#getOrCreate(minion);
    const count = Math.max(0, Math.min(slots.borrowed, computeIdleSlots(slots)));
    slots.borrowed -= count;
    this.#prune(minion, slots);
    return count;
  }

  /** Returns the counts summed over all minions. */
  totals(): Readonly<SlotCounts> {
    const totals: SlotCounts = {borrowed: 0, inFlight: 0, lent: 0, share: 0};
    for (const {borrowed, inFlight, lent, share} of this.#minions.values()) {
      totals.borrowed += borrowed;
      totals.inFlight += inFlight;
      totals.lent += lent;
      totals.share += share;
    }
    return totals;
  }

  #prune(minion: MinionId, slots: SlotCounts): void {
    if (Object.values(slots).every((count) => count === 0)) {
      this.#minions.delete(minion);
    }
  }

  #getOrCreate(minion: MinionId): SlotCounts {
    const existing = this.#minions.get(minion);
    if (existing !== undefined) {
      return existing;
    }
    const slots: SlotCounts = {borrowed: 0, inFlight: 0, lent: 0, share: 0};
    this.#minions.set(minion, slots);
    return slots;
  }
}

function computeCapacity({borrowed, lent, share}: SlotCounts): number {
  return Math.max(0, share + borrowed - lent);
}

function computeIdleSlots(slots: SlotCounts): number {
  return Math.max(0, computeCapacity(slots) - slots.inFlight);
}
