/** Keeps this process's tenure: renews the lease itself, through a peer, or asks for vouches. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';
import type {Peer} from '@nutmegproxy/peers';
import type {LeaseId, LeaseResponse} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {validateRelayAnswer, validateVouchAnswer} from '@nutmegproxy/schema';

import type {MembershipParts} from './MembershipServices.ts';
import type {RecordReading} from './RecordStore.ts';

import {findMember} from './AllotmentRecordUtils.ts';
import {LATE_SHARE, MAX_RELAYS, PEER_TIMEOUT_MS, RENEW_SHARE} from './MembershipConstants.ts';
import {MESSAGE_TYPES} from './MembershipMessages.ts';

export class TenureKeeper {
  /** The lease that the own tenure key is attached to, by a confirmed write. */
  #lease: LeaseId | undefined;
  readonly #parts: MembershipParts;

  constructor(parts: MembershipParts) {
    this.#parts = parts;
  }

  hasLease(): boolean {
    return this.#lease !== undefined;
  }

  /** Gets a lease; the instant is that of the call, from which its time to live counts. */
  async grant(): Promise<undefined | {readonly lease: LeaseId; readonly sent: Instant}> {
    const sent = this.#parts.now();
    const ttlSeconds = Math.ceil(this.#parts.periods.tenureTtlMs / 1_000);
    const answer = await this.#parts.store.grantLease(ttlSeconds);
    return answer.isOk() && this.#suffices(answer.value)
      ? {lease: answer.value.lease, sent}
      : undefined;
  }

  /** The own tenure key is attached to `lease`, which was granted at `sent`. */
  attach(lease: LeaseId, sent: Instant): void {
    this.#lease = lease;
    this.#parts.state.renewLease(sent);
  }

  /** Writes the own tenure key under a new lease, after the old lease has ended. */
  async regain(reading: RecordReading): Promise<void> {
    const granted = await this.grant();
    if (granted === undefined) {
      return;
    }
    const {lease, sent} = granted;
    const written = await this.#parts.recordStore.writeTenure(reading, {
      lease,
      record: this.describe(),
    });
    if (written) {
      this.attach(lease, sent);
    }
  }

  /** Content of the own tenure key. */
  describe() {
    const {incarnation, vm} = this.#parts.node.identity;
    return {incarnation, peerAddress: this.#parts.peerAddress, vm};
  }

  /** Ends the lease at once, after this process has left. */
  async revoke(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#parts.state.endLease(this.#parts.now());
    if (lease !== undefined) {
      await this.#parts.store.revokeLease(lease);
    }
  }

  /** Renews what is due at `now`. */
  async renew(now: Instant): Promise<void> {
    const {periods, state} = this.#parts;
    const age = now - state.leaseRenewed();
    if (age < periods.tenureTtlMs * RENEW_SHARE && this.#lease !== undefined) {
      return;
    }
    // Late renewals do not hold up the vouches: a call to a slow store may take its whole deadline.
    const late = age >= periods.tenureTtlMs * LATE_SHARE;
    const vouches = late ? this.#askVouches() : undefined;
    const renewed = this.#lease !== undefined && (await this.#renewLease(this.#lease));
    await (vouches ?? (renewed ? undefined : this.#askVouches()));
  }

  async #askVouches(): Promise<void> {
    const {node, view} = this.#parts;
    const own = node.identity.incarnation;
    const electors = (findMember(view.record, own)?.electors ?? []).filter((each) => each !== own);
    await Promise.all(electors.map((elector) => this.#askVouch(brand(elector))));
  }

  async #askVouch(elector: IncarnationId): Promise<void> {
    const {mesh, node, now, state, view} = this.#parts;
    const member = findMember(view.record, elector);
    if (member === undefined) {
      return;
    }
    const sent = now();
    const body = {incarnation: node.identity.incarnation};
    const message = {body, type: MESSAGE_TYPES.vouch};
    const answer = await mesh.request(brand(member.vm), elector, message, PEER_TIMEOUT_MS);
    if (answer.isOk() && validateVouchAnswer(answer.value) && answer.value.vouched) {
      state.vouch(elector, sent);
    }
  }

  /** Tries the store, then peers of the own data centre that may still reach it. */
  async #renewLease(lease: LeaseId): Promise<boolean> {
    const sent = this.#parts.now();
    const answer = await this.#parts.store.keepLeaseAlive(lease);
    if (answer.isErr()) {
      return this.#renewByRelay(lease);
    }
    if (!this.#suffices(answer.value)) {
      this.#lease = undefined;
      this.#parts.state.endLease(this.#parts.now());
      return false;
    }
    this.#parts.state.renewLease(sent);
    return true;
  }

  async #renewByRelay(lease: LeaseId): Promise<boolean> {
    const {dataCentre} = this.#parts.node.identity;
    const near = this.#parts.mesh.peers().filter((peer) => peer.identity.dataCentre === dataCentre);
    const asked = near.slice(0, MAX_RELAYS);
    const answers = await Promise.all(asked.map((peer) => this.#askRelay(peer, lease)));
    return answers.includes(true);
  }

  async #askRelay({identity}: Peer, lease: LeaseId): Promise<boolean> {
    const sent = this.#parts.now();
    const message = {body: {lease}, type: MESSAGE_TYPES.relay};
    const timeoutMs = 2 * PEER_TIMEOUT_MS;
    const answer = await this.#parts.mesh.request(
      identity.vm,
      identity.incarnation,
      message,
      timeoutMs,
    );
    const renewed = answer.isOk() && validateRelayAnswer(answer.value) && answer.value.renewed;
    // Meanwhile the lease may have been given up for another one.
    if (renewed && this.#lease === lease) {
      this.#parts.state.renewLease(sent);
    }
    return renewed;
  }

  #suffices(answer: LeaseResponse): boolean {
    return answer.ttlSeconds * 1_000 >= this.#parts.periods.tenureTtlMs;
  }
}
