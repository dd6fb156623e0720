/** Plans which slots a member releases or acquires; a member changes only its own shares. */

import type {AllotmentRecord, MinionRecord} from '@nutmegproxy/schema';

import {
  countFreeSlots,
  findMember,
  getActiveMembers,
  getShare,
  withShare,
} from './AllotmentRecordUtils.ts';
import {computeTargetShare} from './ShareTargets.ts';

/** A minion as the VM directory shows it. */
export interface MinionCapacity {
  readonly minion: string;
  readonly slots: number;
}

/** A share that a member should reduce. */
export interface ShareSurplus {
  readonly keep: number;
  readonly minion: string;
}

type Capacities = ReadonlyMap<string, number>;

/** Returns the slots of each minion by id. */
export function indexCapacities(minions: readonly MinionCapacity[]): Capacities {
  return new Map(minions.map(({minion, slots}) => [minion, slots]));
}

function getTarget(
  record: AllotmentRecord,
  capacities: Capacities,
  minion: MinionRecord,
  own: string,
): number {
  const slots = capacities.get(minion.minion) ?? 0;
  return computeTargetShare(minion.minion, slots, getActiveMembers(record), own);
}

/** Chooses the shares of `own` that exceed its target, or whose minion no longer exists. */
export function chooseSurplusShares(
  record: AllotmentRecord,
  capacities: Capacities,
  own: string,
): readonly ShareSurplus[] {
  return record.minions
    .map((minion) => ({
      held: getShare(minion, own),
      keep: getTarget(record, capacities, minion, own),
      minion: minion.minion,
    }))
    .filter(({held, keep}) => keep < held);
}

/** Lowers the shares of `own` to the slots that it keeps. */
export function lowerShares(
  record: AllotmentRecord,
  own: string,
  keptSlots: ReadonlyMap<string, number>,
): AllotmentRecord {
  const minions = record.minions.map((minion) => {
    const keep = keptSlots.get(minion.minion);
    return keep === undefined || keep >= getShare(minion, own)
      ? minion
      : withShare(minion, own, keep);
  });
  return {...record, minions};
}

/** Raises the shares of `own` towards its targets, limited by the free slots. */
export function raiseShares(
  record: AllotmentRecord,
  capacities: Capacities,
  own: string,
): AllotmentRecord {
  if (findMember(record, own)?.state !== 'active') {
    return record;
  }
  const minions = record.minions.map((minion) => {
    const held = getShare(minion, own);
    const missing = getTarget(record, capacities, minion, own) - held;
    const added = Math.min(missing, countFreeSlots(record, minion));
    return added > 0 ? withShare(minion, own, held + added) : minion;
  });
  return {...record, minions};
}

/** Divides new minions among the members, updates changed sizes and removes unused minions. */
export function updateMinions(record: AllotmentRecord, capacities: Capacities): AllotmentRecord {
  const recorded = new Set(record.minions.map(({minion}) => minion));
  const reclaimed = new Set(record.reclaimed.map(({minion}) => minion));
  const kept = record.minions
    .map((minion) => ({...minion, slots: capacities.get(minion.minion) ?? minion.slots}))
    .filter(
      ({minion, shares}) => capacities.has(minion) || shares.length > 0 || reclaimed.has(minion),
    );
  const added = [...capacities]
    .filter(([minion]) => !recorded.has(minion))
    .map(([minion, slots]) => createMinionRecord(record, minion, slots));
  return {...record, minions: [...kept, ...added]};
}

function createMinionRecord(record: AllotmentRecord, minion: string, slots: number): MinionRecord {
  const active = getActiveMembers(record);
  const shares = active
    .map(({incarnation}) => ({
      count: computeTargetShare(minion, slots, active, incarnation),
      incarnation,
    }))
    .filter(({count}) => count > 0);
  return {minion, shares, slots};
}

/** Frees the reclaimed slots of `incarnations`, whose last requests must have ended. */
export function releaseReclaimed(
  record: AllotmentRecord,
  incarnations: ReadonlySet<string>,
): AllotmentRecord {
  const reclaimed = record.reclaimed.filter(({incarnation}) => !incarnations.has(incarnation));
  return {...record, reclaimed};
}
