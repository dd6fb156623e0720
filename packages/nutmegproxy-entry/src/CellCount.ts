/** Finds out into how many cells the fleet is divided; the first VM of a new fleet decides it for good. */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {CellCountRecord, KnownCellCount, MachineList} from '@nutmegproxy/owner';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey, MAX_CELLS} from '@nutmegproxy/jobs';
import {
  CELL_COUNT_KEY,
  chooseCellCount,
  chooseTakeoverDelayMs,
  decodeCellCount,
  OWNER_EVENTS,
  UNDIVIDED,
} from '@nutmegproxy/owner';
import {getKey} from '@nutmegproxy/store';

import {
  CELL_COUNT_JITTER_MS,
  CELL_COUNT_RETRY_MS,
  CELL_COUNT_WAIT_MS,
  EQUAL_VMS_MS,
  MAX_CELL_COUNT_WAIT_MS,
} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

const TERM_KEY = formatRecordKey('term', FIRST_CELL);

export interface CellCountOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  /** Whether to give up, as a process that stops does. */
  readonly isStopping: () => boolean;
  /** The platform's list of machines; a new fleet without it is not divided. */
  readonly machines: MachineList | undefined;
  /** Processor capacity of this VM in cores. */
  readonly ownCores: number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  /** Reads the list of VMs and returns the cores of each other one. */
  readonly readOtherCores: () => Promise<readonly number[]>;
  readonly store: PlatformStore;
}

type CellCountState =
  | {readonly count: KnownCellCount; readonly kind: 'known'}
  | {readonly kind: 'malformed' | 'unread'}
  | {readonly kind: 'undecided'};

export class CellCount {
  /** How many other VMs are listed, and since when as many were. */
  #equalVms: undefined | {readonly otherVms: number; readonly since: Instant};
  /** Whether the first cell had a term before the next read of the number. */
  #hasTerm = false;
  readonly #options: CellCountOptions;
  #reported: number | undefined;
  /** When this VM first tried to decide. */
  #startedAt: Instant | undefined;

  constructor(options: CellCountOptions) {
    this.#options = options;
  }

  /**
   * Returns the number of cells once it is known; undefined when the process stops before. A value that names no
   * such number is reported once and read again until it does: with another number than other VMs have, this one
   * would order their minions about.
   */
  async find(): Promise<KnownCellCount | undefined> {
    const {isStopping, ownCores, random} = this.#options;
    let mayDecide = false;
    this.#equalVms = undefined;
    this.#hasTerm = false;
    this.#startedAt = undefined;
    while (!isStopping()) {
      const state = await this.#read();
      if (state.kind === 'known') {
        return state.count;
      }
      if (state.kind === 'undecided' && mayDecide) {
        await this.#decide();
      } else if (state.kind === 'undecided') {
        // Larger VMs of a fleet that starts decide first, as they own it first.
        await delay(chooseTakeoverDelayMs(ownCores, []) + random() * CELL_COUNT_JITTER_MS);
        mayDecide = true;
        continue;
      }
      await delay(CELL_COUNT_RETRY_MS);
    }
    return undefined;
  }

  /** Stores the number for a fleet that has never had an owner, unless another VM has. */
  async #decide(): Promise<void> {
    const {events, store} = this.#options;
    const cells = await this.#choose();
    if (cells === undefined) {
      return;
    }
    const record: CellCountRecord =
      cells === 1 ? {cells} : {cells, ownersNameCells: true, places: true};
    // Whether it was written, by this VM or another one, the next read tells.
    const written = await store.commit({
      compare: [
        {key: CELL_COUNT_KEY, kind: 'modRevision', modRevision: 0},
        {key: TERM_KEY, kind: 'modRevision', modRevision: 0},
      ],
      then: [{key: CELL_COUNT_KEY, kind: 'put', value: Buffer.from(JSON.stringify(record))}],
    });
    if (written.isErr()) {
      this.#reportFailure(written.error.message);
    } else if (written.value.succeeded) {
      events.record(ENTRY_EVENTS.CELLS_CHOSEN, {cells, revision: written.value.revision});
    }
  }

  /**
   * Chooses the number; undefined for a limited time while the machines can't be listed, or fewer VMs are registered than a fleet
   * with VMs like this one needs: those of a fleet that starts register one after the other.
   */
  async #choose(): Promise<number | undefined> {
    const {clock, machines, ownCores, readOtherCores} = this.#options;
    const startedAt = this.#startedAt ?? clock.monotonic();
    this.#startedAt = startedAt;
    const listed = await machines?.list();
    const minions = listed?.map((occupants) => occupants.size).unwrapOr(0) ?? 0;
    const needed = chooseCellCount(minions, Array<number>(MAX_CELLS).fill(ownCores));
    const others = needed > 1 ? await readOtherCores() : [];
    const cells = chooseCellCount(minions, [ownCores, ...others]);
    const isComplete = listed?.isErr() !== true && others.length + 1 >= needed;
    const now = clock.monotonic();
    const waitedMs = now - startedAt;
    const equalMs = this.#measureEqualMs(others.length, now);
    if (!isComplete && waitedMs < CELL_COUNT_WAIT_MS) {
      return undefined;
    }
    return cells === 1 || equalMs >= EQUAL_VMS_MS || waitedMs >= MAX_CELL_COUNT_WAIT_MS
      ? cells
      : undefined;
  }

  /** Returns for how long as many VMs have been listed; a larger VM that registers may carry the fleet alone. */
  #measureEqualMs(otherVms: number, now: Instant): number {
    if (this.#equalVms?.otherVms !== otherVms) {
      this.#equalVms = {otherVms, since: now};
    }
    return now - this.#equalVms.since;
  }

  /** Reads the number again once there is a term: a number that was decided is stored before any term. */
  async #read(): Promise<CellCountState> {
    const {events, store} = this.#options;
    const stored = await getKey(store, CELL_COUNT_KEY);
    if (stored.isErr()) {
      this.#reportFailure(stored.error.message);
      return {kind: 'unread'};
    }
    if (stored.value === undefined) {
      return this.#hasTerm ? {count: UNDIVIDED, kind: 'known'} : this.#readTerm();
    }
    const decoded = decodeCellCount(stored.value);
    const revision = stored.value.modRevision;
    if (decoded.isOk()) {
      return {count: decoded.value, kind: 'known'};
    }
    if (revision !== this.#reported) {
      const fields = {key: CELL_COUNT_KEY, message: decoded.error, revision};
      events.record(ENTRY_EVENTS.CELL_COUNT_MALFORMED, fields);
      this.#reported = revision;
    }
    return {kind: 'malformed'};
  }

  #reportFailure(message: string): void {
    const {events} = this.#options;
    events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'number of cells'});
  }

  async #readTerm(): Promise<CellCountState> {
    const term = await getKey(this.#options.store, TERM_KEY);
    if (term.isErr()) {
      this.#reportFailure(term.error.message);
      return {kind: 'unread'};
    }
    this.#hasTerm = term.value !== undefined;
    return this.#hasTerm ? this.#read() : {kind: 'undecided'};
  }
}
