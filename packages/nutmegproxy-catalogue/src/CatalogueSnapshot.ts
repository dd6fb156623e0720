/** An immutable in-memory revision of the catalogue. */

import type {EntryId, TeamId} from '@nutmegproxy/core';
import type {
  Catalogue,
  CatalogueRecord,
  Drain,
  Entry,
  PlansPart,
  Team,
  TeamPart,
} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {CatalogueView} from './CatalogueView.ts';

import {MAX_RETAINED_REMOVALS} from './CatalogueConstants.ts';

/** The changes between two revisions; with `since: 0` it replaces the whole catalogue. */
export interface CatalogueDelta {
  readonly plans?: PlansPart;
  readonly record: CatalogueRecord;
  readonly removed: readonly TeamId[];
  readonly since: number;
  readonly teams: readonly TeamPart[];
}

const EMPTY_RECORD: CatalogueRecord = {
  at: 0,
  by: '',
  change: '',
  changedTeams: [],
  plans: false,
  removedTeams: [],
  revision: 0,
};

const EMPTY_PLANS: PlansPart = {drains: [], revision: 0, stops: []};

function formatDrainKey(target: Drain['target'], id: string): string {
  return `${target}/${id}`;
}

/** A revision with its parts; the next revision shares the unchanged ones. */
export class CatalogueSnapshot implements CatalogueView {
  static readonly EMPTY = new CatalogueSnapshot(EMPTY_RECORD, new Map(), EMPTY_PLANS, new Map(), 0);

  readonly entries: ReadonlyMap<EntryId, Entry>;
  readonly parts: ReadonlyMap<TeamId, TeamPart>;
  readonly plans: PlansPart;
  readonly record: CatalogueRecord;
  /** Lowest revision since which all removals are known; `deltaSince` needs them. */
  readonly removalsFloor: number;
  readonly revision: number;
  readonly stoppedVms: ReadonlySet<string>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly #drainKeys: ReadonlySet<string>;
  readonly #removals: ReadonlyMap<TeamId, number>;

  private constructor(
    record: CatalogueRecord,
    parts: ReadonlyMap<TeamId, TeamPart>,
    plans: PlansPart,
    removals: ReadonlyMap<TeamId, number>,
    removalsFloor: number,
  ) {
    const entries = [...parts.values()].flatMap((part) => part.entries);
    this.entries = new Map(entries.map((entry) => [brand<EntryId>(entry.id), entry]));
    this.parts = parts;
    this.plans = plans;
    this.record = record;
    this.removalsFloor = removalsFloor;
    this.revision = record.revision;
    this.stoppedVms = new Set(plans.stops.map(({vm}) => vm));
    this.teams = new Map([...parts].map(([id, part]) => [id, part.team]));
    this.#drainKeys = new Set(plans.drains.map(({id, target}) => formatDrainKey(target, id)));
    this.#removals = removals;
  }

  /** Returns the snapshot after `delta`; it shares the unchanged parts. */
  apply(delta: CatalogueDelta): CatalogueSnapshot {
    const replacesAll = delta.since === 0;
    const parts = new Map(replacesAll ? [] : this.parts);
    const removals = new Map(replacesAll ? [] : this.#removals);
    for (const team of delta.removed) {
      parts.delete(team);
      removals.set(team, delta.record.revision);
    }
    for (const part of delta.teams) {
      const team = brand<TeamId>(part.team.id);
      parts.set(team, part);
      removals.delete(team);
    }
    let floor = replacesAll ? delta.record.revision : this.removalsFloor;
    while (removals.size > MAX_RETAINED_REMOVALS) {
      const [oldest = ['' as TeamId, 0] as const] = removals;
      removals.delete(oldest[0]);
      floor = Math.max(floor, oldest[1]);
    }
    const plans = delta.plans ?? (replacesAll ? EMPTY_PLANS : this.plans);
    return new CatalogueSnapshot(delta.record, parts, plans, removals, floor);
  }

  /** Returns the changes after `since`, or the whole catalogue if removals since then were evicted. */
  deltaSince(since: number): CatalogueDelta {
    const from = since < this.removalsFloor ? 0 : since;
    const teams = [...this.parts.values()].filter((part) => part.revision > from);
    const removals = [...this.#removals].filter(([, revision]) => revision > from);
    const removed = from === 0 ? [] : removals.map(([team]) => team);
    const base = {record: this.record, removed, since: from, teams};
    return this.plans.revision > from ? {...base, plans: this.plans} : base;
  }

  isDrained(target: Drain['target'], id: string): boolean {
    return this.#drainKeys.has(formatDrainKey(target, id));
  }

  /** Returns the document that operators read and edit, sorted by team id. */
  toDocument(): Catalogue {
    const parts = [...this.parts.values()].sort((a, b) => (a.team.id < b.team.id ? -1 : 1));
    return {
      drains: this.plans.drains,
      entries: parts.flatMap((part) => part.entries),
      stops: this.plans.stops,
      teams: parts.map((part) => part.team),
    };
  }
}
