/** Loans that this process has granted. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {MAX_LOANS} from './MembershipConstants.ts';
import {lengthen} from './TenureState.ts';

/** The slots of this process that peers may borrow. */
export interface SlotLender {
  /** Slots that were lent are back. */
  restore(minion: MinionId, count: number): void;
  /** Deducts up to `count` idle slots of this process's own share and returns how many. */
  take(minion: MinionId, count: number): number;
}

/** What a borrower asks for. */
export interface LoanWish {
  readonly borrower: string;
  readonly count: number;
  readonly id: string;
  readonly minion: MinionId;
}

interface LentLoan {
  readonly borrower: string;
  count: number;
  /** Instant after which the borrower uses the slots no more, whatever messages were lost. */
  lapses: Instant;
  readonly minion: MinionId;
}

export class LentSlots {
  readonly #holdMs: number;
  readonly #lender: SlotLender;
  readonly #loans = new Map<string, LentLoan>();

  /** A loan is used at most for its term, and its last request for the request limit after it. */
  constructor(lender: SlotLender, loanTermMs: number, requestLimitMs: number) {
    this.#holdMs = lengthen(loanTermMs + requestLimitMs);
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
  expire(now: Instant): void {
    for (const [id, loan] of this.#loans) {
      if (now >= loan.lapses) {
        this.reduce(id, loan.borrower, 0);
      }
    }
  }

  /**
   * Grants a loan; a repeated request gets what is left of the first one. Only slots of the own
   * share are lent: those that are borrowed may have to go back before the new loan ends.
   */
  grant(
    {borrower, count, id, minion}: LoanWish,
    now: Instant,
    ownShare: (minion: MinionId) => number,
  ): number {
    const known = this.#loans.get(id);
    if (known !== undefined) {
      return known.borrower === borrower ? known.count : 0;
    }
    const lendable = Math.min(count, ownShare(minion) - this.count(minion));
    const mayTake = lendable > 0 && this.#loans.size < MAX_LOANS;
    const taken = mayTake ? this.#lender.take(minion, lendable) : 0;
    if (taken > 0) {
      const lapses = after(now, this.#holdMs);
      this.#loans.set(id, {borrower, count: taken, lapses, minion});
    }
    return taken;
  }

  /** The borrower holds at most `left` slots of the loan; messages may repeat or change order. */
  reduce(id: string, borrower: string, left: number): void {
    const loan = this.#loans.get(id);
    if (loan?.borrower !== borrower || left >= loan.count) {
      return;
    }
    const back = loan.count - left;
    loan.count = left;
    if (left === 0) {
      this.#loans.delete(id);
    }
    this.#lender.restore(loan.minion, back);
  }

  /**
   * Extends a loan's term; false when there is no such loan any more, or when more is lent than
   * `ownShare` still allows, so that a member that gives slots up gets them back.
   */
  renew(
    id: string,
    borrower: string,
    now: Instant,
    ownShare: (minion: MinionId) => number,
  ): boolean {
    const loan = this.#loans.get(id);
    if (loan?.borrower !== borrower || now >= loan.lapses) {
      return false;
    }
    if (this.count(loan.minion) > ownShare(loan.minion)) {
      return false;
    }
    loan.lapses = after(now, this.#holdMs);
    return true;
  }
}
