/** Reads into how many cells the fleet is divided. */

import type {EventSink} from '@nutmegproxy/core';
import type {PlatformStore, StoredValue} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {MAX_CELLS, STATE_PREFIX} from '@nutmegproxy/jobs';
import {parseJson} from '@nutmegproxy/owner';
import {getKey} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import {CELL_COUNT_RETRY_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

/** Key of the number of cells, which is stored as JSON. A fleet without it has one cell. */
export const CELL_COUNT_KEY = `${STATE_PREFIX}cells`;

/** Stored value of the key. */
export interface CellCountRecord {
  readonly cells: number;
}

export interface CellCountOptions {
  readonly events: EventSink;
  /** Whether to give up, as a process that stops does. */
  readonly isStopping: () => boolean;
  readonly store: PlatformStore;
}

/**
 * Returns the number of cells once it has been read. A value that names no such number is reported once and read
 * again until it does: with another number than other VMs have, this one would order their minions about.
 */
export async function readCellCount({
  events,
  isStopping,
  store,
}: CellCountOptions): Promise<number | undefined> {
  let reported: number | undefined;
  while (!isStopping()) {
    const read = await getKey(store, CELL_COUNT_KEY);
    if (read.isOk()) {
      const count = decodeCellCount(read.value);
      if (count.isOk()) {
        return count.value;
      }
      const revision = read.value?.modRevision;
      if (revision !== reported) {
        const fields = {key: CELL_COUNT_KEY, message: count.error, revision};
        events.record(ENTRY_EVENTS.CELL_COUNT_MALFORMED, fields);
        reported = revision;
      }
    }
    await delay(CELL_COUNT_RETRY_MS);
  }
  return undefined;
}

/** Returns the number that a stored value names; 1 for a fleet without one. */
export function decodeCellCount(stored: StoredValue | undefined): Result<number, string> {
  if (stored === undefined) {
    return ok(1);
  }
  return parseJson(stored.value.toString()).andThen((value) => {
    const {cells} = (value ?? {}) as Partial<CellCountRecord>;
    return cells !== undefined && Number.isInteger(cells) && cells >= 1 && cells <= MAX_CELLS
      ? ok(cells)
      : err(`cells is no integer from 1 to ${MAX_CELLS}`);
  });
}
