/** What this process has promised about others: when it vouched, and whom it denies for good. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {MAX_DENIED_INCARNATIONS} from './MembershipConstants.ts';
import {addClockMargin} from './TenureState.ts';

export class VouchRegistry {
  readonly #deniedMembers = new Set<IncarnationId>();
  #isStopped = false;
  readonly #vouchPeriodMs: number;
  readonly #vouchedAt = new Map<IncarnationId, Instant>();

  constructor(vouchPeriodMs: number) {
    this.#vouchPeriodMs = vouchPeriodMs;
  }

  /**
   * Promises never to vouch for `member` again. Refused while an earlier vouch may still count, and
   * when no more denials can be remembered.
   */
  deny(member: IncarnationId, now: Instant): boolean {
    if (this.#deniedMembers.has(member)) {
      return true;
    }
    const vouchedAt = this.#vouchedAt.get(member);
    const mayStillCount =
      vouchedAt !== undefined && now < after(vouchedAt, addClockMargin(this.#vouchPeriodMs));
    if (mayStillCount || this.#deniedMembers.size >= MAX_DENIED_INCARNATIONS) {
      return false;
    }
    this.#vouchedAt.delete(member);
    this.#deniedMembers.add(member);
    return true;
  }

  isDenied(member: IncarnationId): boolean {
    return this.#deniedMembers.has(member);
  }

  /** Forgets incarnations that are in the record no more; they are never vouched for again. */
  retainMembers(members: ReadonlySet<IncarnationId>): void {
    for (const incarnation of [...this.#deniedMembers, ...this.#vouchedAt.keys()]) {
      if (!members.has(incarnation)) {
        this.#deniedMembers.delete(incarnation);
        this.#vouchedAt.delete(incarnation);
      }
    }
  }

  /** Ends all vouching, before this process leaves. */
  stopVouching(): void {
    this.#isStopped = true;
  }

  /** Vouches for a member of the record, unless it was denied. */
  vouch(member: IncarnationId, now: Instant): boolean {
    if (this.#isStopped || this.#deniedMembers.has(member)) {
      return false;
    }
    this.#vouchedAt.set(member, now);
    return true;
  }
}
