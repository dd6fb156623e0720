/**
 * Slots that members lend each other for a term. The lender deducts before it answers; the borrower
 * counts the term from the instant at which it asked, the lender from when it granted, so that a
 * lost, late or repeated message can only keep a slot out of use for a while.
 */

import type {
  EntryNode,
  IncarnationId,
  Instant,
  MinionId,
  NodeIdentity,
  Unregister,
  VmId,
} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';

import {brand, mergeUnregister} from '@nutmegproxy/core';
import {
  validateLoanAnswer,
  validateLoanRenewal,
  validateLoanRenewalAnswer,
  validateLoanRequest,
  validateLoanReturn,
} from '@nutmegproxy/schema';
import {randomUUID} from 'node:crypto';

import type {BorrowedLoan} from './BorrowedSlots.ts';
import type {SlotLender} from './LentSlots.ts';
import type {Membership} from './Membership.ts';
import type {MembershipPeriods} from './MembershipServices.ts';

import {BorrowedSlots} from './BorrowedSlots.ts';
import {LentSlots} from './LentSlots.ts';
import {LOAN_TIMEOUT_MS, MAX_LENDERS_ASKED} from './MembershipConstants.ts';
import {weigh} from './Rendezvous.ts';

export interface SlotLoansOptions {
  readonly createLoanId?: () => string;
  readonly lender: SlotLender;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  /** Slots were borrowed until now and may not be used for new requests any more. */
  readonly onEnded: (minion: MinionId, count: number) => void;
  readonly periods: Pick<MembershipPeriods, 'loanTermMs' | 'requestLimitMs'>;
}

interface Holder {
  readonly incarnation: IncarnationId;
  readonly vm: VmId;
}

const LOAN_TYPES = {
  borrow: 'membership/borrow',
  renew: 'membership/renewLoan',
  return: 'membership/returnLoan',
} as const;

export class SlotLoans {
  readonly unregister: Unregister;
  readonly #borrowed: BorrowedSlots;
  readonly #lent: LentSlots;
  readonly #node: EntryNode;
  readonly #options: SlotLoansOptions;

  constructor(node: EntryNode, options: SlotLoansOptions) {
    const {lender, mesh, periods} = options;
    this.#borrowed = new BorrowedSlots(periods.loanTermMs);
    this.#lent = new LentSlots(lender, periods.loanTermMs, periods.requestLimitMs);
    this.#node = node;
    this.#options = options;
    this.unregister = mergeUnregister(
      mesh.registerHandler(
        LOAN_TYPES.borrow,
        (body, from, now) => this.#answerBorrow(body, from, now),
        validateLoanRequest,
      ),
      mesh.registerHandler(
        LOAN_TYPES.renew,
        (body, from, now) => this.#answerRenewal(body, from, now),
        validateLoanRenewal,
      ),
      mesh.registerHandler(
        LOAN_TYPES.return,
        (body, from) => {
          this.#takeReturn(body, from);
        },
        validateLoanReturn,
      ),
    );
  }

  /** Asks members for idle slots of a minion; resolves to how many were lent, maybe 0. */
  async borrow(minion: MinionId, count: number, now: Instant): Promise<number> {
    let borrowed = 0;
    let sent = now;
    for (const holder of this.#chooseLenders(minion)) {
      borrowed += await this.#borrowFrom(holder, minion, count - borrowed, sent);
      sent = this.#node.clock.monotonic();
      if (borrowed >= count) {
        break;
      }
    }
    return borrowed;
  }

  /** Slots of each minion that this process has borrowed, by the member that lent them. */
  borrowedFrom(): ReadonlyMap<IncarnationId, ReadonlyMap<MinionId, number>> {
    const byLender = new Map<IncarnationId, Map<MinionId, number>>();
    for (const {count, lender, minion} of this.#borrowed.all()) {
      const counts = byLender.get(lender) ?? new Map<MinionId, number>();
      counts.set(minion, (counts.get(minion) ?? 0) + count);
      byLender.set(lender, counts);
    }
    return byLender;
  }

  /**
   * Ends the loans whose term is over, on both sides. Called on each tick, and by the borrower
   * before it uses borrowed slots, since the process may have been paused meanwhile.
   */
  expire(now: Instant): void {
    for (const {count, minion} of this.#borrowed.expire(now)) {
      this.#options.onEnded(minion, count);
    }
    this.#lent.expire(now);
  }

  /** Returns borrowed slots, which this process uses no longer. */
  giveBack(minion: MinionId, count: number): void {
    for (const loan of this.#borrowed.reduce(minion, count)) {
      this.#sendReturn(loan.lenderVm, loan.id, loan.count);
    }
  }

