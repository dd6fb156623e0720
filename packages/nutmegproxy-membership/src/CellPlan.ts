/** Assigns cells to members: orphaned cells get an owner, members with too many release some. */

import type {AllotmentRecord, CellRecord, MemberRecord} from '@nutmegproxy/schema';

import {findMember, getActiveMembers} from './AllotmentRecordUtils.ts';
import {MAX_CELL_CHANGES} from './MembershipConstants.ts';
import {computeWeight} from './RendezvousHash.ts';

function countCells(record: AllotmentRecord, incarnation: string): number {
  return record.cells.filter(({owner}) => owner === incarnation).length;
}

/** Chooses the active member with the fewest cells; ties are broken by rendezvous weight. */
export function chooseOwner(
  record: AllotmentRecord,
  cell: string,
  candidates: readonly MemberRecord[] = getActiveMembers(record),
): MemberRecord | undefined {
  const ranked = candidates.map((member) => ({
    load: countCells(record, member.incarnation),
    member,
    weight: computeWeight(cell, member),
  }));
  ranked.sort((a, b) => a.load - b.load || (a.weight < b.weight ? 1 : -1));
  return ranked[0]?.member;
}

/** Sets a cell's owner and increments its epoch; adds the cell if it is new. */
export function withOwner(record: AllotmentRecord, cell: string, owner: string): AllotmentRecord {
  const epoch = (record.cells.find((each) => each.cell === cell)?.epoch ?? 0) + 1;
  const rest = record.cells.filter((each) => each.cell !== cell);
  return {...record, cells: [...rest, {cell, epoch, owner}]};
}

/** Assigns at most MAX_CELL_CHANGES cells that are new or whose owner is not a member. */
export function assignOrphanedCells(
  record: AllotmentRecord,
  known: readonly string[],
): AllotmentRecord {
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

/** Chooses cells that `own` should hand over so that the active members own equally many. */
export function chooseSurplusCells(record: AllotmentRecord, own: string): readonly CellRecord[] {
  const ownCells = record.cells.filter(({owner}) => owner === own);
  const active = getActiveMembers(record);
  const others = active.filter(({incarnation}) => incarnation !== own);
  if (findMember(record, own)?.state !== 'active') {
    return ownCells.slice(0, MAX_CELL_CHANGES);
  }
  if (others.length === 0) {
    return [];
  }
  const meanCells = record.cells.length / active.length;
  const fewestCells = Math.min(...others.map(({incarnation}) => countCells(record, incarnation)));
  const excessCount = Math.max(0, ownCells.length - Math.ceil(meanCells));
  const deficitCount =
    fewestCells < Math.floor(meanCells) && ownCells.length > Math.floor(meanCells) ? 1 : 0;
  const count = Math.min(MAX_CELL_CHANGES, Math.max(excessCount, deficitCount));
  const member = {incarnation: own, vm: findMember(record, own)?.vm ?? ''};
  return [...ownCells]
    .sort((a, b) => (computeWeight(a.cell, member) < computeWeight(b.cell, member) ? -1 : 1))
    .slice(0, count);
}

/** Chooses the next owner of a cell that `own` hands over. */
export function chooseSuccessor(
  record: AllotmentRecord,
  cell: string,
  own: string,
): MemberRecord | undefined {
  const others = getActiveMembers(record).filter(({incarnation}) => incarnation !== own);
  return chooseOwner(record, cell, others);
}
