/**
 * Slots that members lend each other for a term. The lender deducts the slots before it responds.
 * The borrower counts the term from sending its request, the lender from granting it, so that a
 * lost, late or repeated message can only leave a slot unused for a while.
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
import {LOAN_REQUEST_TIMEOUT_MS, MAX_LENDERS_PER_BORROW} from './MembershipConstants.ts';
import {computeWeight} from './RendezvousHash.ts';

export interface SlotLoansOptions {
  readonly createLoanId?: () => string;
  readonly lender: SlotLender;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  /** Called when borrowed slots have expired and may not be used for new requests. */
  readonly onLoanExpired: (minion: MinionId, count: number) => void;
  readonly periods: Pick<MembershipPeriods, 'loanTermMs' | 'requestLimitMs'>;
}

interface Lender {
  readonly incarnation: IncarnationId;
  readonly vm: VmId;
}

const LOAN_MESSAGE_TYPES = {
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
        LOAN_MESSAGE_TYPES.borrow,
        (body, from, now) => this.#handleBorrowRequest(body, from, now),
        validateLoanRequest,
      ),
      mesh.registerHandler(
        LOAN_MESSAGE_TYPES.renew,
        (body, from, now) => this.#handleRenewal(body, from, now),
        validateLoanRenewal,
      ),
      mesh.registerHandler(
        LOAN_MESSAGE_TYPES.return,
        (body, from) => {
          this.#handleReturn(body, from);
        },
        validateLoanReturn,
      ),
    );
  }

  /** Requests idle slots of a minion from members; resolves to the number lent, possibly 0. */
  async borrow(minion: MinionId, count: number, now: Instant): Promise<number> {
    let borrowed = 0;
    let sentAt = now;
    for (const lender of this.#chooseLenders(minion)) {
      borrowed += await this.#borrowFrom(lender, minion, count - borrowed, sentAt);
      sentAt = this.#node.clock.monotonic();
      if (borrowed >= count) {
        break;
      }
    }
    return borrowed;
  }

  /** Returns the borrowed slots of each minion by lender. */
  borrowedFrom(): ReadonlyMap<IncarnationId, ReadonlyMap<MinionId, number>> {
    const byLender = new Map<IncarnationId, Map<MinionId, number>>();
    for (const {count, lender, minion} of this.#borrowed.list()) {
      const counts = byLender.get(lender) ?? new Map<MinionId, number>();
      counts.set(minion, (counts.get(minion) ?? 0) + count);
      byLender.set(lender, counts);
    }
    return byLender;
  }

  /**
   * Ends expired loans, both granted and borrowed. Called on each tick, and by the borrower before
   * it uses borrowed slots, since the process may have been paused in between.
   */
  expire(now: Instant): void {
    for (const {count, minion} of this.#borrowed.removeExpired(now)) {
      this.#options.onLoanExpired(minion, count);
    }
    this.#lent.reclaimExpired(now);
  }

  /** Returns borrowed slots that this process no longer uses. */
  giveBack(minion: MinionId, count: number): void {
    for (const loan of this.#borrowed.release(minion, count)) {
      this.#sendReturn(loan.lenderVm, loan.id, loan.count);
    }
  }

  /** Counts the slots of all minions that this process has borrowed. */
  countBorrowed(): number {
    return this.#borrowed.list().reduce((sum, {count}) => sum + count, 0);
  }

  /** Counts the slots of all minions that this process has lent. */
  countLent(): number {
    return this.#lent.countAll();
  }

  /** Counts the slots of a minion that this process has lent. */
  countLentOf(minion: MinionId): number {
    return this.#lent.count(minion);
  }

  /** Renews the loans whose renewal is due. */
  async renew(now: Instant): Promise<void> {
    await Promise.all(
      this.#borrowed.findDueForRenewal(now).map((loan) => this.#renewLoan(loan, now)),
    );
  }

  #handleBorrowRequest(body: unknown, from: NodeIdentity, now: Instant): unknown {
    if (!this.#canLendTo(from, now) || !validateLoanRequest(body)) {
      return {count: 0};
    }
    const {count: requested, loan: id, minion} = body;
    const request = {
      borrower: from.incarnation,
      count: requested,
      id,
      minion: brand<MinionId>(minion),
    };
    const count = this.#lent.grant(request, now, (each) => this.#options.membership.ownShare(each));
    return {count};
  }

  #handleRenewal(body: unknown, from: NodeIdentity, now: Instant): unknown {
    const ownShare = (minion: MinionId) => this.#options.membership.ownShare(minion);
    const renewed =
      this.#canLendTo(from, now) &&
      validateLoanRenewal(body) &&
      this.#lent.extend(body.loan, from.incarnation, now, ownShare);
    return {renewed};
  }

  async #borrowFrom(
    {incarnation, vm}: Lender,
    minion: MinionId,
    count: number,
    sentAt: Instant,
  ): Promise<number> {
    const id = this.#options.createLoanId?.() ?? randomUUID();
    const message = {body: {count, loan: id, minion}, type: LOAN_MESSAGE_TYPES.borrow};
    const response = await this.#options.mesh.request(
      vm,
      incarnation,
      message,
      LOAN_REQUEST_TIMEOUT_MS,
    );
    const lentCount =
      response.isOk() && validateLoanAnswer(response.value) ? response.value.count : 0;
    const now = this.#node.clock.monotonic();
    const loan = {count: lentCount, id, lender: incarnation, lenderVm: vm, minion};
    if (lentCount > 0 && lentCount <= count && this.#borrowed.add(loan, sentAt, now)) {
      return lentCount;
    }
    const mayBeLent = response.isOk() ? lentCount > 0 : response.error.kind === 'unknown';
    if (mayBeLent) {
      this.#sendReturn(vm, id, 0);
    }
    return 0;
  }

  /** Chooses the members with the most slots of the minion. */
  #chooseLenders(minion: MinionId): readonly Lender[] {
    const allotment = this.#options.membership.allotment();
    const shares = allotment?.minions.get(minion)?.shares ?? new Map<IncarnationId, number>();
    const own = this.#node.identity;
    return (
      [...shares]
        .filter(([incarnation, share]) => incarnation !== own.incarnation && share > 0)
        .map(([incarnation, share]) => ({member: allotment?.members.get(incarnation), share}))
        .filter(({member}) => member !== undefined)
        .map(({member, share}) => ({...(member as Lender), share}))
        // Ranked by borrower as well, so that not all processes ask the same lender first.
        .sort(
          (a, b) =>
            b.share - a.share ||
            (computeWeight(`${minion}|${own.vm}`, a) < computeWeight(`${minion}|${own.vm}`, b)
              ? 1
              : -1),
        )
        .slice(0, MAX_LENDERS_PER_BORROW)
    );
  }

  /** Without tenure nothing is lent or renewed, since another member may have the share by now. */
  #canLendTo(from: NodeIdentity, now: Instant): boolean {
    const {membership} = this.#options;
    const isMember = membership.allotment()?.members.has(from.incarnation) ?? false;
    return isMember && membership.holdsTenure(now);
  }

  async #renewLoan(loan: BorrowedLoan, sentAt: Instant): Promise<void> {
    loan.isRenewing = true;
    const message = {body: {loan: loan.id}, type: LOAN_MESSAGE_TYPES.renew};
    const {lender, lenderVm} = loan;
    const response = await this.#options.mesh.request(
      lenderVm,
      lender,
      message,
      LOAN_REQUEST_TIMEOUT_MS,
    );
    loan.isRenewing = false;
    if (response.isOk() && validateLoanRenewalAnswer(response.value) && response.value.renewed) {
      this.#borrowed.extend(loan.id, sentAt);
    }
  }

  #sendReturn(lender: VmId, loan: string, remaining: number): void {
    this.#options.mesh.send(lender, {
      body: {left: remaining, loan},
      type: LOAN_MESSAGE_TYPES.return,
    });
  }

  #handleReturn(body: unknown, from: NodeIdentity): void {
    if (validateLoanReturn(body)) {
      this.#lent.reduce(body.loan, from.incarnation, body.left);
    }
  }
}
