/** Slot loans that this process has granted. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {MAX_LOANS} from './MembershipConstants.ts';
import {addClockMargin} from './TenureState.ts';

/** Access to the slots of this process that peers may borrow. */
export interface SlotLender {
  /** Makes returned slots available again. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots of this process's own share and returns how many. */
  take(minion: MinionId, count: number): number;
}

/** A borrower's request for slots. */
export interface BorrowRequest {
  readonly borrower: string;
  readonly count: number;
  readonly id: string;
  readonly minion: MinionId;
}

interface LentLoan {
  readonly borrower: string;
  count: number;
  /** Instant from which the borrower no longer uses the slots, even if messages were lost. */
  expiresAt: Instant;
  readonly minion: MinionId;
}

export class LentSlots {
  readonly #reservationMs: number;
  readonly #lender: SlotLender;
  readonly #loans = new Map<string, LentLoan>();

  /** Slots of a loan may be in use for its term plus the request limit of the last request. */
  constructor(lender: SlotLender, loanTermMs: number, requestLimitMs: number) {
    this.#reservationMs = addClockMargin(loanTermMs + requestLimitMs);
    this.#lender = lender;
  }

  /** Counts the slots of a minion that are currently lent. */
  count(minion: MinionId): number {
    return [...this.#loans.values()]
      .filter((loan) => loan.minion === minion)
      .reduce((sum, {count}) => sum + count, 0);
  }

  countAll(): number {
    return [...this.#loans.values()].reduce((sum, {count}) => sum + count, 0);
  }

  /** Reclaims the slots of expired loans. */
  reclaimExpired(now: Instant): void {
    for (const [id, loan] of this.#loans) {
      if (now >= loan.expiresAt) {
        this.reduce(id, loan.borrower, 0);
      }
    }
  }

  /**
   * Grants a loan and returns its slots; a repeated request returns what is left of the first loan.
   * Only slots of the own share are lent, since borrowed ones may be due back before the loan ends.
   */
  grant(
    {borrower, count, id, minion}: BorrowRequest,
    now: Instant,
    ownShare: (minion: MinionId) => number,
  ): number {
    const existing = this.#loans.get(id);
    if (existing !== undefined) {
      return existing.borrower === borrower ? existing.count : 0;
    }
    const lendable = Math.min(count, ownShare(minion) - this.count(minion));
    const canGrant = lendable > 0 && this.#loans.size < MAX_LOANS;
    const taken = canGrant ? this.#lender.take(minion, lendable) : 0;
    if (taken > 0) {
      const expiresAt = after(now, this.#reservationMs);
      this.#loans.set(id, {borrower, count: taken, expiresAt, minion});
    }
    return taken;
  }

  /** Reduces a loan to at most `remaining` slots; tolerates repeated and reordered messages. */
  reduce(id: string, borrower: string, remaining: number): void {
    const loan = this.#loans.get(id);
    if (loan?.borrower !== borrower || remaining >= loan.count) {
      return;
    }
    const returned = loan.count - remaining;
    loan.count = remaining;
    if (remaining === 0) {
      this.#loans.delete(id);
    }
    this.#lender.restore(loan.minion, returned);
  }

  /**
   * Extends a loan's term. Returns false when the loan no longer exists, or when more is lent than
   * `ownShare` allows, so that a member that releases slots gets them back.
   */
  extend(
    id: string,
    borrower: string,
    now: Instant,
    ownShare: (minion: MinionId) => number,
  ): boolean {
    const loan = this.#loans.get(id);
    if (loan?.borrower !== borrower || now >= loan.expiresAt) {
      return false;
    }
    if (this.count(loan.minion) > ownShare(loan.minion)) {
      return false;
    }
    loan.expiresAt = after(now, this.#reservationMs);
    return true;
  }
}
