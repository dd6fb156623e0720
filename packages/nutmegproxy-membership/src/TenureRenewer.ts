/** Renews this process's tenure: directly at the store, through a peer, or by vouches. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';
import type {Peer} from '@nutmegproxy/peers';
import type {LeaseId, LeaseResponse} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {validateRelayAnswer, validateVouchAnswer} from '@nutmegproxy/schema';

import type {MembershipContext} from './MembershipServices.ts';
import type {RecordReading} from './RecordStore.ts';

import {findMember} from './AllotmentRecordUtils.ts';
import {
  MAX_RELAYS,
  PEER_TIMEOUT_MS,
  RENEW_AFTER_FRACTION,
  VOUCH_AFTER_FRACTION,
} from './MembershipConstants.ts';
import {MESSAGE_TYPES} from './MembershipMessages.ts';

export class TenureRenewer {
  /** The lease that the own tenure key is attached to by a confirmed write. */
  #lease: LeaseId | undefined;
  readonly #context: MembershipContext;

  constructor(context: MembershipContext) {
    this.#context = context;
  }

  hasLease(): boolean {
    return this.#lease !== undefined;
  }

  /** Requests a lease; its TTL is counted from `sentAt`, the instant of the call. */
  async grantLease(): Promise<undefined | {readonly lease: LeaseId; readonly sentAt: Instant}> {
    const sentAt = this.#context.now();
    const ttlSeconds = Math.ceil(this.#context.periods.tenureTtlMs / 1_000);
    const response = await this.#context.store.grantLease(ttlSeconds);
    return response.isOk() && this.#hasSufficientTtl(response.value)
      ? {lease: response.value.lease, sentAt}
      : undefined;
  }

  /** Records that the own tenure key is attached to `lease`, which was requested at `sentAt`. */
  attachLease(lease: LeaseId, sentAt: Instant): void {
    this.#lease = lease;
    this.#context.state.recordLeaseRenewal(sentAt);
  }

  /** Writes the own tenure key under a new lease after the old lease has ended. */
  async reacquire(reading: RecordReading): Promise<void> {
    const granted = await this.grantLease();
    if (granted === undefined) {
      return;
    }
    const {lease, sentAt} = granted;
    const written = await this.#context.recordStore.writeTenure(reading, {
      lease,
      record: this.createTenureRecord(),
    });
    if (written) {
      this.attachLease(lease, sentAt);
    }
  }

  /** Creates the content of the own tenure key. */
  createTenureRecord() {
    const {incarnation, vm} = this.#context.node.identity;
    return {incarnation, peerAddress: this.#context.peerAddress, vm};
  }

  /** Revokes the lease after this process has left. */
  async revoke(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#context.state.expireLease(this.#context.now());
    if (lease !== undefined) {
      await this.#context.store.revokeLease(lease);
    }
  }

  /** Renews the lease or the vouches if due at `now`. */
  async renew(now: Instant): Promise<void> {
    const {periods, state} = this.#context;
    const ageMs = now - state.leaseRenewedAt();
    if (ageMs < periods.tenureTtlMs * RENEW_AFTER_FRACTION && this.#lease !== undefined) {
      return;
    }
    // If late, requests vouches in parallel, since a slow store call may use its whole deadline.
    const isLate = ageMs >= periods.tenureTtlMs * VOUCH_AFTER_FRACTION;
    const vouches = isLate ? this.#requestVouches() : undefined;
    const isRenewed = this.#lease !== undefined && (await this.#renewLease(this.#lease));
    await (vouches ?? (isRenewed ? undefined : this.#requestVouches()));
  }

  async #requestVouches(): Promise<void> {
    const {node, view} = this.#context;
    const own = node.identity.incarnation;
    const electors = (findMember(view.record, own)?.electors ?? []).filter((each) => each !== own);
    await Promise.all(electors.map((elector) => this.#requestVouch(brand(elector))));
  }

  async #requestVouch(elector: IncarnationId): Promise<void> {
    const {mesh, node, now, state, view} = this.#context;
    const member = findMember(view.record, elector);
    if (member === undefined) {
      return;
    }
    const sentAt = now();
    const body = {incarnation: node.identity.incarnation};
    const message = {body, type: MESSAGE_TYPES.vouch};
    const response = await mesh.request(brand(member.vm), elector, message, PEER_TIMEOUT_MS);
    if (response.isOk() && validateVouchAnswer(response.value) && response.value.vouched) {
      state.recordVouch(elector, sentAt);
    }
  }

  /** Renews at the store, or else through peers of the own data centre that may still reach it. */
  async #renewLease(lease: LeaseId): Promise<boolean> {
    const sentAt = this.#context.now();
    const response = await this.#context.store.keepLeaseAlive(lease);
    if (response.isErr()) {
      return this.#renewThroughPeers(lease);
    }
    if (!this.#hasSufficientTtl(response.value)) {
      this.#lease = undefined;
      this.#context.state.expireLease(this.#context.now());
      return false;
    }
    this.#context.state.recordLeaseRenewal(sentAt);
    return true;
  }

  async #renewThroughPeers(lease: LeaseId): Promise<boolean> {
    const {dataCentre} = this.#context.node.identity;
    const localPeers = this.#context.mesh
      .peers()
      .filter((peer) => peer.identity.dataCentre === dataCentre);
    const relays = localPeers.slice(0, MAX_RELAYS);
    const results = await Promise.all(relays.map((peer) => this.#requestRelay(peer, lease)));
    return results.includes(true);
  }

  async #requestRelay({identity}: Peer, lease: LeaseId): Promise<boolean> {
    const sentAt = this.#context.now();
    const message = {body: {lease}, type: MESSAGE_TYPES.relay};
    const timeoutMs = 2 * PEER_TIMEOUT_MS;
    const response = await this.#context.mesh.request(
      identity.vm,
      identity.incarnation,
      message,
      timeoutMs,
    );
    const isRenewed =
      response.isOk() && validateRelayAnswer(response.value) && response.value.renewed;
    // The lease may have been replaced during the request.
    if (isRenewed && this.#lease === lease) {
      this.#context.state.recordLeaseRenewal(sentAt);
    }
    return isRenewed;
  }

  #hasSufficientTtl(response: LeaseResponse): boolean {
    return response.ttlSeconds * 1_000 >= this.#context.periods.tenureTtlMs;
  }
}
