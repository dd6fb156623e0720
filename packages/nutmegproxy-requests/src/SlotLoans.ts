/** Slots that move between entry VMs for a while. */

import type {Instant, MinionId} from '@nutmegproxy/core';

/** Borrowing from peers; the lender deducts before the borrower adds. */
export interface SlotLoans {
  /** Asks peers for idle slots of a minion; resolves to how many were lent, maybe 0. */
  borrow(minion: MinionId, count: number, now: Instant): Promise<number>;
  /**
   * Ends the loans whose term is over by `now`, as after a pause of the process; asked before
   * borrowed slots are used.
   */
  expire(now: Instant): void;
  /** Returns borrowed slots, which this process uses no longer. */
  giveBack(minion: MinionId, count: number): void;
}

/** What the loans feature asks of this process when peers borrow from it. */
export interface SlotLender {
  /** Slots were borrowed until now and may not be used for new requests any more. */
  end(minion: MinionId, count: number): void;
  /** Slots that were lent are back. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots of the own share and returns how many. */
  take(minion: MinionId, count: number): number;
}
