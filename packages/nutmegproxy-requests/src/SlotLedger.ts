/** Slots of minions that this process may use, and those that it uses. */

import type {MinionId} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

/** Counts of slots. */
export interface SlotCounts {
  /** Below 0 for a moment when a loan ends before it is added. */
  borrowed: number;
  inFlight: number;
  lent: number;
  share: number;
}

/** Slots of one minion that are in use, and that move between peers. */
export interface SlotUse {
  readonly borrowed: number;
  readonly inFlight: number;
  readonly lent: number;
}

/** Requests on borrowed slots end sooner than their deadline may say. */
export type SlotOrigin = 'borrowed' | 'own';

/** Counts only; a slot in use is never taken away, and none is given out beyond the capacity. */
export class SlotLedger {
  readonly #minions = new Map<MinionId, SlotCounts>();

  /** Takes a slot and tells whose it is; undefined when none is idle. */
  acquire(minion: MinionId): SlotOrigin | undefined {
    const slots = this.#minions.get(minion);
    if (slots === undefined || computeIdleSlots(slots) < 1) {
      return undefined;
    }
    slots.inFlight += 1;
    return slots.inFlight <= slots.share - slots.lent ? 'own' : 'borrowed';
  }

  /** Adds slots that a peer has lent. */
  addBorrowed(minion: MinionId, count: number): void {
    this.#getOrCreate(minion).borrowed += count;
  }

  borrowedMinions(): readonly MinionId[] {
    return [...this.#minions].filter(([, slots]) => slots.borrowed > 0).map(([minion]) => minion);
  }

  /** Slots that may be used: the share, what is borrowed, less what is lent. */
  capacity(minion: MinionId): number {
    const slots = this.#minions.get(minion);
    return slots === undefined ? 0 : computeCapacity(slots);
  }

  /** Borrowed slots are not to be used any more; requests on them may still end. */
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

  /** How the slots of a minion stand at present. */
  getUse(minion: MinionId): SlotUse {
    const {borrowed = 0, inFlight = 0, lent = 0} = this.#minions.get(minion) ?? {};
    return {borrowed, inFlight, lent};
  }

  /** Whether more slots are in use than there are, as after the end of a loan. */
  isOverdrawn(minion: MinionId): boolean {
    const slots = this.#minions.get(minion);
    return slots !== undefined && slots.inFlight > computeCapacity(slots);
  }

  /** Whether no more slots are in use or lent than the share, even without what is borrowed. */
  isWithinShare(minion: MinionId): boolean {
    const slots = this.#minions.get(minion);
    return slots === undefined || slots.inFlight + slots.lent <= slots.share;
  }

  /** Takes up to `count` idle slots of the own share out for a peer; returns how many. */
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

  /** A peer has given back slots that were lent. */
  restoreLent(minion: MinionId, count: number): void {
    const slots = this.#getOrCreate(minion);
    slots.lent = Math.max(0, slots.lent - count);
    this.#prune(minion, slots);
  }

  /** Sets the shares of the allotment; a minion that is missing has none. */
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

  /** Takes out idle borrowed slots, to be given back; returns how many. */
  takeBorrowed(minion: MinionId): number {
    const slots = this.#getOrCreate(minion);
    const count = Math.max(0, Math.min(slots.borrowed, computeIdleSlots(slots)));
    slots.borrowed -= count;
    this.#prune(minion, slots);
    return count;
  }

  /** Counts over all minions. */
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
