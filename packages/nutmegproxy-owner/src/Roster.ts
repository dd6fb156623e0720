/**
 * The minions on which an owner may have runs, kept in the store. A listing of the platform can
 * lapse while its minion works on, so the next owner has to know of the minions that are missing
 * there. A minion gets work only once it stands in the roster.
 *
 * A minion that falls silent is marked with the runs that it may have and with the end of its holds;
 * it is granted no further ones until the mark is withdrawn. The next owner then knows what may run
 * on a minion that it can't reach, and for how long.
 */

import type {EventSink, MinionId, WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';

import {JOURNAL_RETRY_MS} from './OwnerConstants.ts';
import {OwnerRecord} from './OwnerRecord.ts';

const ROSTER_KEY = `${STATE_PREFIX}roster`;

/** What is kept of a minion that does not answer. */
export interface SilentMinionRecord {
  /** When its holds have certainly ended, by the clock of the VM that wrote this. */
  readonly heldUntil: WallTime;
  /** Names and numbers of the runs that it may have. */
  readonly runs: readonly (readonly [task: string, number: RunNumber])[];
}

export interface RosterEntry {
  readonly description: MinionDescription;
  readonly silent?: SilentMinionRecord;
}

export interface RosterOptions {
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
  #stopped = false;
  /** Minions that the store may show as silent. */
  #storedSilent: ReadonlySet<MinionId> = new Set();
  #writing: Promise<void> | undefined;

  constructor(options: RosterOptions) {
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: ROSTER_KEY});
  }

  /** Resolves once the minions stand in the store's roster. */
  async add(minions: readonly MinionDescription[]): Promise<void> {
    for (const description of minions) {
      if (!this.#entries.has(description.id)) {
        this.#entries.set(description.id, {description});
        this.#isStale = true;
      }
    }
    await this.#flush();
  }

  /** Withdraws the mark of a minion that answers again; resolves once the store has that. */
  async clearSilent(description: MinionDescription): Promise<void> {
    this.#entries.set(description.id, {description});
    this.#isStale = true;
    const flushed = this.#flush();
    if (this.#storedSilent.has(description.id)) {
      await flushed;
    }
  }

  close(): void {
    this.#stopped = true;
  }

  /** Marks a minion that does not answer. */
  markSilent(description: MinionDescription, silent: SilentMinionRecord): void {
    this.#entries.set(description.id, {description, silent});
    this.#isStale = true;
    void this.#flush();
  }

  /** The former owner's roster. */
  async read(): Promise<Result<readonly RosterEntry[], StoreFailure>> {
    const stored = await this.#record.read();
    if (stored.isErr()) {
      return err(stored.error);
    }
    const text = stored.value?.value.toString() ?? '[]';
    const entries = JSON.parse(text) as RosterEntry[];
    for (const entry of entries) {
      this.#entries.set(entry.description.id, entry);
    }
    this.#storedSilent = findSilent(entries);
    return ok(entries);
  }

  /** A minion on which nothing runs any more. */
  remove(id: MinionId): void {
    this.#isStale = this.#entries.delete(id) || this.#isStale;
    void this.#flush();
  }

  /** Resolves once everything noted so far is in the store. */
  async #flush(): Promise<void> {
    while (this.#isStale && !this.#stopped) {
      this.#writing ??= this.#write();
      await this.#writing;
    }
    await this.#writing;
  }

  async #write(): Promise<void> {
    // Entries that are noted in the same turn go into one write.
    await delay(0);
    this.#isStale = false;
    const entries = [...this.#entries.values()];
    const silent = findSilent(entries);
    const formerSilent = this.#storedSilent;
    this.#storedSilent = new Set([...formerSilent, ...silent]);
    const outcome = await this.#record.write(Buffer.from(JSON.stringify(entries)));
    if (outcome === 'written') {
      this.#storedSilent = silent;
    } else if (outcome === 'fenced') {
      this.#stopped = true;
      this.#options.onFenced();
    } else {
      this.#isStale = true;
      // A write without an answer may have taken effect, or may yet.
      this.#storedSilent = outcome === 'unknown' ? this.#storedSilent : formerSilent;
      await delay(JOURNAL_RETRY_MS);
    }
    this.#writing = undefined;
  }
}

function findSilent(entries: readonly RosterEntry[]): ReadonlySet<MinionId> {
  return new Set(
    entries.filter(({silent}) => silent !== undefined).map(({description}) => description.id),
  );
}
