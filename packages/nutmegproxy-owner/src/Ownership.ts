/** Takes, renews and gives up the ownership of the fleet in the store. */

import type {Clock, EventSink, VmId} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {FLEET_PREFIX, STATE_PREFIX} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

import type {OwnerToken} from './MinionOrders.ts';

import {LEASE_TTL_MS, RENEWAL_PAUSE_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {Tenure} from './Tenure.ts';

/** The present owner; under the owner's lease. */
export const OWNER_KEY = `${FLEET_PREFIX}owner`;
/** Number of owners so far; without a lease. */
const TERM_KEY = `${STATE_PREFIX}term`;

export interface OwnershipOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly store: PlatformStore;
  readonly vm: VmId;
}

/** Why ownership was not taken: another VM has it, or the store did not answer. */
export type TakeFailure = StoreFailure | {readonly kind: 'taken'; readonly message: string};

interface OwnerRecords {
  readonly owner: StoredValue | undefined;
  readonly term: StoredValue | undefined;
}

export class Ownership {
  readonly #options: OwnershipOptions;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** Gives the ownership up, so that another VM can take it at once. */
  async resign(tenure: Tenure, reason: string): Promise<void> {
    const {events, store, vm} = this.#options;
    tenure.end();
    events.record(OWNER_EVENTS.OWNERSHIP_LOST, {reason, term: tenure.term, vm});
    const revoked = await store.revokeLease(tenure.lease);
    if (revoked.isErr()) {
      // The lease ends by itself a little later.
      const {kind, message} = revoked.error;
      events.record(OWNER_EVENTS.STORE_FOLLOW_FAILED, {kind, message, what: 'end of lease'});
    }
  }

  /** Renews the lease until the tenure is over. */
  async renew(tenure: Tenure): Promise<void> {
    const {clock, events, store, vm} = this.#options;
    let wasProved = true;
    while (tenure.state(clock.monotonic(), clock.wall()) !== 'over') {
      await delay(RENEWAL_PAUSE_MS);
      const askedAt = clock.monotonic();
      const wall = clock.wall();
      const kept = await store.keepLeaseAlive(tenure.lease);
      if (kept.isOk() && kept.value.ttlSeconds === 0) {
        tenure.end();
        events.record(OWNER_EVENTS.OWNERSHIP_LOST, {reason: 'lease ended', term: tenure.term, vm});
        return;
      }
      if (kept.isOk()) {
        tenure.prove(askedAt, wall);
      }
      const isProved = tenure.state(clock.monotonic(), clock.wall()) === 'proved';
      if (wasProved && !isProved) {
        events.record(OWNER_EVENTS.OWNERSHIP_UNPROVED, {term: tenure.term, vm});
      }
      wasProved = isProved;
    }
  }

  /** Takes the ownership if it is free. */
  async take(): Promise<Result<Tenure, TakeFailure>> {
    const {clock, store} = this.#options;
    const records = await this.#read();
    if (records.isErr()) {
      return err(records.error);
    }
    if (records.value.owner !== undefined) {
      return err({kind: 'taken', message: records.value.owner.value.toString()});
    }
    const askedAt = clock.monotonic();
    const wall = clock.wall();
    const lease = await store.grantLease(LEASE_TTL_MS / 1000);
    if (lease.isErr()) {
      return err(lease.error);
    }
    const written = await this.#write(lease.value.lease, records.value.term);
    return written.map((grant) => new Tenure({lease: lease.value.lease, ...grant}, askedAt, wall));
  }

  async #read(): Promise<Result<OwnerRecords, StoreFailure>> {
    const {store} = this.#options;
    const answer = await store.commit({
      compare: [],
      then: [
        {key: OWNER_KEY, kind: 'get'},
        {key: TERM_KEY, kind: 'get'},
      ],
    });
    return answer.map(({responses: [owner, term]}) => ({
      owner: owner?.kind === 'get' ? owner.values[0] : undefined,
      term: term?.kind === 'get' ? term.values[0] : undefined,
    }));
  }

  async #write(
    lease: LeaseId,
    previous: StoredValue | undefined,
  ): Promise<Result<{term: number; token: OwnerToken}, TakeFailure>> {
    const {store, vm} = this.#options;
    const term = previous === undefined ? 0 : Number(previous.value.toString()) + 1;
    const owner = JSON.stringify({lease, vm});
    const written = await store.commit({
      compare: [
        {key: OWNER_KEY, kind: 'modRevision', modRevision: 0},
        {key: TERM_KEY, kind: 'modRevision', modRevision: previous?.modRevision ?? 0},
      ],
      then: [
        {key: OWNER_KEY, kind: 'put', lease, value: Buffer.from(owner)},
        {key: TERM_KEY, kind: 'put', value: Buffer.from(String(term))},
      ],
    });
    if (written.isOk()) {
      return written.value.succeeded
        ? ok({term, token: written.value.revision as OwnerToken})
        : err({kind: 'taken', message: 'another VM was faster'});
    }
    if (written.error.kind !== 'unknown') {
      return err(written.error);
    }
    // The write may have taken effect; the key names the lease of the try that won.
    const records = await this.#read();
    if (records.isErr()) {
      return err(records.error);
    }
    const found = records.value.owner;
    return found?.value.toString() === owner
      ? ok({term, token: found.modRevision as OwnerToken})
      : err(written.error);
  }
}
