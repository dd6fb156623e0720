/** Pure functions on the allotment record; each change returns a new record. */

import type {DataCentreId, IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, MemberRecord, MinionRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';

import type {Allotment, CellOwnership, Member, MinionShares} from './Membership.ts';

/** The record before any member has joined. */
export const EMPTY_RECORD: AllotmentRecord = {
  cells: [],
  changeId: '',
  epoch: 0,
  members: [],
  minions: [],
  reclaimed: [],
};

export function findMember(record: AllotmentRecord, incarnation: string): MemberRecord | undefined {
  return record.members.find((member) => member.incarnation === incarnation);
}

/** Returns the incarnations of all members. */
export function getMemberIds(record: AllotmentRecord): ReadonlySet<IncarnationId> {
  return new Set(record.members.map(({incarnation}) => brand<IncarnationId>(incarnation)));
}

/** Returns the members that may receive shares and cells. */
export function getActiveMembers(record: AllotmentRecord): readonly MemberRecord[] {
  return record.members.filter(({state}) => state === 'active');
}

/** Returns the number of a minion's slots that `incarnation` holds. */
export function getShare(minion: MinionRecord, incarnation: string): number {
  return minion.shares.find((share) => share.incarnation === incarnation)?.count ?? 0;
}

/** Counts a minion's slots that are neither held nor reclaimed; negative when oversubscribed. */
export function countFreeSlots(record: AllotmentRecord, minion: MinionRecord): number {
  const held = minion.shares.reduce((sum, {count}) => sum + count, 0);
  const reclaimed = record.reclaimed
    .filter((each) => each.minion === minion.minion)
    .reduce((sum, {count}) => sum + count, 0);
  return minion.slots - held - reclaimed;
}

/** Sets one member's share of one minion. */
export function withShare(minion: MinionRecord, incarnation: string, count: number): MinionRecord {
  const rest = minion.shares.filter((share) => share.incarnation !== incarnation);
  return {...minion, shares: count > 0 ? [...rest, {count, incarnation}] : rest};
}

/** Updates the given fields of one member. */
export function withMember(
  record: AllotmentRecord,
  incarnation: string,
  change: Partial<MemberRecord>,
): AllotmentRecord {
  const members = record.members.map((member) =>
    member.incarnation === incarnation ? {...member, ...change} : member,
  );
  return {...record, members};
}

/** Removes a member; its slots become `reclaimed` and stay unused, its cells keep it as owner. */
export function withoutMember(record: AllotmentRecord, incarnation: string): AllotmentRecord {
  const reclaimed = record.minions
    .map((minion) => ({count: getShare(minion, incarnation), incarnation, minion: minion.minion}))
    .filter(({count}) => count > 0);
  return {
    ...record,
    members: record.members.filter((member) => member.incarnation !== incarnation),
    minions: record.minions.map((minion) => withShare(minion, incarnation, 0)),
    reclaimed: [...record.reclaimed, ...reclaimed],
  };
}

function toMember({incarnation, peerAddress, vm}: MemberRecord): [IncarnationId, Member] {
  const id = brand<IncarnationId>(incarnation);
  return [id, {incarnation: id, peerAddress, vm: brand(vm)}];
}

function toMinionShares({minion, shares, slots}: MinionRecord): MinionShares {
  return {
    minion: brand(minion),
    shares: new Map(shares.map(({count, incarnation}) => [brand(incarnation), count])),
    slots,
  };
}

/** Converts the stored record to the form that other packages use. */
export function toAllotment(
  record: AllotmentRecord,
  dataCentre: DataCentreId,
  modRevision: number,
): Allotment {
  const cells = record.cells.map(({cell, epoch, owner}): CellOwnership => ({
    cell: brand(cell),
    epoch,
    owner: brand(owner),
  }));
  const minions = record.minions.map(toMinionShares);
  return {
    cells: new Map(cells.map((each) => [each.cell, each])),
    dataCentre,
    epoch: record.epoch,
    members: new Map(record.members.map(toMember)),
    minions: new Map(minions.map((each) => [each.minion, each])),
    modRevision,
  };
}
