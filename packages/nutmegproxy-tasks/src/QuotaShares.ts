/**
 * Shares of the teams' quotas by cell. A quota is divided among as many cells as possible while
 * each share fits the team's largest task. A hash selects the cells, so that all VMs that know the
 * same cells compute the same shares.
 */

import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {CellId, DataCentreId, TeamId} from '@nutmegproxy/core';
import type {Quota, Resources, Team, Vm} from '@nutmegproxy/schema';

import {createHash} from 'node:crypto';

import {getDeclaredResources} from './Cell.ts';
import {memoizeByIdentity, omitUndefined} from './ObjectUtils.ts';

const MAX_CACHED_RANKINGS = 1000;
const NO_RESOURCES: Resources = {accelerators: 0, cpu: 0, memoryMb: 0};

/** Shares by cell and team, cached for a catalogue and a list of cells. */
type SharesByCell = Map<string, ReadonlyMap<TeamId, Quota>>;

/** Name of a cell, unique across all data centres. */
export function formatCellName(dataCentre: DataCentreId | string, cell: CellId | string): string {
  return `${dataCentre}/${cell}`;
}

/** Sorted names of the cells that have workers; returns the same array for the same list. */
export const listCells = memoizeByIdentity((vms: readonly Vm[]): readonly string[] => {
  const names = vms.flatMap(({dataCentre, rack, role}) =>
    role === 'worker' && rack !== undefined ? [formatCellName(dataCentre, rack)] : [],
  );
  return [...new Set(names)].sort();
});

/** Ranks of cells by team or entry, cached for a list of cells. */
const rankCache = memoizeByIdentity<readonly string[], Map<string, ReadonlyMap<string, number>>>(
  () => new Map(),
);

const shareCache = memoizeByIdentity<CatalogueView, (cells: readonly string[]) => SharesByCell>(
  () => memoizeByIdentity(() => new Map()),
);

const getLargestTasks = memoizeByIdentity((view: CatalogueView): ReadonlyMap<string, Resources> => {
  const tasks = [...view.entries.values()].filter(({kind}) => kind === 'task');
  const largest = new Map<string, Resources>();
  for (const entry of tasks) {
    largest.set(
      entry.owner,
      maxResources(largest.get(entry.owner) ?? NO_RESOURCES, getDeclaredResources(entry)),
    );
  }
  return largest;
});

/** A team's share of its quota in one cell; undefined when the team has no quota. */
export function computeQuotaShare(
  team: Team,
  view: CatalogueView,
  cells: readonly string[],
  cell: string,
): Quota | undefined {
  const {quota} = team;
  if (!quota) {
    return undefined;
  }
  const count = countShares(quota, getLargestTasks(view).get(team.id) ?? NO_RESOURCES, cells);
  const rank = rankCells(team.id, cells).get(cell) ?? count;
  const share = rank < count ? 1 / count : 0;
  return omitUndefined({
    accelerators: scaleLimit(quota.accelerators, share),
    cpu: scaleLimit(quota.cpu, share),
    memoryMb: scaleLimit(quota.memoryMb, share),
  });
}

/**
 * Quota shares in one cell of all teams that have a quota.
 *
 * @example
 * placement.setQuotas(computeQuotaShares(view, listCells(directory.vms()), name), now);
 */
export function computeQuotaShares(
  view: CatalogueView,
  cells: readonly string[],
  cell: string,
): ReadonlyMap<TeamId, Quota> {
  const cachedShares = shareCache(view)(cells);
  const cached = cachedShares.get(cell);
  if (cached) {
    return cached;
  }
  const shares = new Map<TeamId, Quota>();
  for (const [id, team] of view.teams) {
    const share = computeQuotaShare(team, view, cells, cell);
    if (share) {
      shares.set(id, share);
    }
  }
  cachedShares.set(cell, shares);
  return shares;
}

function maxResources(a: Resources, b: Resources): Resources {
  return {
    accelerators: Math.max(a.accelerators, b.accelerators),
    cpu: Math.max(a.cpu, b.cpu),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
  };
}

function scaleLimit(limit: number | undefined, share: number): number | undefined {
  return limit === undefined ? undefined : limit * share;
}

function countShares(quota: Quota, largest: Resources, cells: readonly string[]): number {
  const kinds = ['accelerators', 'cpu', 'memoryMb'] as const;
  const counts = kinds.map((kind) => {
    const limit = quota[kind];
    return limit === undefined || largest[kind] === 0
      ? cells.length
      : Math.floor(limit / largest[kind]);
  });
  return Math.max(1, Math.min(cells.length, ...counts));
}

/** Ranks of the cells for the team or entry `id`; computed once for each list of cells. */
export function rankCells(id: string, cells: readonly string[]): ReadonlyMap<string, number> {
  const cached = rankCache(cells);
  const ranks = cached.get(id) ?? computeRanks(id, cells);
  if (cached.size < MAX_CACHED_RANKINGS) {
    cached.set(id, ranks);
  }
  return ranks;
}

function computeRanks(id: string, cells: readonly string[]): ReadonlyMap<string, number> {
  const hashed = cells.map((cell) => ({
    cell,
    hash: createHash('sha256').update(`${id}\n${cell}`).digest('hex'),
  }));
  hashed.sort((a, b) => (a.hash < b.hash ? -1 : 1));
  return new Map(hashed.map(({cell}, rank) => [cell, rank]));
}
