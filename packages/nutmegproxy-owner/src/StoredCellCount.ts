/** The stored number of cells, and which ownerships were acquired under another one. */

import type {CellIndex} from '@nutmegproxy/jobs';
import type {StoredValue} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {formatOwnerKey, listCells, MAX_CELLS, STATE_PREFIX} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

import {parseJson} from './StoredJson.ts';

/** Key of the number of cells, which is stored as JSON. A fleet that has had an owner without it has one cell. */
export const CELL_COUNT_KEY = `${STATE_PREFIX}cells`;

/** Stored value of the key. */
export interface CellCountRecord {
  readonly cells: number;
}

/** The number of cells as this VM has read it. */
export interface KnownCellCount {
  readonly cells: number;
  /** Store revision of the last change of its key; 0 when the key is absent. */
  readonly revision: number;
}

/** A fleet without the key. */
export const UNDIVIDED: KnownCellCount = {cells: 1, revision: 0};

/** Returns the number that a stored value names. */
export function decodeCellCount({value}: StoredValue): Result<number, string> {
  return parseJson(value.toString()).andThen((record) => {
    const {cells} = (record ?? {}) as Partial<CellCountRecord>;
    return cells !== undefined && Number.isInteger(cells) && cells >= 1 && cells <= MAX_CELLS
      ? ok(cells)
      : err(`cells is no integer from 1 to ${MAX_CELLS}`);
  });
}

/**
 * Compares a value of the key with the number that this VM knows; a malformed one names no other number. A store that
 * was restored may have another value at the same revision.
 */
export function compareCellCount(
  known: KnownCellCount,
  stored: StoredValue | undefined,
): 'malformed' | 'other' | 'same' {
  if (stored === undefined) {
    return known.revision === 0 ? 'same' : 'other';
  }
  return decodeCellCount(stored).match(
    (cells) => (stored.modRevision === known.revision && cells === known.cells ? 'same' : 'other'),
    () => 'malformed',
  );
}

/**
 * Whether the owner of a cell acquired it under another number of cells: it may have acquired any minion's cell
 * then, so that no cell may be acquired beside it.
 */
export function isOfOtherCount(
  known: KnownCellCount,
  cell: CellIndex,
  owner: StoredValue | undefined,
): boolean {
  return owner !== undefined && (cell >= known.cells || owner.modRevision < known.revision);
}

/** Keys of the owners of all cells that there may be, by the cell. */
export const OWNER_KEYS: readonly string[] = listCells(MAX_CELLS).map(formatOwnerKey);
