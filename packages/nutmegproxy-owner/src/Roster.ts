/**
 * The minions on which an owner may have runs, kept in the store. A listing of the platform can
 * lapse while its minion works on, so the next owner has to know of the minions that are missing
 * there. A minion gets work only once it stands in the roster.
 */

import type {EventSink, MinionId} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {Tenure} from './Tenure.ts';

import {JOURNAL_RETRY_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OWNER_KEY} from './Ownership.ts';
import {delay, fencedBy} from './OwnerUtils.ts';

const ROSTER_KEY = `${STATE_PREFIX}roster`;

export interface RosterOptions {
  readonly events: EventSink;
  readonly onFenced: () => void;
  readonly store: PlatformStore;
  readonly tenure: Tenure;
}

export class Roster {
  readonly #entries = new Map<MinionId, MinionDescription>();
  readonly #options: RosterOptions;
  #stopped = false;
  #writing: Promise<void> | undefined;
  #isStale = false;

  constructor(options: RosterOptions) {
    this.#options = options;
  }

  /** Resolves once the minions stand in the store's roster. */
  async add(minions: readonly MinionDescription[]): Promise<void> {
    const added = minions.filter(({id}) => !this.#entries.has(id));
    if (added.length === 0) {
      return this.#writing;
    }
    for (const minion of added) {
      this.#entries.set(minion.id, minion);
    }
    this.#isStale = true;
    this.#writing ??= this.#write();
    return this.#writing;
  }

  close(): void {
    this.#stopped = true;
  }

  /** Minions of the former owner's roster. */
  async read(): Promise<Result<readonly MinionDescription[], StoreFailure>> {
    const stored = await getKey(this.#options.store, ROSTER_KEY);
    if (stored.isErr()) {
      return err(stored.error);
    }
    const text = stored.value?.value.toString() ?? '[]';
    const minions = JSON.parse(text) as MinionDescription[];
    for (const minion of minions) {
      this.#entries.set(minion.id, minion);
    }
    return ok(minions);
  }

  /** A minion on which nothing runs any more; leaves the store with the next write. */
  remove(id: MinionId): void {
    this.#entries.delete(id);
  }

  async #write(): Promise<void> {
    const {events, onFenced, store, tenure} = this.#options;
    while (this.#isStale && !this.#stopped) {
      this.#isStale = false;
      const value = Buffer.from(JSON.stringify([...this.#entries.values()]));
      const written = await store.commit({
        compare: [fencedBy(OWNER_KEY, tenure)],
        then: [{key: ROSTER_KEY, kind: 'put', value}],
      });
      if (written.isErr()) {
        const {kind, message} = written.error;
        events.record(OWNER_EVENTS.JOURNAL_FAILED, {kind, message, what: 'roster'});
        this.#isStale = true;
        await delay(JOURNAL_RETRY_MS);
      } else if (!written.value.succeeded) {
        this.#stopped = true;
        onFenced();
      }
    }
    this.#writing = undefined;
  }
}
