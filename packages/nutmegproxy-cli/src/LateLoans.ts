/** Joins requests and loans, which need each other: requests lend slots, and loans borrow them. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {SlotLoans} from '@nutmegproxy/requests';

import {invariant} from '@nutmegproxy/core';

/** Loans that are attached after requests were registered; nothing is lent before. */
export class LateLoans implements SlotLoans {
  #loans: SlotLoans | undefined;

  attach(loans: SlotLoans): void {
    invariant(this.#loans === undefined, 'cli: loans were attached twice');
    this.#loans = loans;
  }

  borrow(minion: MinionId, count: number, now: Instant): Promise<number> {
    return this.#loans?.borrow(minion, count, now) ?? Promise.resolve(0);
  }

  expire(now: Instant): void {
    this.#loans?.expire(now);
  }

  giveBack(minion: MinionId, count: number): void {
    this.#loans?.giveBack(minion, count);
  }
}
