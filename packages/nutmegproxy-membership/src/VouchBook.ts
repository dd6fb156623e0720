/** What this process has promised about others: when it vouched, and whom it denies for good. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {after} from '@nutmegproxy/core';

import {MAX_REMEMBERED_INCARNATIONS} from './MembershipConstants.ts';
import {lengthen} from './TenureState.ts';

export class VouchBook {
  readonly #denied = new Set<IncarnationId>();
  #stopped = false;
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
    if (this.#denied.has(member)) {
      return true;
    }
    const vouched = this.#vouchedAt.get(member);
    const counts = vouched !== undefined && now < after(vouched, lengthen(this.#vouchPeriodMs));
    if (counts || this.#denied.size >= MAX_REMEMBERED_INCARNATIONS) {
      return false;
    }
    this.#vouchedAt.delete(member);
    this.#denied.add(member);
    return true;
  }

  denies(member: IncarnationId): boolean {
    return this.#denied.has(member);
  }

  /** Forgets incarnations that are in the record no more; they are never vouched for again. */
  keepOnly(members: ReadonlySet<IncarnationId>): void {
    for (const incarnation of [...this.#denied, ...this.#vouchedAt.keys()]) {
      if (!members.has(incarnation)) {
        this.#denied.delete(incarnation);
        this.#vouchedAt.delete(incarnation);
      }
    }
  }

  /** Ends all vouching, before this process leaves. */
  stop(): void {
    this.#stopped = true;
  }

  /** Vouches for a member of the record, unless it was denied. */
  vouch(member: IncarnationId, now: Instant): boolean {
    if (this.#stopped || this.#denied.has(member)) {
      return false;
    }
    this.#vouchedAt.set(member, now);
    return true;
  }
}
