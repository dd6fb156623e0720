/** Finds out into how many cells the fleet is divided; the first VM of a new fleet decides it for good. */

import type {EventSink} from '@nutmegproxy/core';
import type {MachineList} from '@nutmegproxy/owner';
import type {PlatformStore, StoredValue} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey, MAX_CELLS, STATE_PREFIX} from '@nutmegproxy/jobs';
import {chooseCellCount, chooseTakeoverDelayMs, OWNER_EVENTS, parseJson} from '@nutmegproxy/owner';
import {getKey} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import {
  CELL_COUNT_JITTER_MS,
  CELL_COUNT_RETRY_MS,
  MAX_CELL_COUNT_WAITS,
  MIN_EQUAL_VM_READS,
} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

/** Key of the number of cells, which is stored as JSON. A fleet that has had an owner without it has one cell. */
export const CELL_COUNT_KEY = `${STATE_PREFIX}cells`;
const TERM_KEY = formatRecordKey('term', FIRST_CELL);

/** Stored value of the key. */
export interface CellCountRecord {
  readonly cells: number;
  /** Whether jobs may be in another cell than their home, so that their places are looked up; absent otherwise. */
  readonly places?: true;
}

export interface CellCountOptions {
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
  | {readonly cells: number; readonly hasPlaces: boolean; readonly kind: 'known'}
  | {readonly kind: 'malformed' | 'unread'}
  | {readonly kind: 'undecided'};

export class CellCount {
  /** Number of reads in a row that have listed as many other VMs as the last one. */
  #equalReads = 0;
  #hasPlaces = false;
  /** Whether the first cell had a term before the next read of the number. */
  #hasTerm = false;
  readonly #options: CellCountOptions;
  #otherVms = 0;
  #reported: number | undefined;
  /** Number of times that the decision was put off. */
  #waits = 0;

  constructor(options: CellCountOptions) {
    this.#options = options;
  }

  /**
   * Whether jobs of the fleet may have places, once the number is known. Those that a version without places has
   * divided have none: its VMs would not find such jobs.
   */
  get hasPlaces(): boolean {
    return this.#hasPlaces;
  }

  /**
   * Returns the number of cells once it is known; undefined when the process stops before. A value that names no
   * such number is reported once and read again until it does: with another number than other VMs have, this one
   * would order their minions about.
   */
  async find(): Promise<number | undefined> {
    const {isStopping, ownCores, random} = this.#options;
    let mayDecide = false;
    while (!isStopping()) {
      const state = await this.#read();
      if (state.kind === 'known') {
        this.#hasPlaces = state.hasPlaces;
        return state.cells;
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
    const record: CellCountRecord = cells === 1 ? {cells} : {cells, places: true};
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
   * Chooses the number; undefined while the machines can't be listed, or fewer VMs are registered than a fleet
   * with VMs like this one needs: those of a fleet that starts register one after the other.
   */
  async #choose(): Promise<number | undefined> {
    const {machines, ownCores, readOtherCores} = this.#options;
    const listed = await machines?.list();
    const minions = listed?.map((occupants) => occupants.size).unwrapOr(0) ?? 0;
    const needed = chooseCellCount(minions, Array<number>(MAX_CELLS).fill(ownCores));
    const others = needed > 1 ? await readOtherCores() : [];
    const cells = chooseCellCount(minions, [ownCores, ...others]);
    const isComplete = listed?.isErr() !== true && others.length + 1 >= needed;
    if (!isComplete && this.#waits < MAX_CELL_COUNT_WAITS) {
      this.#waits += 1;
      return undefined;
    }
    return cells === 1 || this.#hasSettled(others.length) ? cells : undefined;
  }

  /** Whether the list of VMs has not grown for some reads; a larger VM may carry the fleet alone. */
  #hasSettled(otherVms: number): boolean {
    this.#equalReads = otherVms === this.#otherVms ? this.#equalReads + 1 : 1;
    this.#otherVms = otherVms;
    return this.#equalReads >= MIN_EQUAL_VM_READS;
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
      return this.#hasTerm ? {cells: 1, hasPlaces: false, kind: 'known'} : this.#readTerm();
    }
    const decoded = decodeCellCount(stored.value);
    if (decoded.isOk()) {
      const {cells, places = false} = decoded.value;
      return {cells, hasPlaces: places, kind: 'known'};
    }
    const revision = stored.value.modRevision;
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

/** Returns the record of a stored value. */
function decodeCellCount({value}: StoredValue): Result<CellCountRecord, string> {
  return parseJson(value.toString()).andThen((record) => {
    const {cells, places} = (record ?? {}) as {cells?: number; places?: unknown};
    if (cells === undefined || !Number.isInteger(cells) || cells < 1 || cells > MAX_CELLS) {
      return err(`cells is no integer from 1 to ${MAX_CELLS}`);
    }
    if (places === undefined) {
      return ok({cells});
    }
    return places === true ? ok({cells, places}) : err('places is neither true nor absent');
  });
}
