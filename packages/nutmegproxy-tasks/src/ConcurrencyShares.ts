/**
 * Shares of an entry's concurrency by cell. A data centre's limit is divided among so many of its
 * cells that a share is of use; which cells, follows from a hash, so that all VMs that know the same
 * cells come to the same shares and no decision needs a call.
 */

import type {DataCentreId} from '@nutmegproxy/core';
import type {Entry} from '@nutmegproxy/schema';

import {rankCells} from './QuotaShares.ts';

/** Tasks of an entry that one cell ought to be able to run at one time. */
const TASKS_PER_SHARE = 8;
/** With fewer cells, an outage of one would stop the entry. */
const LEAST_HOLDERS = 2;
/** Answers kept for each list of cells. */
const MAX_REMEMBERED = 4096;
/** Holders by list of cells; a list that is no longer used takes its answers with it. */
const REMEMBERED = new WeakMap<readonly string[], Map<string, readonly string[]>>();

/**
 * Tasks of the entry that may run in a cell at one time; Infinity when the entry has no limit. The
 * shares of a data centre's cells add up to the limit.
 *
 * @example
 * concurrencyShare(entry, knownCells(directory.vms()), 'dc1', 'dc1/rack-1');
 */
export function concurrencyShare(
  entry: Entry,
  cells: readonly string[],
  dataCentre: DataCentreId | string,
  cell: string,
): number {
  const {concurrency} = entry.limits;
  if (concurrency === undefined) {
    return Infinity;
  }
  const holders = holdersOf(entry.id, concurrency, cells, dataCentre);
  const place = holders.indexOf(cell);
  if (place < 0) {
    return 0;
  }
  const extra = place < concurrency % holders.length ? 1 : 0;
  return Math.floor(concurrency / holders.length) + extra;
}

/** Cells of the data centre with a share, in their order. */
function holdersOf(
  entry: string,
  concurrency: number,
  cells: readonly string[],
  dataCentre: string,
): readonly string[] {
  const remembered = REMEMBERED.get(cells) ?? new Map<string, readonly string[]>();
  REMEMBERED.set(cells, remembered);
  const key = `${dataCentre} ${concurrency} ${entry}`;
  const known = remembered.get(key);
  if (known) {
    return known;
  }
  const ranks = rankCells(entry, cells);
  const wanted = Math.max(LEAST_HOLDERS, Math.floor(concurrency / TASKS_PER_SHARE));
  const holders = cells
    .filter((name) => name.startsWith(`${dataCentre}/`))
    .sort((a, b) => (ranks.get(a) ?? 0) - (ranks.get(b) ?? 0))
    .slice(0, Math.min(wanted, concurrency));
  if (remembered.size < MAX_REMEMBERED) {
    remembered.set(key, holders);
  }
  return holders;
}
