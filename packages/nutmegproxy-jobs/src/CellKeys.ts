/**
 * Keys of the cells of a fleet. A cell is a part of the minions that one entry VM owns, with an ownership
 * and records of its own. The keys of the first cell are those of a fleet that is not divided.
 */

import type {Branded} from '@nutmegproxy/core';

/** Position of a cell among those of the fleet, from 0. */
export type CellIndex = Branded<number, 'CellIndex'>;

/** The only cell of a fleet that is not divided. */
export const FIRST_CELL = 0 as CellIndex;
/** Most cells of a fleet. */
export const MAX_CELLS = 16;

/** Name of a record that an owner keeps of its cell. */
export type CellRecord =
  'closing' | 'knowledge' | 'recording' | 'recovery' | 'roster' | 'term' | 'waiting';

const ROOT = 'nutmegproxy/';
/** Prefix of the records of the first cell, and of those that belong to no cell. */
export const STATE_PREFIX = `${ROOT}state/`;
/** Prefix of the keys of job progress in the first cell. */
export const PROGRESS_PREFIX = `${ROOT}progress/`;

/** Prefix of all keys of cells but the first one; a fleet that is not divided has none. */
export const CELLS_PREFIX = `${ROOT}cell/`;

function formatCellPrefix(cell: CellIndex): string {
  return cell === FIRST_CELL ? ROOT : `${CELLS_PREFIX}${cell}/`;
}

/**
 * Returns the prefix of the keys that the owner of a cell watches: its own key, jobs and cancellations.
 *
 * @example
 * formatFleetPrefix(2 as CellIndex); // 'nutmegproxy/cell/2/fleet/'
 */
export function formatFleetPrefix(cell: CellIndex): string {
  return `${formatCellPrefix(cell)}fleet/`;
}

/**
 * Returns the prefix of the keys of job progress, one per job.
 *
 * @example
 * formatProgressPrefix(FIRST_CELL); // 'nutmegproxy/progress/'
 */
export function formatProgressPrefix(cell: CellIndex): string {
  return `${formatCellPrefix(cell)}progress/`;
}

/**
 * Returns the key of the current owner of a cell.
 *
 * @example
 * formatOwnerKey(FIRST_CELL); // 'nutmegproxy/fleet/owner'
 */
export function formatOwnerKey(cell: CellIndex): string {
  return `${formatFleetPrefix(cell)}owner`;
}

/**
 * Returns the key of a record that the owner of a cell writes and doesn't watch.
 *
 * @example
 * formatRecordKey('roster', FIRST_CELL); // 'nutmegproxy/state/roster'
 */
export function formatRecordKey(record: CellRecord, cell: CellIndex): string {
  return `${formatCellPrefix(cell)}state/${record}`;
}
