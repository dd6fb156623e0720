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
import {defined, memoizeByIdentity} from './ObjectUtils.ts';

const MAX_RANKED_TEAMS = 1000;
const NOTHING: Resources = {accelerators: 0, cpu: 0, memoryMb: 0};

/** Shares of one cell by team; remembered for a catalogue and a list of cells. */
type SharesByCell = Map<string, ReadonlyMap<TeamId, Quota>>;

/** Name of a cell that is unique over all data centres. */
export function cellName(dataCentre: DataCentreId | string, cell: CellId | string): string {
  return `${dataCentre}/${cell}`;
}

/** Names of all cells that the known workers make up, sorted; the same array for the same list. */
export const knownCells = memoizeByIdentity((vms: readonly Vm[]): readonly string[] => {
  const names = vms.flatMap(({dataCentre, rack, role}) =>
    role === 'worker' && rack !== undefined ? [cellName(dataCentre, rack)] : [],
  );
  return [...new Set(names)].sort();
});

/** Ranks of cells by team, for one list of cells. */
const rankings = memoizeByIdentity<readonly string[], Map<string, ReadonlyMap<string, number>>>(
  () => new Map(),
);

const sharesByCell = memoizeByIdentity<CatalogueView, (cells: readonly string[]) => SharesByCell>(
  () => memoizeByIdentity(() => new Map()),
);

const largestTasks = memoizeByIdentity((view: CatalogueView): ReadonlyMap<string, Resources> => {
  const tasks = [...view.entries.values()].filter(({kind}) => kind === 'task');
  const largest = new Map<string, Resources>();
  for (const entry of tasks) {
    largest.set(entry.owner, largerOf(largest.get(entry.owner) ?? NOTHING, declaredOf(entry)));
  }
  return largest;
});

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
  const count = shareCount(quota, largestTasks(view).get(team.id) ?? NOTHING, cells);
  const rank = rankCells(team.id, cells).get(cell) ?? count;
  const share = rank < count ? 1 / count : 0;
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
  const remembered = sharesByCell(view)(cells);
  const known = remembered.get(cell);
  if (known) {
    return known;
  }
  const shares = new Map<TeamId, Quota>();
  for (const [id, team] of view.teams) {
    const share = quotaShare(team, view, cells, cell);
    if (share) {
      shares.set(id, share);
    }
  }
  remembered.set(cell, shares);
  return shares;
}

function largerOf(a: Resources, b: Resources): Resources {
  return {
    accelerators: Math.max(a.accelerators, b.accelerators),
    cpu: Math.max(a.cpu, b.cpu),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
  };
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

/** Ranks of the cells for the owner of a limit; hashed once for each list of cells. */
export function rankCells(team: string, cells: readonly string[]): ReadonlyMap<string, number> {
  const known = rankings(cells);
  const ranks = known.get(team) ?? hashRanks(team, cells);
  if (known.size < MAX_RANKED_TEAMS) {
    known.set(team, ranks);
  }
  return ranks;
}

function hashRanks(team: string, cells: readonly string[]): ReadonlyMap<string, number> {
  const hashed = cells.map((cell) => ({
    cell,
    hash: createHash('sha256').update(`${team}\n${cell}`).digest('hex'),
  }));
  hashed.sort((a, b) => (a.hash < b.hash ? -1 : 1));
  return new Map(hashed.map(({cell}, rank) => [cell, rank]));
}
