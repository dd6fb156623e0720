/**
 * Decides which members may be removed: their tenure key is gone, and either the platform has ended
 * their VM, or so many of their electors have denied them or are gone themselves that no majority
 * can vouch for them any more.
 */

import type {IncarnationId, Instant} from '@nutmegproxy/core';
import type {MemberRecord} from '@nutmegproxy/schema';

import {after, brand} from '@nutmegproxy/core';
import {validateDenyAnswer} from '@nutmegproxy/schema';

import type {MembershipParts} from './MembershipServices.ts';

import {findMember} from './AllotmentRecordUtils.ts';
import {PEER_TIMEOUT_MS} from './MembershipConstants.ts';
import {denyMember, MESSAGE_TYPES} from './MembershipMessages.ts';
import {countMajority, lengthen} from './TenureState.ts';

export class Takeover {
  readonly #denials = new Map<IncarnationId, Set<string>>();
  readonly #parts: MembershipParts;

  constructor(parts: MembershipParts) {
    this.#parts = parts;
  }

  /** Members of the newest reading that may be removed on condition that their key is absent. */
  async findRemovable(): Promise<readonly IncarnationId[]> {
    const {node, view} = this.#parts;
    const keyless = view.record.members.filter(
      ({incarnation}) =>
        incarnation !== node.identity.incarnation && !view.reading.tenures.has(brand(incarnation)),
    );
    this.#forgetOthers(keyless);
    await Promise.all(keyless.map((member) => this.#collectDenials(member)));
    const now = this.#parts.now();
    return keyless
      .filter((member) => this.#isRemovable(member, now))
      .map(({incarnation}) => brand<IncarnationId>(incarnation));
  }

  async #collectDenials(member: MemberRecord): Promise<void> {
    const incarnation = brand<IncarnationId>(member.incarnation);
    const denials = this.#denials.get(incarnation) ?? new Set<string>();
    this.#denials.set(incarnation, denials);
    const open = member.electors.filter((each) => !denials.has(each) && each !== incarnation);
    await Promise.all(
      open.map(async (elector) => {
        if (await this.#askDenial(elector, incarnation)) {
          denials.add(elector);
        }
      }),
    );
  }

  async #askDenial(elector: string, incarnation: IncarnationId): Promise<boolean> {
    const {mesh, node, view} = this.#parts;
    if (elector === node.identity.incarnation) {
      return denyMember(this.#parts, incarnation);
    }
    const member = findMember(view.record, elector);
    if (member === undefined) {
      return false;
    }
    const message = {body: {incarnation}, type: MESSAGE_TYPES.deny};
    const answer = await mesh.request(brand(member.vm), brand(elector), message, PEER_TIMEOUT_MS);
    return answer.isOk() && validateDenyAnswer(answer.value) && answer.value.denied;
  }

  #forgetOthers(keyless: readonly MemberRecord[]): void {
    const wanted = new Set(keyless.map(({incarnation}) => incarnation));
    for (const incarnation of [...this.#denials.keys()].filter((each) => !wanted.has(each))) {
      this.#denials.delete(incarnation);
    }
  }

  /** Since when a member's VM is known to have been ended by the platform. */
  #endedSince({incarnation, peerAddress, vm}: MemberRecord): Instant | undefined {
    const {departures, mesh, view} = this.#parts;
    const linked = mesh.peers().some(({identity}) => identity.incarnation === incarnation);
    if (linked || view.reading.tenures.has(brand(incarnation))) {
      return undefined;
    }
    return departures.departedSince(brand(vm), peerAddress.slice(0, peerAddress.lastIndexOf(':')));
  }

  /** Whether an elector's last vouch, given before its VM was ended, counts no more. */
  #isElectorEnded(incarnation: string, now: Instant): boolean {
    const {periods, view} = this.#parts;
    const elector = findMember(view.record, incarnation);
    const since = elector === undefined ? undefined : this.#endedSince(elector);
    return since !== undefined && now >= after(since, lengthen(periods.vouchPeriodMs));
  }

  #isRemovable(member: MemberRecord, now: Instant): boolean {
    const {electors, incarnation} = member;
    const {periods, view} = this.#parts;
    if (this.#endedSince(member) !== undefined) {
      return true;
    }
    if (view.keyless.lasts(incarnation, lengthen(periods.outageLimitMs), now)) {
      return true;
    }
    const denials = this.#denials.get(brand(incarnation));
    const vouchMs = lengthen(periods.vouchPeriodMs);
    // A removed elector vouched last before its removal, so one vouch period later it counts no more.
    const able = electors.filter(
      (each) =>
        denials?.has(each) !== true &&
        !view.absentElectors.lasts(each, vouchMs, now) &&
        !this.#isElectorEnded(each, now),
    );
    return able.length < countMajority(electors.length);
  }
}
