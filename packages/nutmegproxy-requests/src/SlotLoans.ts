/** Temporary loans of slots between entry VMs. */

import type {Instant, MinionId} from '@nutmegproxy/core';

/** Borrowing from peers; the lender deducts before the borrower adds. */
export interface SlotLoans {
  /** Requests idle slots of a minion from peers; resolves to the number lent, which may be 0. */
  borrow(minion: MinionId, count: number, now: Instant): Promise<number>;
  /**
   * Ends the loans whose term has expired by `now`. Called before borrowed slots are used, since
   * the process may have been paused.
   */
  expire(now: Instant): void;
  /** Returns borrowed slots that this process no longer uses. */
  giveBack(minion: MinionId, count: number): void;
}

/** Interface through which the loans feature changes this process's slots. */
export interface SlotLender {
  /** Ends a loan: the borrowed slots may not be used for new requests. */
  end(minion: MinionId, count: number): void;
  /** Restores slots that were lent. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots of this process's share and returns their number. */
  take(minion: MinionId, count: number): number;
}
