/**
 * Shares of the teams' quotas by cell. A quota is divided among so many cells that each share holds
 * at least one of the team's largest tasks; which cells, follows from a hash, so that all VMs that
 * know the same cells come to the same shares.
 */

import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {CellId, DataCentreId, TeamId} from '@nutmegproxy/core';
import type {Quota, Resources, Team, Vm} from '@nutmegproxy/schema';

import {createHash} from 'node:crypto';

import {declaredOf} from './Cell.ts';
import {defined} from './ObjectUtils.ts';

/** Name of a cell that is unique over all data centres. */
export function cellName(dataCentre: DataCentreId | string, cell: CellId | string): string {
  return `${dataCentre}/${cell}`;
}

/** Names of all cells that the known workers make up, sorted. */
export function knownCells(vms: readonly Vm[]): readonly string[] {
  const names = vms.flatMap(({dataCentre, rack, role}) =>
    role === 'worker' && rack !== undefined ? [cellName(dataCentre, rack)] : [],
  );
  return [...new Set(names)].sort();
}

/** A team's share in one cell; undefined when the team has no quota. */
export function quotaShare(
  team: Team,
  view: CatalogueView,
  cells: readonly string[],
  cell: string,
): Quota | undefined {
  const {quota} = team;
  if (!quota) {
    return undefined;
  }
  const holders = shareHolders(
    team.id,
    shareCount(quota, largestTask(team.id, view), cells),
    cells,
  );
  const share = holders.includes(cell) ? 1 / holders.length : 0;
  return defined({
    accelerators: scaled(quota.accelerators, share),
    cpu: scaled(quota.cpu, share),
    memoryMb: scaled(quota.memoryMb, share),
  });
}

/**
 * Shares of all teams with a quota in one cell.
 *
 * @example
 * placement.setQuotas(quotaShares(catalogue.current(), knownCells(directory.vms()), name), now);
 */
export function quotaShares(
  view: CatalogueView,
  cells: readonly string[],
  cell: string,
): ReadonlyMap<TeamId, Quota> {
  const shares = new Map<TeamId, Quota>();
  for (const [id, team] of view.teams) {
    const share = quotaShare(team, view, cells, cell);
    if (share) {
      shares.set(id, share);
    }
  }
  return shares;
}

function largestTask(team: string, view: CatalogueView): Resources {
  const largest = {accelerators: 0, cpu: 0, memoryMb: 0};
  for (const entry of view.entries.values()) {
    if (entry.owner === team && entry.kind === 'task') {
      const declared = declaredOf(entry);
      largest.accelerators = Math.max(largest.accelerators, declared.accelerators);
      largest.cpu = Math.max(largest.cpu, declared.cpu);
      largest.memoryMb = Math.max(largest.memoryMb, declared.memoryMb);
    }
  }
  return largest;
}

function scaled(limit: number | undefined, share: number): number | undefined {
  return limit === undefined ? undefined : limit * share;
}

function shareCount(quota: Quota, largest: Resources, cells: readonly string[]): number {
  const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
  const counts = kinds.map((kind) => {
    const limit = quota[kind];
    return limit === undefined || largest[kind] === 0
      ? cells.length
      : Math.floor(limit / largest[kind]);
  });
  return Math.max(1, Math.min(cells.length, ...counts));
}

/** The `count` cells that hold shares of what `owner` has; the same for all who know `cells`. */
export function shareHolders(
  owner: string,
  count: number,
  cells: readonly string[],
): readonly string[] {
  const ranked = cells.map((cell) => ({
    cell,
    rank: createHash('sha256').update(`${owner}\n${cell}`).digest('hex'),
  }));
  ranked.sort((a, b) => (a.rank < b.rank ? -1 : 1));
  return ranked.slice(0, count).map(({cell}) => cell);
}
