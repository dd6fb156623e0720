/**
 * Passes on what an owner knew of the runs of all minions when its ownership ended. The next owner
 * learns the runs of a minion from its report; a minion that has left or can't be reached does not
 * report, and without a record every lease that the former owner may have granted has to expire
 * before the next one starts anything. A minion without an account, or whose account lists no runs at
 * all (undefined), may run anything.
 */

import type {Clock, EventFields, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {PlatformStore, StoredValue} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {after, delay} from '@nutmegproxy/core';
import {formatRecordKey} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {RosterEntry, SilentMinionRecord, SuspectRuns} from './RosterEntry.ts';

import {combineRecords} from './ClosingRecordMerge.ts';
import {
  CLOSING_RECORD_READ_INTERVAL_MS,
  MAX_CLOSING_RECORD_READ_INTERVAL_MS,
  STORE_RETRY_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {awaitChange} from './OwnerUtils.ts';
import {parseJson} from './StoredJson.ts';

/** What an owner knew of the runs of a minion when its ownership ended. */
export interface MinionAccount {
  /** The same as `heldForMs` for the runs that are not unconfirmed; absent when there are no unconfirmed ones. */
  readonly confirmedForMs?: number | undefined;
  /**
   * Time in milliseconds after which the minion's lease has certainly expired, counted from the
   * write of the record. A reader counts it from when it first knew of a later state of the store.
   */
  readonly heldForMs: number;
  readonly id: MinionId;
  /** Last term in which another owner may have used it; undefined when this one has. */
  readonly lastTerm?: number | undefined;
  /** Last term in which another owner may have renewed its lease; undefined as `lastTerm`. */
  readonly leaseTerm?: number | undefined;
  /** Whether the owner may have renewed the lease although it did not know the runs. */
  readonly mayBeRenewed?: boolean;
  /**
   * Time in milliseconds after which the minion may have drained unseen and left, counted as `heldForMs`; absent
   * without suspects, and when the owner found it silent.
   */
  readonly mayLeaveInMs?: number;
  /** Runs that it may have; undefined when the owner did not know them. */
  readonly runs?: SilentMinionRecord['runs'] | undefined;
  /** Runs that had just started there, also when it responds; absent as in a silent record. */
  readonly suspects?: SuspectRuns;
  /** As in a silent record. */
  readonly unconfirmed?: SilentMinionRecord['runs'] | undefined;
}

/** Stored value: what the owner of a term knew when its ownership ended. */
export interface ClosingRecord {
  /** Undefined in records of earlier versions; empty when the owner had not read its minions. */
  readonly accounts?: readonly MinionAccount[] | undefined;
  /** Entries of the minions that did not respond. */
  readonly silent: readonly RosterEntry[];
  /**
   * Longest time in milliseconds from the end of the ownership of this term to the computation of the times;
   * absent when it is not known, and in records of earlier versions.
   */
  readonly sinceEndMs?: number | undefined;
  readonly term: number;
}

export interface ClosingRecordsOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class ClosingRecords {
  readonly #key: string;
  readonly #options: ClosingRecordsOptions;

  constructor(options: ClosingRecordsOptions) {
    this.#key = formatRecordKey('closing', options.ownership.cell);
    this.#options = options;
  }

  /**
   * Calls `onRecord` with the record of a former owner and again whenever it was completed, while
   * `isAwaited` returns true. The owners after it recorded which minions they used, if there are any.
   * The times of the record count from the call.
   */
  async receive(
    isAwaited: () => boolean,
    onRecord: (record: ClosingRecord) => void,
  ): Promise<void> {
    const {events, ownership, store} = this.#options;
    let pauseMs = CLOSING_RECORD_READ_INTERVAL_MS;
    let revision = 0;
    while (isAwaited()) {
      const stored = await store.commit({
        compare: [],
        then: [{key: this.#key, kind: 'get'}],
      });
      const first = stored.isOk() ? stored.value.responses[0] : undefined;
      const value = first?.kind === 'get' ? first.values[0] : undefined;
      const isNew = (value?.modRevision ?? 0) > revision;
      revision = value?.modRevision ?? revision;
      const record = isNew ? this.#decode(value) : undefined;
      if (record !== undefined && this.#isCurrent(record)) {
        const longestMs = findLongestMs(record);
        events.record(OWNER_EVENTS.CLOSING_RECORD_RECEIVED, {...describeRecord(record), longestMs});
        onRecord(record);
      } else if (record !== undefined) {
        const fields = {...describeRecord(record), recordTerm: record.term, term: ownership.term};
        events.record(OWNER_EVENTS.CLOSING_RECORD_UNUSED, fields);
      }
      if (stored.isErr()) {
        this.#recordFailure(stored.error.message);
      }
      await (stored.isOk()
        ? awaitChange(store, this.#key, stored.value.revision, pauseMs)
        : delay(pauseMs));
      pauseMs = Math.min(pauseMs * 2, MAX_CLOSING_RECORD_READ_INTERVAL_MS);
    }
  }

  /**
   * Stores what the owner of an ownership that has ended knows now. The write does not depend on the
   * ownership. It is repeated until the next owner no longer waits for it.
   */
  async send(accounts: readonly MinionAccount[], silent: readonly RosterEntry[]): Promise<void> {
    const {clock, events, ownership, store} = this.#options;
    const {term} = ownership;
    const endedAt = clock.monotonic();
    const deadline = after(endedAt, ownership.leaseTimes.maxUncappedLeaseMs);
    while (clock.monotonic() < deadline) {
      const stored = await getKey(store, this.#key);
      const present = stored.isOk() ? this.#decode(stored.value) : undefined;
      const now = clock.monotonic();
      const own = {accounts: subtractElapsed(accounts, endedAt, now), silent, term};
      const record = combineRecords(own, present);
      if (record === undefined) {
        return;
      }
      const sinceEndMs =
        record.term === term
          ? Math.ceil(ownership.measureSinceEndMs(now, clock.wall()))
          : undefined;
      const value = Buffer.from(JSON.stringify({...record, sinceEndMs}));
      const written = await stored.asyncAndThen((replaced) =>
        store.commit({
          compare: [{key: this.#key, kind: 'modRevision', modRevision: replaced?.modRevision ?? 0}],
          then: [{key: this.#key, kind: 'put', value}],
        }),
      );
      if (written.isOk() && written.value.succeeded) {
        const longestMs = findLongestMs(record);
        events.record(OWNER_EVENTS.CLOSING_RECORD_STORED, {
          ...describeRecord(record),
          longestMs,
          term,
        });
        return;
      }
      if (written.isErr()) {
        this.#recordFailure(written.error.message);
      }
      await delay(STORE_RETRY_MS);
    }
  }

  /** Whether all owners between that of the record and this one recorded which minions they used. */
  #isCurrent({term}: ClosingRecord): boolean {
    const {ownership} = this.#options;
    return term >= ownership.recordingSince - 1 && term < ownership.term;
  }

  /**
   * Returns by when the times of a record were computed that was stored by `seenAt`. A watching VM knows the end of the
   * ownership at once, but a record that is stored after it only at its own acquisition.
   */
  #findComputedBy({sinceEndMs, term}: ClosingRecord, seenAt: Instant): Instant {
    const {ownership} = this.#options;
    if (typeof sinceEndMs !== 'number' || term >= ownership.term) {
      return seenAt;
    }
    const {formerLeaseTerm, formerReleasedAt, lastReleasedAt} = ownership;
    const endedBy = term <= formerLeaseTerm ? formerReleasedAt : lastReleasedAt;
    return Math.min(seenAt, after(endedBy, sinceEndMs)) as Instant;
  }

  #recordFailure(message: string): void {
    const fields = {message, what: 'closing record'};
    this.#options.events.record(OWNER_EVENTS.STORE_CALL_FAILED, fields);
  }

  /** Decodes a stored record; its times then count from now. */
  #decode(stored: StoredValue | undefined): ClosingRecord | undefined {
    if (stored === undefined) {
      return undefined;
    }
    const {clock, ownership} = this.#options;
    const now = clock.monotonic();
    const seenAt = ownership.revisions.findSeenAt(stored.modRevision, now);
    const unseenAt = ownership.revisions.findUnseenAt(stored.modRevision);
    return parseRecord(stored.value.toString()).match(
      (record): ClosingRecord | undefined => ({
        ...record,
        accounts:
          record.accounts &&
          subtractElapsed(record.accounts, this.#findComputedBy(record, seenAt), now, unseenAt),
      }),
      (message) => {
        this.#options.events.record(OWNER_EVENTS.RECORD_MALFORMED, {
          key: this.#key,
          message,
        });
        return undefined;
      },
    );
  }
}

function parseRecord(text: string): Result<ClosingRecord, string> {
  return parseJson(text).andThen((value) => {
    const {accounts, silent, sinceEndMs, term} = (value ?? {}) as Partial<ClosingRecord>;
    return term === undefined || silent === undefined
      ? err('term or silent is missing')
      : ok({accounts, silent, sinceEndMs, term});
  });
}

/**
 * Leases that are over become negative: what matters is whether they were when the ownership was last confirmed.
 * `unseenAt` is the earliest instant at which the times may have been computed.
 */
function subtractElapsed(
  accounts: readonly MinionAccount[],
  since: Instant,
  now: Instant,
  unseenAt = since,
): MinionAccount[] {
  const subtract = (durationMs: number): number => durationMs - (now - since);
  return accounts.map(({confirmedForMs, ...account}) => ({
    ...subtractUnseen(account, now - unseenAt),
    ...(typeof confirmedForMs === 'number' ? {confirmedForMs: subtract(confirmedForMs)} : {}),
    heldForMs: subtract(account.heldForMs),
  }));
}

/** Omits the suspects when it is not known how old the record is at most. */
function subtractUnseen(account: MinionAccount, elapsedMs: number): MinionAccount {
  const {mayLeaveInMs, suspects, ...others} = account;
  if (typeof mayLeaveInMs !== 'number') {
    return account;
  }
  return elapsedMs === Infinity || suspects === undefined
    ? others
    : {...others, mayLeaveInMs: mayLeaveInMs - elapsedMs, suspects};
}

function describeRecord({accounts = [], silent, term}: ClosingRecord): EventFields {
  const known = accounts.filter(({runs}) => runs !== undefined).length;
  return {accounts: known, minions: silent.length, term};
}

/** Returns how long the leases of minions that may run something last, in milliseconds. */
function findLongestMs({accounts = []}: ClosingRecord): number {
  const running = accounts.filter(({runs}) => runs?.length !== 0);
  return Math.round(Math.max(0, ...running.map(({heldForMs}) => heldForMs)));
}
