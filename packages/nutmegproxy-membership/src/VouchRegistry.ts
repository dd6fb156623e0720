/** Guarantees that this process has given to others: its vouches and its permanent denials. */

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
   * Guarantees never to vouch for `member` again. Returns false while an earlier vouch may still
   * count, and when the limit of recorded denials is reached.
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

  /** Removes incarnations that are no longer in the record; they are never vouched for again. */
  retainMembers(members: ReadonlySet<IncarnationId>): void {
    for (const incarnation of [...this.#deniedMembers, ...this.#vouchedAt.keys()]) {
      if (!members.has(incarnation)) {
        this.#deniedMembers.delete(incarnation);
        this.#vouchedAt.delete(incarnation);
      }
    }
  }

  /** Stops all vouching before this process leaves. */
  stopVouching(): void {
    this.#isStopped = true;
  }

  /** Vouches for a member of the record unless it is denied; returns whether it vouched. */
  vouch(member: IncarnationId, now: Instant): boolean {
    if (this.#isStopped || this.#deniedMembers.has(member)) {
      return false;
    }
    this.#vouchedAt.set(member, now);
    return true;
  }
}
