/** Slots that move between entry VMs for a while. */

import type {Instant, MinionId} from '@nutmegproxy/core';

/** Borrowing from peers; the lender deducts before the borrower adds. */
export interface SlotLoans {
  /** Asks peers for idle slots of a minion; resolves to how many were lent, maybe 0. */
  borrow(minion: MinionId, count: number, now: Instant): Promise<number>;
  /** Returns borrowed slots, which this process uses no longer. */
  giveBack(minion: MinionId, count: number): void;
}

/** What the loans feature asks of this process when peers borrow from it. */
export interface SlotLender {
  /** Slots that were lent are back. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots and returns how many. */
  take(minion: MinionId, count: number): number;
}
