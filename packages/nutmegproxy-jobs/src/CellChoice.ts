/** Decides which cell a minion and a job belong to. */

import type {JobId, MinionId} from '@nutmegproxy/core';

import type {CellIndex} from './CellKeys.ts';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash: FNV-1a, with the upper bits mixed into the lower ones. */
export function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  value = Math.imul(value ^ (value >>> 16), FNV_PRIME);
  return (value ^ (value >>> 15)) >>> 0;
}

/**
 * Returns the cell of a minion. It depends on nothing else than the number of cells, so that all VMs agree
 * and a minion has one owner at a time.
 *
 * @example
 * findMinionCell(id, 1); // 0
 */
export function findMinionCell(id: MinionId, cells: number): CellIndex {
  return (hash(id) % cells) as CellIndex;
}

/**
 * Returns the cell of a job. It depends on nothing else than the number of cells, so that every entry VM
 * finds the job's records without another read.
 *
 * @example
 * findJobCell(id, 1); // 0
 */
export function findJobCell(id: JobId, cells: number): CellIndex {
  return (hash(id) % cells) as CellIndex;
}

/** Returns all cells of a fleet with that many. */
export function listCells(cells: number): readonly CellIndex[] {
  return Array.from({length: cells}, (_, cell) => cell as CellIndex);
}
