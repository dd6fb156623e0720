/** Loans that this process has granted. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {MAX_LOANS} from './MembershipConstants.ts';
import {addClockMargin} from './TenureState.ts';

/** The slots of this process that peers may borrow. */
export interface SlotLender {
  /** Slots that were lent are back. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots of this process's own share and returns how many. */
  take(minion: MinionId, count: number): number;
}

/** What a borrower asks for. */
export interface BorrowRequest {
  readonly borrower: string;
  readonly count: number;
  readonly id: string;
  readonly minion: MinionId;
}

interface LentLoan {
  readonly borrower: string;
  count: number;
  /** Instant after which the borrower uses the slots no more, whatever messages were lost. */
  expiresAt: Instant;
  readonly minion: MinionId;
}

export class LentSlots {
  readonly #reservationMs: number;
  readonly #lender: SlotLender;
  readonly #loans = new Map<string, LentLoan>();

  /** A loan is used at most for its term, and its last request for the request limit after it. */
  constructor(lender: SlotLender, loanTermMs: number, requestLimitMs: number) {
    this.#reservationMs = addClockMargin(loanTermMs + requestLimitMs);
    this.#lender = lender;
  }

  /** Slots of a minion that are lent at present. */
  count(minion: MinionId): number {
    return [...this.#loans.values()]
      .filter((loan) => loan.minion === minion)
      .reduce((sum, {count}) => sum + count, 0);
  }

  countAll(): number {
    return [...this.#loans.values()].reduce((sum, {count}) => sum + count, 0);
  }

  /** Takes back the loans that have lapsed. */
  reclaimExpired(now: Instant): void {
    for (const [id, loan] of this.#loans) {
      if (now >= loan.expiresAt) {
        this.reduce(id, loan.borrower, 0);
      }
    }
  }

  /**
   * Grants a loan; a repeated request gets what is left of the first one. Only slots of the own
   * share are lent: those that are borrowed may have to go back before the new loan ends.
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

  /** The borrower holds at most `left` slots of the loan; messages may repeat or change order. */
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
   * Extends a loan's term; false when there is no such loan any more, or when more is lent than
   * `ownShare` still allows, so that a member that gives slots up gets them back.
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
