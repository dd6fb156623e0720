/** Places: the cells of the jobs that are not in the home cell, which the hash of their id names. */

import type {JobId} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {CellIndex} from './CellKeys.ts';

import {parseStored} from './JobRecords.ts';

/** Prefix of the keys of places. They belong to no cell, since a job is looked for before its cell is known. */
export const PLACE_PREFIX = 'nutmegproxy/place/';

/** Stored value of a place. */
export interface PlaceRecord {
  readonly cell: CellIndex;
}

/**
 * Returns the key of the place of a job.
 *
 * @example
 * formatPlaceKey(id); // 'nutmegproxy/place/5c0e7a21d94b36f8'
 */
export function formatPlaceKey(id: JobId): string {
  return `${PLACE_PREFIX}${id}`;
}

export function encodePlace(cell: CellIndex): Buffer {
  const record: PlaceRecord = {cell};
  return Buffer.from(JSON.stringify(record));
}

/** Returns the cell that a stored place names, of a fleet with that many. */
export function decodePlace(value: Buffer, cells: number): Result<CellIndex, string> {
  return parseStored(value).andThen((record) => {
    const {cell} = (record ?? {}) as Partial<PlaceRecord>;
    return cell !== undefined && Number.isInteger(cell) && cell >= 0 && cell < cells
      ? ok(cell)
      : err(`cell is no integer from 0 to ${cells - 1}`);
  });
}
