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

import type {Clock, EventSink, MinionId, WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {checkMinion} from '@nutmegproxy/scheduling';
import {err, ok} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';

import {JOURNAL_RETRY_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerRecord} from './OwnerRecord.ts';
import {describeCapacityChange} from './OwnerUtils.ts';
import {parseJson} from './StoredJson.ts';

const ROSTER_KEY = `${STATE_PREFIX}roster`;

/** Runs that had just started when their minion fell silent: suspects if it has crashed. */
export interface SuspectRuns {
  /** Start of the minion's incarnation in Unix milliseconds. */
  readonly bornAt: number;
  readonly runs: SilentMinionRecord['runs'];
}

/** What is stored of a minion that does not respond. */
export interface SilentMinionRecord {
  /** When its lease has certainly expired, by the wall clock of the VM that wrote this. */
  readonly heldUntil: WallTime;
  /** Task names and run numbers of the runs that it may have. */
  readonly runs: readonly (readonly [task: string, number: RunNumber])[];
  /** Absent when there are none, and in records of earlier versions. */
  readonly suspects?: SuspectRuns;
}

/** What is stored of a draining minion. */
export interface DrainingMinionRecord {
  /** Runs that it may have; it gets no others while this is stored. */
  readonly runs: SilentMinionRecord['runs'];
  /** Term of the owner that wrote this; a later owner may have started other runs. */
  readonly term: number;
}

export interface RosterEntry {
  readonly description: MinionDescription;
  readonly draining?: DrainingMinionRecord;
  /**
   * Start of the minion's first incarnation that an owner sent orders to, in Unix milliseconds;
   * absent when it is not known, and in entries of earlier versions.
   */
  readonly firstBornAt?: number | undefined;
  readonly silent?: SilentMinionRecord;
}

export interface RosterOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly onFenced: () => void;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class Roster {
  readonly #entries = new Map<MinionId, RosterEntry>();
  #isStale = false;
  readonly #options: RosterOptions;
  readonly #record: OwnerRecord;
  readonly #removed = new Set<MinionId>();
  #stopped = false;
  /** Minions whose runs the stored roster may name. */
  #storedRecords: ReadonlySet<MinionId> = new Set();
  #writing: Promise<void> | undefined;

  constructor(options: RosterOptions) {
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: ROSTER_KEY});
  }

  /** The minions that are recorded as silent, whether or not the record is stored. */
  get silentEntries(): readonly RosterEntry[] {
    return [...this.#entries.values()].filter(({silent}) => silent !== undefined);
  }

  /**
   * Adds minions; resolves once the stored roster contains them. `areNew`: no owner before this one
   * can have sent them orders.
   */
  async add(minions: readonly MinionDescription[], areNew = false): Promise<void> {
    for (const description of minions) {
      const {bornAt, id} = description;
      if (!this.#entries.has(id)) {
        const firstBornAt = areNew && !this.#removed.has(id) ? bornAt : undefined;
        this.#entries.set(id, {description, firstBornAt});
        this.#isStale = true;
      }
    }
    await this.#flush();
  }

  /** Removes the record of a minion's runs; resolves once that is stored. */
  async clearRecord(description: MinionDescription): Promise<void> {
    const flushed = this.#replace({description});
    if (this.#storedRecords.has(description.id)) {
      await flushed;
    }
  }

  close(): void {
    this.#stopped = true;
  }

  /** Returns the entry of a minion, whether or not it is stored. */
  find(id: MinionId): RosterEntry | undefined {
    return this.#entries.get(id);
  }

  /** Records what a draining minion may run. */
  markDraining(description: MinionDescription, draining: DrainingMinionRecord): void {
    void this.#replace({description, draining});
  }

  /** Records that a minion does not respond. */
  markSilent(description: MinionDescription, silent: SilentMinionRecord): void {
    void this.#replace({description, silent});
  }

  /** Reads the former owner's roster. */
  async read(): Promise<Result<readonly RosterEntry[], StoreFailure>> {
    const stored = await this.#record.read();
    if (stored.isErr()) {
      return err(stored.error);
    }
    const entries = this.#decode(stored.value?.value.toString() ?? '[]');
    for (const entry of entries) {
      this.#entries.set(entry.description.id, entry);
    }
    this.#storedRecords = findRecorded(entries);
    return ok(entries);
  }

  /** Removes a minion on which nothing runs any more. */
  remove(id: MinionId): void {
    this.#isStale = this.#entries.delete(id) || this.#isStale;
    this.#removed.add(id);
    void this.#flush();
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
      void this.#replace({...entry, description});
    }
  }

  /**
   * Decodes a stored roster. An entry whose description is not valid names no minion; earlier
   * versions stored entries of other writers unchecked.
   */
  #decode(text: string): RosterEntry[] {
    const {clock, events} = this.#options;
    const parsed = parseJson(text);
    if (parsed.isErr() || !Array.isArray(parsed.value)) {
      const message = parsed.isErr() ? parsed.error : 'not a list';
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: ROSTER_KEY, message});
      return [];
    }
    const entries = parsed.value as RosterEntry[];
    const valid = entries.filter(
      ({description}) => checkMinion(description, clock.wall()) !== undefined,
    );
    if (valid.length < entries.length) {
      const message = `${entries.length - valid.length} entries name no minion`;
      events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: ROSTER_KEY, message});
    }
    return valid;
  }

  /** Replaces the records of a minion's entry; resolves once that is stored. */
  #replace(entry: RosterEntry): Promise<void> {
    const {id} = entry.description;
    this.#entries.set(id, {...entry, firstBornAt: this.#entries.get(id)?.firstBornAt});
    this.#isStale = true;
    return this.#flush();
  }

  /** Resolves once all changes made so far are stored. */
  async #flush(): Promise<void> {
    while ((this.#isStale || this.#writing !== undefined) && !this.#stopped) {
      this.#writing ??= this.#write();
      await this.#writing;
    }
  }

  async #write(): Promise<void> {
    // Changes made in the same turn of the event loop go into one write.
    await delay(0);
    this.#isStale = false;
    const entries = [...this.#entries.values()];
    const recorded = findRecorded(entries);
    const formerRecords = this.#storedRecords;
    this.#storedRecords = new Set([...formerRecords, ...recorded]);
    const outcome = await this.#record.write(Buffer.from(JSON.stringify(entries)));
    if (outcome === 'written') {
      this.#storedRecords = recorded;
    } else if (outcome === 'fenced') {
      this.#stopped = true;
      this.#options.onFenced();
    } else {
      this.#isStale = true;
      // A write without a response may have been carried out, or may be later.
      this.#storedRecords = outcome === 'unknown' ? this.#storedRecords : formerRecords;
      await delay(JOURNAL_RETRY_MS);
    }
    this.#writing = undefined;
  }
}

function findRecorded(entries: readonly RosterEntry[]): ReadonlySet<MinionId> {
  return new Set(
    entries
      .filter(({draining, silent}) => draining !== undefined || silent !== undefined)
      .map(({description}) => description.id),
  );
}
