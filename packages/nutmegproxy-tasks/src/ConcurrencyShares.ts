/**
 * Shares of an entry's concurrency limit by cell. A data centre's limit is divided among few enough
 * of its cells that each share is useful. A hash selects the cells, so that all VMs that know the
 * same cells compute the same shares, without a remote call per decision.
 */

import type {DataCentreId} from '@nutmegproxy/core';
import type {Entry} from '@nutmegproxy/schema';

import {rankCells} from './QuotaShares.ts';

/** Target for the number of tasks of an entry that one cell can run at one time. */
const TARGET_TASKS_PER_SHARE = 8;
/** With a single cell, its outage would stop the entry. */
const MIN_CELLS_PER_ENTRY = 2;
/** Cached selections per list of cells. */
const MAX_CACHED_SELECTIONS = 4096;
/** Selected cells by list of cells; a list's selections are garbage-collected with it. */
const SELECTION_CACHE = new WeakMap<readonly string[], Map<string, readonly string[]>>();

/**
 * Maximum number of tasks of the entry that run in a cell at one time; Infinity when the entry has
 * no limit. The shares of a data centre's cells add up to the limit.
 *
 * @example
 * computeConcurrencyShare(entry, listCells(directory.vms()), 'dc1', 'dc1/rack-1');
 */
export function computeConcurrencyShare(
  entry: Entry,
  cells: readonly string[],
  dataCentre: DataCentreId | string,
  cell: string,
): number {
  const {concurrency} = entry.limits;
  if (concurrency === undefined) {
    return Infinity;
  }
  const selected = selectCells(entry.id, concurrency, cells, dataCentre);
  const rank = selected.indexOf(cell);
  if (rank < 0) {
    return 0;
  }
  const extra = rank < concurrency % selected.length ? 1 : 0;
  return Math.floor(concurrency / selected.length) + extra;
}

/** Cells of the data centre that have a share, by rank. */
function selectCells(
  entry: string,
  concurrency: number,
  cells: readonly string[],
  dataCentre: string,
): readonly string[] {
  const selections = SELECTION_CACHE.get(cells) ?? new Map<string, readonly string[]>();
  SELECTION_CACHE.set(cells, selections);
  const key = `${dataCentre} ${concurrency} ${entry}`;
  const cached = selections.get(key);
  if (cached) {
    return cached;
  }
  const ranks = rankCells(entry, cells);
  const cellCount = Math.max(MIN_CELLS_PER_ENTRY, Math.floor(concurrency / TARGET_TASKS_PER_SHARE));
  const selected = cells
    .filter((name) => name.startsWith(`${dataCentre}/`))
    .sort((a, b) => (ranks.get(a) ?? 0) - (ranks.get(b) ?? 0))
    .slice(0, Math.min(cellCount, concurrency));
  if (selections.size < MAX_CACHED_SELECTIONS) {
    selections.set(key, selected);
  }
  return selected;
}