  /** Slots of all minions that this process has borrowed. */
  countBorrowed(): number {
    return this.#borrowed.all().reduce((sum, {count}) => sum + count, 0);
  }

  /** Slots of all minions that this process has lent. */
  countLent(): number {
    return this.#lent.countAll();
  }

  /** Slots of a minion that this process has lent. */
  lent(minion: MinionId): number {
    return this.#lent.count(minion);
  }

  /** Renews the loans that are due. */
  async renew(now: Instant): Promise<void> {
    await Promise.all(this.#borrowed.findDue(now).map((loan) => this.#renewLoan(loan, now)));
  }

  #answerBorrow(body: unknown, from: NodeIdentity, now: Instant): unknown {
    if (!this.#maySlotsMove(from, now) || !validateLoanRequest(body)) {
      return {count: 0};
    }
    const {count: wanted, loan: id, minion} = body;
    const wish = {borrower: from.incarnation, count: wanted, id, minion: brand<MinionId>(minion)};
    const count = this.#lent.grant(wish, now, (each) => this.#options.membership.ownShare(each));
    return {count};
  }

  #answerRenewal(body: unknown, from: NodeIdentity, now: Instant): unknown {
    const ownShare = (minion: MinionId) => this.#options.membership.ownShare(minion);
    const renewed =
      this.#maySlotsMove(from, now) &&
      validateLoanRenewal(body) &&
      this.#lent.renew(body.loan, from.incarnation, now, ownShare);
    return {renewed};
  }

  async #borrowFrom(
    {incarnation, vm}: Holder,
    minion: MinionId,
    count: number,
    sent: Instant,
  ): Promise<number> {
    const id = this.#options.createLoanId?.() ?? randomUUID();
    const message = {body: {count, loan: id, minion}, type: LOAN_TYPES.borrow};
    const answer = await this.#options.mesh.request(vm, incarnation, message, LOAN_TIMEOUT_MS);
    const lent = answer.isOk() && validateLoanAnswer(answer.value) ? answer.value.count : 0;
    const now = this.#node.clock.monotonic();
    const loan = {count: lent, id, lender: incarnation, lenderVm: vm, minion};
    if (lent > 0 && lent <= count && this.#borrowed.add(loan, sent, now)) {
      return lent;
    }
    const mayBeLent = answer.isOk() ? lent > 0 : answer.error.kind === 'unknown';
    if (mayBeLent) {
      this.#sendReturn(vm, id, 0);
    }
    return 0;
  }

  /** Members with most slots of the minion first. */
  #chooseLenders(minion: MinionId): readonly Holder[] {
    const allotment = this.#options.membership.allotment();
    const shares = allotment?.minions.get(minion)?.shares ?? new Map<IncarnationId, number>();
    const own = this.#node.identity;
    return (
      [...shares]
        .filter(([incarnation, share]) => incarnation !== own.incarnation && share > 0)
        .map(([incarnation, share]) => ({member: allotment?.members.get(incarnation), share}))
        .filter(({member}) => member !== undefined)
        .map(({member, share}) => ({...(member as Holder), share}))
        // Ranked by borrower as well, so that not all processes ask the same lender first.
        .sort(
          (a, b) =>
            b.share - a.share ||
            (weigh(`${minion}|${own.vm}`, a) < weigh(`${minion}|${own.vm}`, b) ? 1 : -1),
        )
        .slice(0, MAX_LENDERS_ASKED)
    );
  }

  /** Without tenure nothing is lent or renewed: the share may be another member's by now. */
  #maySlotsMove(from: NodeIdentity, now: Instant): boolean {
    const {membership} = this.#options;
    const known = membership.allotment()?.members.has(from.incarnation) ?? false;
    return known && membership.holdsTenure(now);
  }

  async #renewLoan(loan: BorrowedLoan, sent: Instant): Promise<void> {
    loan.renewing = true;
    const message = {body: {loan: loan.id}, type: LOAN_TYPES.renew};
    const {lender, lenderVm} = loan;
    const answer = await this.#options.mesh.request(lenderVm, lender, message, LOAN_TIMEOUT_MS);
    loan.renewing = false;
    if (answer.isOk() && validateLoanRenewalAnswer(answer.value) && answer.value.renewed) {
      this.#borrowed.renew(loan.id, sent);
    }
  }

  #sendReturn(lender: VmId, loan: string, left: number): void {
    this.#options.mesh.send(lender, {body: {left, loan}, type: LOAN_TYPES.return});
  }

  #takeReturn(body: unknown, from: NodeIdentity): void {
    if (validateLoanReturn(body)) {
      this.#lent.reduce(body.loan, from.incarnation, body.left);
    }
  }
}
