/**
 * Stores the minions on which an owner may have runs. An entry of the platform's directory can
 * expire while its minion keeps working, so the next owner has to know the minions that the
 * directory no longer lists. A minion gets work only once the roster in the store contains it.
 *
 * For a silent minion the roster stores the runs that it may have and when its lease expires; its
 * lease is not renewed until that record is removed. The next owner then knows what may run on a
 * minion that it can't reach, and until when. For a draining minion it stores the runs that it may
 * have, since the minion may have left before the next owner's first call.
 */

import type {Clock, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {formatRecordKey} from '@nutmegproxy/jobs';
import {checkMinion} from '@nutmegproxy/scheduling';
import {err, ok} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {WriteOutcome} from './OwnerRecord.ts';
import type {
  DrainingMinionRecord,
  RosterEntry,
  SilentExpiry,
  SilentMinionRecord,
  StoredRosterEntry,
} from './RosterEntry.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerRecord} from './OwnerRecord.ts';
import {describeCapacityChange, findEnd} from './OwnerUtils.ts';
import {RecordWriter} from './RecordWriter.ts';
import {parseJson} from './StoredJson.ts';

export interface RosterOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly onFenced: () => void;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class Roster {
  readonly #entries = new Map<MinionId, RosterEntry>();
  /** When the leases of silent minions have certainly expired, as far as that is known. */
  readonly #expiries = new Map<MinionId, SilentExpiry>();
  readonly #key: string;
  readonly #options: RosterOptions;
  readonly #record: OwnerRecord;
  readonly #removed = new Set<MinionId>();
  /** Minions whose runs the stored roster may name. */
  #storedRecords: ReadonlySet<MinionId> = new Set();
  readonly #writer: RecordWriter;

  constructor(options: RosterOptions) {
    this.#key = formatRecordKey('roster', options.ownership.cell);
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: this.#key});
    this.#writer = new RecordWriter({
      onFenced: options.onFenced,
      write: () => this.#write(),
    });
  }

  /** The minions that are recorded as silent, whether or not the record is stored. */
  get silentEntries(): readonly RosterEntry[] {
    return [...this.#entries.values()].filter(({silent}) => silent !== undefined);
  }

  /**
   * Adds minions; resolves once the stored roster contains them. `areNew`: no owner before this one
   * can have sent them orders.
   */
  add(minions: readonly MinionDescription[], areNew = false): Promise<void> {
    const added = minions.filter(({id}) => !this.#entries.has(id));
    for (const description of added) {
      const {bornAt, id} = description;
      const firstBornAt = areNew && !this.#removed.has(id) ? bornAt : undefined;
      this.#entries.set(id, {description, firstBornAt});
    }
    return added.length > 0 ? this.#writer.change() : this.#writer.flush();
  }

  /** Removes the record of a minion's runs; resolves once that is stored. */
  async clearRecord(description: MinionDescription): Promise<void> {
    const flushed = this.#replace({description});
    if (this.#storedRecords.has(description.id)) {
      await flushed;
    }
  }

  close(): void {
    this.#writer.close();
  }

  /** Replaces the runs that the record of a silent minion names; what is stored of its lease stays. */
  replaceSilentRuns(id: MinionId, runs: SilentMinionRecord['runs']): void {
    const entry = this.#entries.get(id);
    if (entry?.silent !== undefined) {
      void this.#replace({...entry, silent: {...entry.silent, runs}}, this.#expiries.get(id));
    }
  }

  /** Returns the entry of a minion, whether or not it is stored. */
  find(id: MinionId): RosterEntry | undefined {
    return this.#entries.get(id);
  }

  /**
   * Returns when a silent minion's lease has certainly expired, by the clock of this process; undefined
   * when only its record tells that.
   */
  findExpiry(id: MinionId): Instant | undefined {
    return this.#expiries.get(id)?.all;
  }

  /** Returns the same for the runs that the minion's record does not list as unconfirmed. */
  findConfirmedExpiry(id: MinionId): Instant | undefined {
    return this.#expiries.get(id)?.confirmed;
  }

  /** Records what a draining minion may run. */
  markDraining(description: MinionDescription, draining: DrainingMinionRecord): void {
    void this.#replace({description, draining});
  }

  /**
   * Records that a minion does not respond; `expiresAt` as `findExpiry` returns it and
   * `confirmedExpiresAt` as `findConfirmedExpiry` does, which is kept only beside unconfirmed runs.
   */
  markSilent(
    description: MinionDescription,
    silent: SilentMinionRecord,
    expiresAt: Instant | undefined,
    confirmedExpiresAt?: Instant,
  ): void {
    const confirmed = silent.unconfirmed === undefined ? undefined : confirmedExpiresAt;
    void this.#replace({description, silent}, {all: expiresAt, confirmed});
  }

  /** Reads the former owner's roster. */
  async read(): Promise<Result<readonly RosterEntry[], StoreFailure>> {
    const stored = await this.#record.read();
    if (stored.isErr()) {
      return err(stored.error);
    }
    const {clock, ownership} = this.#options;
    const modRevision = stored.value?.modRevision ?? 0;
    const storedBy = ownership.revisions.findSeenAt(modRevision, clock.monotonic());
    const decoded = this.#decode(stored.value?.value.toString() ?? '[]');
    const entries = decoded.map(({confirmedForMs, heldForMs, ...entry}): RosterEntry => {
      const {id} = entry.description;
      this.#entries.set(id, entry);
      if (entry.silent !== undefined) {
        const all = findEnd(storedBy, heldForMs);
        this.#expiries.set(id, {all, confirmed: findEnd(storedBy, confirmedForMs)});
      }
      return entry;
    });
    this.#storedRecords = findRecorded(entries);
    return ok(entries);
  }

  /** Removes a minion on which nothing runs any more. */
  remove(id: MinionId): void {
    this.#expiries.delete(id);
    this.#removed.add(id);
    if (this.#entries.delete(id)) {
      void this.#writer.change();
    }
  }

  /** Stores the remaining times of the leases of silent minions anew. */
  storeTimes(): void {
    void this.#writer.change();
  }

  /**
   * Stores a minion's capacity if it has changed: the next owner places by it while the directory
   * lacks the minion's entry.
   */
  updateCapacity(description: MinionDescription): void {
    const entry = this.#entries.get(description.id);
    const former = entry?.description.capacity;
    if (
      former !== undefined &&
      describeCapacityChange(former, description.capacity) !== undefined
    ) {
      void this.#replace({...entry, description}, this.#expiries.get(description.id));
    }
  }

  /**
   * Decodes a stored roster. An entry whose description is not valid names no minion; earlier
   * versions stored entries of other writers unchecked.
   */
  #decode(text: string): StoredRosterEntry[] {
    const {clock, events} = this.#options;
    const parsed = parseJson(text);
    if (parsed.isErr() || !Array.isArray(parsed.value)) {
      const message = parsed.isErr() ? parsed.error : 'not a list';
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: this.#key, message});
      return [];
    }
    const entries = parsed.value as StoredRosterEntry[];
    const valid = entries.filter(
      ({description}) => checkMinion(description, clock.wall()) !== undefined,
    );
    if (valid.length < entries.length) {
      const message = `${entries.length - valid.length} entries name no minion`;
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: this.#key, message});
    }
    return valid;
  }

  /** Replaces the records of a minion's entry; resolves once that is stored. */
  #replace(entry: RosterEntry, expiry?: SilentExpiry): Promise<void> {
    const {id} = entry.description;
    if (expiry === undefined) {
      this.#expiries.delete(id);
    } else {
      this.#expiries.set(id, expiry);
    }
    this.#entries.set(id, {...entry, firstBornAt: this.#entries.get(id)?.firstBornAt});
    return this.#writer.change();
  }

  #addRemainingTimes(entries: readonly RosterEntry[]): readonly StoredRosterEntry[] {
    const now = this.#options.clock.monotonic();
    return entries.map((entry) => {
      const {all, confirmed} = this.#expiries.get(entry.description.id) ?? {};
      return {
        ...entry,
        confirmedForMs: computeRemainingMs(confirmed, now),
        heldForMs: computeRemainingMs(all, now),
      };
    });
  }

  /** Tries once to write the roster as it is now. */
  async #write(): Promise<WriteOutcome> {
    const entries = [...this.#entries.values()];
    const recorded = findRecorded(entries);
    const formerRecords = this.#storedRecords;
    this.#storedRecords = new Set([...formerRecords, ...recorded]);
    const value = Buffer.from(JSON.stringify(this.#addRemainingTimes(entries)));
    const outcome = await this.#record.write(value);
    if (outcome === 'written') {
      this.#storedRecords = recorded;
    } else if (outcome === 'failed') {
      // Any other write may have been carried out, or may be later.
      this.#storedRecords = formerRecords;
    }
    return outcome;
  }
}

/** Returns the time in milliseconds until an instant, rounded up; undefined when it is not known. */
function computeRemainingMs(instant: Instant | undefined, now: Instant): number | undefined {
  return instant === undefined ? undefined : Math.ceil(Math.max(0, instant - now));
}

function findRecorded(entries: readonly RosterEntry[]): ReadonlySet<MinionId> {
  return new Set(
    entries
      .filter(({draining, silent}) => draining !== undefined || silent !== undefined)
      .map(({description}) => description.id),
  );
}
