/**
 * One key in which an owner stores state. A write without a response may be carried out seconds
 * later, so each write is conditional on the ownership and on the key's last revision: a delayed
 * write can't replace a newer value.
 */

import type {EventSink} from '@nutmegproxy/core';
import type {PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {getKey} from '@nutmegproxy/store';

import type {FleetOwnership} from './FleetOwnership.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';
import {createFencingCondition, isOwnedBy} from './OwnerUtils.ts';

/**
 * `written`: the value is stored. `fenced`: another VM owns the fleet. `unknown`: the value may be
 * stored now or later. `failed`: the value is not stored and won't be.
 */
export type WriteOutcome = 'failed' | 'fenced' | 'unknown' | 'written';

export interface OwnerRecordOptions {
  readonly events: EventSink;
  readonly key: string;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class OwnerRecord {
  readonly #options: OwnerRecordOptions;
  /** Revision of the key's last write, 0 when the key is absent; undefined while unknown. */
  #revision: number | undefined;

  constructor(options: OwnerRecordOptions) {
    this.#options = options;
  }

  /** Reads the stored value; undefined when there is none. */
  async read(): Promise<Result<StoredValue | undefined, StoreFailure>> {
    const stored = await getKey(this.#options.store, this.#options.key);
    if (stored.isOk()) {
      this.#revision = stored.value?.modRevision ?? 0;
    }
    return stored;
  }

  /** Tries once to write the value and logs a failure. */
  async write(value: Buffer): Promise<WriteOutcome> {
    const {events, key, ownership, store} = this.#options;
    if (this.#revision === undefined) {
      const stored = await this.read();
      if (stored.isErr()) {
        return this.#fail(stored.error, 'failed');
      }
    }
    const written = await store.commit({
      compare: [
        createFencingCondition(ownership),
        {key, kind: 'modRevision', modRevision: this.#revision ?? 0},
      ],
      then: [{key, kind: 'put', value}],
    });
    if (written.isErr()) {
      return this.#fail(written.error, written.error.kind === 'unknown' ? 'unknown' : 'failed');
    }
    if (written.value.succeeded) {
      this.#revision = written.value.revision;
      return 'written';
    }
    const owned = await isOwnedBy(store, ownership);
    if (owned.isOk() && !owned.value) {
      return 'fenced';
    }
    // A delayed write of this owner was carried out; the next attempt reads its revision.
    this.#revision = undefined;
    events.record(OWNER_EVENTS.JOURNAL_FAILED, {
      key,
      kind: 'revision',
      message: 'a delayed write changed the key',
    });
    return 'failed';
  }

  #fail({kind, message}: StoreFailure, outcome: WriteOutcome): WriteOutcome {
    const {events, key} = this.#options;
    events.record(OWNER_EVENTS.JOURNAL_FAILED, {key, kind, message});
    return outcome;
  }
}
