/** Registers slot loans at a node. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';

import {mergeUnregister} from '@nutmegproxy/core';

import type {SlotLoansOptions} from './SlotLoans.ts';

import {LOAN_TICK_MS} from './MembershipConstants.ts';
import {registerLoanMetrics} from './MembershipMetrics.ts';
import {DEFAULT_PERIODS} from './registerMembership.ts';
import {SlotLoans} from './SlotLoans.ts';

/**
 * Enables this process to lend and borrow slots.
 *
 * @example
 * const {loans, unregister} = registerSlotLoans(node, {lender, membership, mesh, onLoanExpired});
 */
export function registerSlotLoans(
  node: EntryNode,
  options: Omit<SlotLoansOptions, 'periods'> & Partial<Pick<SlotLoansOptions, 'periods'>>,
): {loans: SlotLoans; unregister: Unregister} {
  const loans = new SlotLoans(node, {periods: DEFAULT_PERIODS, ...options});
  registerLoanMetrics(node, loans);
  const timer = setInterval(() => {
    const now = node.clock.monotonic();
    loans.expire(now);
    void loans.renew(now);
  }, LOAN_TICK_MS);
  timer.unref();
  const unregister = mergeUnregister(loans.unregister, () => {
    clearInterval(timer);
  });
  return {loans, unregister};
}
