/** Computes the differences between a revision and an operator's document. */

import type {TeamId} from '@nutmegproxy/core';
import type {Catalogue, Drain, Entry, Stop, Team} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import {isDeepStrictEqual} from 'node:util';

import type {CatalogueSnapshot} from './CatalogueSnapshot.ts';

/** A team and its entries in a document, without a revision. */
export interface TeamContent {
  readonly entries: Entry[];
  readonly team: Team;
}

export interface PlansContent {
  readonly drains: Drain[];
  readonly stops: Stop[];
}

/** The parts that differ between a snapshot and a document. */
export interface CatalogueDiff {
  readonly changed: readonly TeamContent[];
  readonly plans?: PlansContent;
  readonly removed: readonly TeamId[];
}

/** One difference as shown to an operator. */
export interface DiffLine {
  readonly id: string;
  readonly kind: 'drain' | 'entry' | 'stop' | 'team';
  readonly sign: '+' | '-' | '~';
}

function compareIds(a: {readonly id: string}, b: {readonly id: string}): number {
  return a.id < b.id ? -1 : 1;
}

function groupByTeam(document: Catalogue): ReadonlyMap<TeamId, TeamContent> {
  const groups = new Map<TeamId, TeamContent>();
  for (const team of document.teams) {
    groups.set(brand<TeamId>(team.id), {entries: [], team});
  }
  for (const entry of [...document.entries].sort(compareIds)) {
    groups.get(brand<TeamId>(entry.owner))?.entries.push(entry);
  }
  return groups;
}

/**
 * Returns the parts of the document that differ from the snapshot.
 *
 * @example
 * const diff = diffCatalogue(source.current(), document);
 */
export function diffCatalogue(snapshot: CatalogueSnapshot, document: Catalogue): CatalogueDiff {
  const groups = groupByTeam(document);
  const changed = [...groups].filter(([id, content]) => {
    const part = snapshot.parts.get(id);
    return !isDeepStrictEqual(content, part && {entries: part.entries, team: part.team});
  });
  const removed = [...snapshot.parts.keys()].filter((id) => !groups.has(id));
  const plans = {drains: document.drains ?? [], stops: document.stops ?? []};
  const known = {drains: snapshot.plans.drains, stops: snapshot.plans.stops};
  const diff = {changed: changed.map(([, content]) => content), removed};
  return isDeepStrictEqual(plans, known) ? diff : {...diff, plans};
}

/** Whether a diff has no changes. */
export function isEmptyDiff(diff: CatalogueDiff): boolean {
  return diff.changed.length === 0 && diff.removed.length === 0 && diff.plans === undefined;
}

function compareLists<Item>(
  kind: DiffLine['kind'],
  before: readonly Item[],
  after: readonly Item[],
  getId: (item: Item) => string,
): DiffLine[] {
  const previous = new Map(before.map((item) => [getId(item), item]));
  const current = new Map(after.map((item) => [getId(item), item]));
  const removed = [...previous.keys()].filter((id) => !current.has(id));
  const lines = [...current].flatMap<DiffLine>(([id, item]) => {
    if (!previous.has(id)) {
      return [{id, kind, sign: '+'}];
    }
    return isDeepStrictEqual(previous.get(id), item) ? [] : [{id, kind, sign: '~'}];
  });
  return [...removed.map<DiffLine>((id) => ({id, kind, sign: '-'})), ...lines];
}

/**
 * Lists the items added (+), removed (-) and changed (~) from `before` to `after`.
 *
 * @example
 * for (const {id, kind, sign} of listDifferences(before, after)) {
 *   console.log(`${sign} ${kind} ${id}`);
 * }
 */
export function listDifferences(before: Catalogue, after: Catalogue): readonly DiffLine[] {
  const getDrainId = ({id, target}: Drain): string => `${target} ${id}`;
  return [
    ...compareLists('team', before.teams, after.teams, ({id}) => id),
    ...compareLists('entry', before.entries, after.entries, ({id}) => id),
    ...compareLists('drain', before.drains ?? [], after.drains ?? [], getDrainId),
    ...compareLists('stop', before.stops ?? [], after.stops ?? [], ({vm}) => vm),
  ];
}
