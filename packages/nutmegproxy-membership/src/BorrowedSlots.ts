/** Loans that this process holds. */

import type {IncarnationId, Instant, MinionId, VmId} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {LOAN_RENEW_SHARE, MAX_LOANS} from './MembershipConstants.ts';
import {shorten} from './TenureState.ts';

export interface BorrowedLoan {
  count: number;
  ends: Instant;
  readonly id: string;
  readonly lender: IncarnationId;
  readonly lenderVm: VmId;
  readonly minion: MinionId;
  renewing: boolean;
}

export class BorrowedSlots {
  readonly #loans = new Map<string, BorrowedLoan>();
  readonly #loanTermMs: number;

  constructor(loanTermMs: number) {
    this.#loanTermMs = loanTermMs;
  }

  /** Takes in a loan that was asked for at `sent`; false when its term is over already. */
  add(
    loan: Pick<BorrowedLoan, 'count' | 'id' | 'lender' | 'lenderVm' | 'minion'>,
    sent: Instant,
    now: Instant,
  ): boolean {
    const ends = this.#termEnd(sent);
    if (now >= ends || this.#loans.size >= MAX_LOANS) {
      return false;
    }
    this.#loans.set(loan.id, {...loan, ends, renewing: false});
    return true;
  }

  /** Loans in use by lender, for those who want to know what a member has lent out. */
  all(): readonly BorrowedLoan[] {
    return [...this.#loans.values()];
  }

  /** Removes and returns the loans whose term is over. */
  expire(now: Instant): readonly BorrowedLoan[] {
    const over = this.all().filter(({ends}) => now >= ends);
    for (const {id} of over) {
      this.#loans.delete(id);
    }
    return over;
  }

  /** Loans whose renewal is due. */
  findDue(now: Instant): readonly BorrowedLoan[] {
    const marginMs = shorten(this.#loanTermMs) * (1 - LOAN_RENEW_SHARE);
    return this.all().filter(({ends, renewing}) => !renewing && now >= ends - marginMs);
  }

  /** Gives up `count` slots of a minion, from the loans that end first; returns those changed. */
  reduce(minion: MinionId, count: number): readonly BorrowedLoan[] {
    const changed: BorrowedLoan[] = [];
    let rest = count;
    const loans = this.all().filter((loan) => loan.minion === minion);
    for (const loan of loans.sort((a, b) => a.ends - b.ends)) {
      const back = Math.min(rest, loan.count);
      if (back > 0) {
        rest -= back;
        loan.count -= back;
        changed.push(loan);
      }
      if (loan.count === 0) {
        this.#loans.delete(loan.id);
      }
    }
    return changed;
  }

  /** A renewal that was sent at `sent` succeeded. */
  renew(id: string, sent: Instant): void {
    const loan = this.#loans.get(id);
    if (loan !== undefined) {
      loan.ends = Math.max(loan.ends, this.#termEnd(sent)) as Instant;
    }
  }

  #termEnd(sent: Instant): Instant {
    return after(sent, shorten(this.#loanTermMs));
  }
}
