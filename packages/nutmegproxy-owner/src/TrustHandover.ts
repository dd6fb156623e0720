/** Passes on to the next owner which minions this one does not trust, in the recovery record. */

import type {Clock, Instant, MinionId} from '@nutmegproxy/core';
import type {Fleet, MinionState, TrustSnapshot} from '@nutmegproxy/scheduling';

import {describeDistrust, receiveDistrust} from '@nutmegproxy/scheduling';

import type {RecoveryRecord, UntrustedMinion} from './RecoveryRecord.ts';

/** Minimum time in milliseconds between two writes of the record because of the trust in minions. */
const WRITE_INTERVAL_MS = 1_000;
/** Maximum number of minions that are passed on, so that the record stays small. */
const MAX_MINIONS = 100;

interface DistrustedMinion {
  readonly minion: MinionState;
  readonly snapshot: TrustSnapshot;
}

export interface TrustHandoverOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly record: RecoveryRecord;
}

export class TrustHandover {
  readonly #options: TrustHandoverOptions;
  /** When runs have last failed on each of the minions that the record names. */
  #stored: ReadonlyMap<MinionId, number> = new Map();
  #storedAt = -Infinity;

  constructor(options: TrustHandoverOptions) {
    this.#options = options;
    options.record.listUntrusted = () => this.#list(options.clock.monotonic());
  }

  /** Takes over what a former owner passed on of a minion. */
  receive(minion: MinionState): void {
    const {fleet, record} = this.#options;
    const former = record.findFormerTrust(minion.id);
    if (former !== undefined) {
      receiveDistrust(fleet, minion, former.snapshot, former.storedBy);
    }
  }

  /** Stores which minions are not trusted when that has changed, but not at each change. */
  refresh(now: Instant): void {
    if (now - this.#storedAt < WRITE_INTERVAL_MS) {
      return;
    }
    const untrusted = this.#find(now);
    const isStored =
      untrusted.length === this.#stored.size &&
      untrusted.every(({minion: {id, trust}}) => this.#stored.get(id) === trust.failedAt);
    if (!isStored) {
      void this.#options.record.update();
    }
  }

  /** Returns the minions to pass on, those that failed last first. */
  #find(now: Instant): readonly DistrustedMinion[] {
    const found: DistrustedMinion[] = [];
    for (const minion of this.#options.fleet.minions.values()) {
      const snapshot = describeDistrust(minion, now);
      if (snapshot !== undefined) {
        found.push({minion, snapshot});
      }
    }
    return found
      .sort((a, b) => b.minion.trust.failedAt - a.minion.trust.failedAt)
      .slice(0, MAX_MINIONS);
  }

  #list(now: Instant): readonly UntrustedMinion[] {
    const untrusted = this.#find(now);
    this.#stored = new Map(untrusted.map(({minion: {id, trust}}) => [id, trust.failedAt]));
    this.#storedAt = now;
    return untrusted.map(({minion: {id}, snapshot}) => ({...snapshot, id}));
  }
}
