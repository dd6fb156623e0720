/** Who should own which cell: orphans find an owner, and owners with too many give some up. */

import type {AllotmentRecord, CellRecord, MemberRecord} from '@nutmegproxy/schema';

import {activeMembers, findMember} from './AllotmentRecordUtils.ts';
import {MAX_CELL_CHANGES} from './MembershipConstants.ts';
import {weigh} from './Rendezvous.ts';

function countCells(record: AllotmentRecord, incarnation: string): number {
  return record.cells.filter(({owner}) => owner === incarnation).length;
}

/** The active member with the fewest cells; among equals the one that ranks first for the cell. */
export function chooseOwner(
  record: AllotmentRecord,
  cell: string,
  candidates: readonly MemberRecord[] = activeMembers(record),
): MemberRecord | undefined {
  const ranked = candidates.map((member) => ({
    load: countCells(record, member.incarnation),
    member,
    weight: weigh(cell, member),
  }));
  ranked.sort((a, b) => a.load - b.load || (a.weight < b.weight ? 1 : -1));
  return ranked[0]?.member;
}

/** Sets a cell's owner under the next epoch, adding the cell if it is new. */
export function withOwner(record: AllotmentRecord, cell: string, owner: string): AllotmentRecord {
  const epoch = (record.cells.find((each) => each.cell === cell)?.epoch ?? 0) + 1;
  const rest = record.cells.filter((each) => each.cell !== cell);
  return {...record, cells: [...rest, {cell, epoch, owner}]};
}

/** Gives an owner to cells that are new or whose owner is no member; at most MAX_CELL_CHANGES. */
export function assignOrphans(record: AllotmentRecord, known: readonly string[]): AllotmentRecord {
  const recorded = new Set(record.cells.map(({cell}) => cell));
  const orphans = record.cells
    .filter(({owner}) => findMember(record, owner) === undefined)
    .map(({cell}) => cell);
  const added = known.filter((cell) => !recorded.has(cell));
  return [...orphans, ...added].slice(0, MAX_CELL_CHANGES).reduce((draft, cell) => {
    const owner = chooseOwner(draft, cell);
    return owner === undefined ? draft : withOwner(draft, cell, owner.incarnation);
  }, record);
}

/** Cells that `own` should hand over so that the active members have equally many. */
export function chooseSurplus(record: AllotmentRecord, own: string): readonly CellRecord[] {
  const mine = record.cells.filter(({owner}) => owner === own);
  const active = activeMembers(record);
  const others = active.filter(({incarnation}) => incarnation !== own);
  if (findMember(record, own)?.state !== 'active') {
    return mine.slice(0, MAX_CELL_CHANGES);
  }
  if (others.length === 0) {
    return [];
  }
  const mean = record.cells.length / active.length;
  const fewest = Math.min(...others.map(({incarnation}) => countCells(record, incarnation)));
  const aboveMean = Math.max(0, mine.length - Math.ceil(mean));
  const fillsGap = fewest < Math.floor(mean) && mine.length > Math.floor(mean) ? 1 : 0;
  const count = Math.min(MAX_CELL_CHANGES, Math.max(aboveMean, fillsGap));
  const member = {incarnation: own, vm: findMember(record, own)?.vm ?? ''};
  return [...mine]
    .sort((a, b) => (weigh(a.cell, member) < weigh(b.cell, member) ? -1 : 1))
    .slice(0, count);
}

/** The owner that takes over a cell which `own` hands over. */
export function chooseSuccessor(
  record: AllotmentRecord,
  cell: string,
  own: string,
): MemberRecord | undefined {
  const others = activeMembers(record).filter(({incarnation}) => incarnation !== own);
  return chooseOwner(record, cell, others);
}
