/**
 * Shares of an entry's concurrency by cell. A data centre's limit is divided among so many of its
 * cells that a share is of use; which cells, follows from a hash, so that all VMs that know the same
 * cells come to the same shares and no decision needs a call.
 */

import type {DataCentreId} from '@nutmegproxy/core';
import type {Entry} from '@nutmegproxy/schema';

import {shareHolders} from './QuotaShares.ts';

/** Tasks of an entry that one cell ought to be able to run at one time. */
const TASKS_PER_SHARE = 8;
/** With fewer cells, an outage of one would stop the entry. */
const LEAST_HOLDERS = 2;

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
  const local = cells.filter((name) => name.startsWith(`${dataCentre}/`));
  const wanted = Math.max(LEAST_HOLDERS, Math.floor(concurrency / TASKS_PER_SHARE));
  const holders = shareHolders(entry.id, Math.min(wanted, concurrency), local);
  const place = holders.indexOf(cell);
  if (place < 0) {
    return 0;
  }
  const extra = place < concurrency % holders.length ? 1 : 0;
  return Math.floor(concurrency / holders.length) + extra;
}
