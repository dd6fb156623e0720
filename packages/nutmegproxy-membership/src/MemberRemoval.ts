/**
 * Decides which members may be removed. Their tenure key must be missing, and either the platform
 * has terminated their VM, or so many of their electors have denied them or are gone that no
 * majority can vouch for them, or the outage limit has passed.
 */

import type {IncarnationId, Instant} from '@nutmegproxy/core';
import type {MemberRecord} from '@nutmegproxy/schema';

import {after, brand} from '@nutmegproxy/core';
import {validateDenyAnswer} from '@nutmegproxy/schema';

import type {MembershipContext} from './MembershipServices.ts';

import {findMember} from './AllotmentRecordUtils.ts';
import {PEER_TIMEOUT_MS} from './MembershipConstants.ts';
import {denyMember, MESSAGE_TYPES} from './MembershipMessages.ts';
import {addClockMargin, getMajoritySize} from './TenureState.ts';

export class MemberRemoval {
  readonly #denials = new Map<IncarnationId, Set<string>>();
  readonly #context: MembershipContext;

  constructor(context: MembershipContext) {
    this.#context = context;
  }

  /** Finds the members that may be removed if their tenure key is still absent at the write. */
  async findRemovableMembers(): Promise<readonly IncarnationId[]> {
    const {node, view} = this.#context;
    const candidates = view.record.members.filter(
      ({incarnation}) =>
        incarnation !== node.identity.incarnation && !view.reading.tenures.has(brand(incarnation)),
    );
    this.#removeOtherDenials(candidates);
    await Promise.all(candidates.map((member) => this.#collectDenials(member)));
    const now = this.#context.now();
    return candidates
      .filter((member) => this.#isRemovable(member, now))
      .map(({incarnation}) => brand<IncarnationId>(incarnation));
  }

  async #collectDenials(member: MemberRecord): Promise<void> {
    const incarnation = brand<IncarnationId>(member.incarnation);
    const denials = this.#denials.get(incarnation) ?? new Set<string>();
    this.#denials.set(incarnation, denials);
    const unresolved = member.electors.filter((each) => !denials.has(each) && each !== incarnation);
    await Promise.all(
      unresolved.map(async (elector) => {
        if (await this.#requestDenial(elector, incarnation)) {
          denials.add(elector);
        }
      }),
    );
  }

  async #requestDenial(elector: string, incarnation: IncarnationId): Promise<boolean> {
    const {mesh, node, view} = this.#context;
    if (elector === node.identity.incarnation) {
      return denyMember(this.#context, incarnation);
    }
    const member = findMember(view.record, elector);
    if (member === undefined) {
      return false;
    }
    const message = {body: {incarnation}, type: MESSAGE_TYPES.deny};
    const response = await mesh.request(brand(member.vm), brand(elector), message, PEER_TIMEOUT_MS);
    return response.isOk() && validateDenyAnswer(response.value) && response.value.denied;
  }

  #removeOtherDenials(candidates: readonly MemberRecord[]): void {
    const current = new Set(candidates.map(({incarnation}) => incarnation));
    for (const incarnation of [...this.#denials.keys()].filter((each) => !current.has(each))) {
      this.#denials.delete(incarnation);
    }
  }

  /** Returns since when a member's VM is known to be terminated by the platform. */
  #findVmEndTime({incarnation, peerAddress, vm}: MemberRecord): Instant | undefined {
    const {departures, mesh, view} = this.#context;
    const isLinked = mesh.peers().some(({identity}) => identity.incarnation === incarnation);
    if (isLinked || view.reading.tenures.has(brand(incarnation))) {
      return undefined;
    }
    return departures.departedSince(brand(vm), peerAddress.slice(0, peerAddress.lastIndexOf(':')));
  }

  /** Whether an elector's VM was terminated and its last vouch has expired since. */
  #isElectorVouchExpired(incarnation: string, now: Instant): boolean {
    const {periods, view} = this.#context;
    const elector = findMember(view.record, incarnation);
    const endedAt = elector === undefined ? undefined : this.#findVmEndTime(elector);
    return endedAt !== undefined && now >= after(endedAt, addClockMargin(periods.vouchPeriodMs));
  }

  #isRemovable(member: MemberRecord, now: Instant): boolean {
    const {electors, incarnation} = member;
    const {periods, view} = this.#context;
    if (this.#findVmEndTime(member) !== undefined) {
      return true;
    }
    if (
      view.membersWithoutTenure.hasLasted(incarnation, addClockMargin(periods.outageLimitMs), now)
    ) {
      return true;
    }
    const denials = this.#denials.get(brand(incarnation));
    const vouchMs = addClockMargin(periods.vouchPeriodMs);
    // A removed elector cannot vouch after its removal, so its vouches expire one period later.
    const possibleVouchers = electors.filter(
      (each) =>
        denials?.has(each) !== true &&
        !view.absentElectors.hasLasted(each, vouchMs, now) &&
        !this.#isElectorVouchExpired(each, now),
    );
    return possibleVouchers.length < getMajoritySize(electors.length);
  }
}
