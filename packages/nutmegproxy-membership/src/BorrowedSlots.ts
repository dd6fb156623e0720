/** Loans that this process holds. */

import type {IncarnationId, Instant, MinionId, VmId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {LOAN_RENEW_AFTER_FRACTION, MAX_LOANS} from './MembershipConstants.ts';
import {subtractClockMargin} from './TenureState.ts';

export interface BorrowedLoan {
  count: number;
  expiresAt: Instant;
  readonly id: string;
  isRenewing: boolean;
  readonly lender: IncarnationId;
  readonly lenderVm: VmId;
  readonly minion: MinionId;
}

export class BorrowedSlots {
  readonly #loans = new Map<string, BorrowedLoan>();
  readonly #loanTermMs: number;

  constructor(loanTermMs: number) {
    this.#loanTermMs = loanTermMs;
  }

  /** Adds a loan requested at `sentAt`; returns false if it has expired or there are too many. */
  add(
    loan: Pick<BorrowedLoan, 'count' | 'id' | 'lender' | 'lenderVm' | 'minion'>,
    sentAt: Instant,
    now: Instant,
  ): boolean {
    const expiresAt = this.#computeExpiry(sentAt);
    if (now >= expiresAt || this.#loans.size >= MAX_LOANS) {
      return false;
    }
    this.#loans.set(loan.id, {...loan, expiresAt, isRenewing: false});
    return true;
  }

  /** Returns all loans. */
  list(): readonly BorrowedLoan[] {
    return [...this.#loans.values()];
  }

  /** Removes and returns the expired loans. */
  removeExpired(now: Instant): readonly BorrowedLoan[] {
    const expired = this.list().filter(({expiresAt}) => now >= expiresAt);
    for (const {id} of expired) {
      this.#loans.delete(id);
    }
    return expired;
  }

  /** Returns the loans whose renewal is due. */
  findDueForRenewal(now: Instant): readonly BorrowedLoan[] {
    const marginMs = subtractClockMargin(this.#loanTermMs) * (1 - LOAN_RENEW_AFTER_FRACTION);
    return this.list().filter(
      ({expiresAt, isRenewing}) => !isRenewing && now >= expiresAt - marginMs,
    );
  }

  /** Releases `count` slots of a minion, first to expire first; returns the changed loans. */
  release(minion: MinionId, count: number): readonly BorrowedLoan[] {
    const changed: BorrowedLoan[] = [];
    let remaining = count;
    const loans = this.list().filter((loan) => loan.minion === minion);
    for (const loan of loans.sort((a, b) => a.expiresAt - b.expiresAt)) {
      const returned = Math.min(remaining, loan.count);
      if (returned > 0) {
        remaining -= returned;
        loan.count -= returned;
        changed.push(loan);
      }
      if (loan.count === 0) {
        this.#loans.delete(loan.id);
      }
    }
    return changed;
  }

  /** Extends a loan after a successful renewal that was sent at `sentAt`. */
  extend(id: string, sentAt: Instant): void {
    const loan = this.#loans.get(id);
    if (loan !== undefined) {
      loan.expiresAt = Math.max(loan.expiresAt, this.#computeExpiry(sentAt)) as Instant;
    }
  }

  #computeExpiry(sentAt: Instant): Instant {
    return after(sentAt, subtractClockMargin(this.#loanTermMs));
  }
}
