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
  /**
   * Whether the owner's key names the number by which it was acquired. A VM of a version that knows one cell names none;
   * records of the first version with cells don't say this, nor do its owners name it.
   */
  readonly ownersNameCells?: boolean;
  /** Whether jobs may be in another cell than their home, so that their places are looked up; absent otherwise. */
  readonly places?: true;
}

/** The number of cells as this VM has read it. */
export interface KnownCellCount extends Omit<CellCountRecord, 'places'> {
  readonly hasPlaces: boolean;
  /** Store revision of the last change of its key; 0 when the key is absent. */
  readonly revision: number;
}

/** A fleet without the key. */
export const UNDIVIDED: KnownCellCount = {cells: 1, hasPlaces: false, revision: 0};

/** Returns the number that a stored value names. */
export function decodeCellCount({modRevision, value}: StoredValue): Result<KnownCellCount, string> {
  return parseJson(value.toString()).andThen((record) => {
    const {cells, ownersNameCells, places} = (record ?? {}) as {
      cells?: number;
      ownersNameCells?: unknown;
      places?: unknown;
    };
    if (cells === undefined || !Number.isInteger(cells) || cells < 1 || cells > MAX_CELLS) {
      return err(`cells is no integer from 1 to ${MAX_CELLS}`);
    }
    if (places !== undefined && places !== true) {
      return err('places is neither true nor absent');
    }
    return ok({
      cells,
      hasPlaces: places === true,
      ownersNameCells: ownersNameCells === true,
      revision: modRevision,
    });
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
    ({cells, revision}) =>
      revision === known.revision && cells === known.cells ? 'same' : 'other',
    () => 'malformed',
  );
}

/**
 * Whether the owner of a cell acquired it under another number of cells, as a version does that knows one cell: it
 * may have any minion in its cell, so that no cell may be acquired beside it.
 */
export function isOfOtherCount(
  known: KnownCellCount,
  cell: CellIndex,
  owner: StoredValue | undefined,
): boolean {
  if (owner === undefined) {
    return false;
  }
  const isNamed = known.ownersNameCells !== true || readOwnerCells(owner) === known.cells;
  return cell >= known.cells || owner.modRevision < known.revision || !isNamed;
}

function readOwnerCells({value}: StoredValue): unknown {
  const owner = parseJson(value.toString()).unwrapOr(undefined) ?? {};
  return (owner as Partial<CellCountRecord>).cells;
}

/** Keys of the owners of all cells that there may be, by the cell. */
export const OWNER_KEYS: readonly string[] = listCells(MAX_CELLS).map(formatOwnerKey);
