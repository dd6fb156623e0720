/**
 * Passes on what an owner knew of silent minions when its ownership ended. While the store is
 * unavailable the roster can't be written, and without it the next owner has to wait until every
 * lease that the former one may have granted has expired.
 */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {PlatformStore, StoredValue} from '@nutmegproxy/store';

import {after, delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';
import {Result} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {RosterEntry} from './Roster.ts';

import {
  CLOSING_RECORD_READ_INTERVAL_MS,
  MAX_FORMER_LEASE_MS,
  STORE_RETRY_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

const CLOSING_RECORD_KEY = `${STATE_PREFIX}closing`;

/** Stored value: the silent minions of the owner of a term. */
interface ClosingRecord {
  readonly silent: readonly RosterEntry[];
  readonly term: number;
}

export interface ClosingRecordsOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class ClosingRecords {
  readonly #options: ClosingRecordsOptions;

  constructor(options: ClosingRecordsOptions) {
    this.#options = options;
  }

  /**
   * Waits for the record of the former owner while `isAwaited` returns true; resolves with
   * undefined when there was none.
   */
  async receive(isAwaited: () => boolean): Promise<readonly RosterEntry[] | undefined> {
    const {events, ownership, store} = this.#options;
    while (isAwaited()) {
      const stored = await getKey(store, CLOSING_RECORD_KEY);
      const record = stored.isOk() ? this.#decode(stored.value) : undefined;
      if (record?.term === ownership.term - 1) {
        const fields = {minions: record.silent.length, term: record.term};
        events.record(OWNER_EVENTS.CLOSING_RECORD_RECEIVED, fields);
        return record.silent;
      }
      if (stored.isErr()) {
        this.#recordFailure(stored.error.message);
      }
      await delay(CLOSING_RECORD_READ_INTERVAL_MS);
    }
    return undefined;
  }

  /**
   * Stores the silent minions of an ownership that has ended, if there are any. The write does not
   * depend on the ownership, but never replaces the record of a later owner. It is repeated until the
   * next owner no longer waits for it.
   */
  async send(silent: readonly RosterEntry[]): Promise<void> {
    const {clock, events, ownership, store} = this.#options;
    const {term} = ownership;
    if (silent.length === 0) {
      return;
    }
    const record: ClosingRecord = {silent, term};
    const value = Buffer.from(JSON.stringify(record));
    const deadline = after(clock.monotonic(), MAX_FORMER_LEASE_MS);
    while (clock.monotonic() < deadline) {
      const stored = await getKey(store, CLOSING_RECORD_KEY);
      if (stored.isOk() && (this.#decode(stored.value)?.term ?? -1) >= term) {
        return;
      }
      const written = await stored.asyncAndThen((former) =>
        store.commit({
          compare: [
            {key: CLOSING_RECORD_KEY, kind: 'modRevision', modRevision: former?.modRevision ?? 0},
          ],
          then: [{key: CLOSING_RECORD_KEY, kind: 'put', value}],
        }),
      );
      if (written.isOk() && written.value.succeeded) {
        events.record(OWNER_EVENTS.CLOSING_RECORD_STORED, {minions: silent.length, term});
        return;
      }
      if (written.isErr()) {
        this.#recordFailure(written.error.message);
      }
      await delay(STORE_RETRY_MS);
    }
  }

  #recordFailure(message: string): void {
    const fields = {message, what: 'closing record'};
    this.#options.events.record(OWNER_EVENTS.STORE_CALL_FAILED, fields);
  }

  #decode(stored: StoredValue | undefined): ClosingRecord | undefined {
    if (stored === undefined) {
      return undefined;
    }
    return parseRecord(stored.value.toString()).match(
      (record): ClosingRecord | undefined => record,
      (message) => {
        this.#options.events.record(OWNER_EVENTS.RECORD_MALFORMED, {
          key: CLOSING_RECORD_KEY,
          message,
        });
        return undefined;
      },
    );
  }
}

const parseRecord = Result.fromThrowable(
  (text: string) => JSON.parse(text) as ClosingRecord,
  String,
);
