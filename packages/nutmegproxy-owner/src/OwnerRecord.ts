/**
 * One key in which an owner keeps its state. A write without an answer may be carried out seconds
 * later, so each write is conditional on the ownership and on the key's last revision: a late one
 * can't replace a newer value.
 */

import type {EventSink} from '@nutmegproxy/core';
import type {PlatformStore, StoredValue, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {getKey} from '@nutmegproxy/store';

import type {FleetOwnership} from './FleetOwnership.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';
import {createFencingCondition, isOwnedBy} from './OwnerUtils.ts';

/**
 * `written`: the store has the value. `fenced`: another VM owns the fleet. `unknown`: the store may
 * have the value, or take it yet. `failed`: it has not, and won't.
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
  /** Revision of the key's last write, 0 when it is absent; undefined while it is not known. */
  #revision: number | undefined;

  constructor(options: OwnerRecordOptions) {
    this.#options = options;
  }

  /** The value that is stored; undefined when there is none. */
  async read(): Promise<Result<StoredValue | undefined, StoreFailure>> {
    const stored = await getKey(this.#options.store, this.#options.key);
    if (stored.isOk()) {
      this.#revision = stored.value?.modRevision ?? 0;
    }
    return stored;
  }

  /** Tries once to write the value; logs why it could not. */
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
    // A write of this owner came late; the next try reads its revision.
    this.#revision = undefined;
    events.record(OWNER_EVENTS.JOURNAL_FAILED, {key, kind: 'revision', message: 'late write'});
    return 'failed';
  }

  #fail({kind, message}: StoreFailure, outcome: WriteOutcome): WriteOutcome {
    const {events, key} = this.#options;
    events.record(OWNER_EVENTS.JOURNAL_FAILED, {key, kind, message});
    return outcome;
  }
}
