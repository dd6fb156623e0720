/** Plans one change of the record with all updates that this process may and should make. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, CellRecord} from '@nutmegproxy/schema';

import {isDeepStrictEqual} from 'node:util';

import type {MinionCapacity} from './SharePlan.ts';

import {
  findMember,
  getActiveMembers,
  getShare,
  withMember,
  withoutMember,
} from './AllotmentRecordUtils.ts';
import {assignOrphanedCells, chooseSuccessor, withOwner} from './CellPlan.ts';
import {
  indexCapacities,
  lowerShares,
  raiseShares,
  releaseReclaimed,
  updateMinions,
} from './SharePlan.ts';

/** Inputs of a plan besides the record. */
export interface PlanInputs {
  readonly cells: readonly string[];
  readonly isLeaving: boolean;
  readonly minions: readonly MinionCapacity[];
  readonly own: IncarnationId;
  readonly releasedCells: readonly CellRecord[];
  readonly releasedShares: ReadonlyMap<string, number>;
  readonly removable: readonly IncarnationId[];
  /** Removed members whose last requests must have ended. */
  readonly reusableIncarnations: ReadonlySet<string>;
}

/** Returns the members in a fixed order, so that equal sets compare as equal. */
export function listElectors(record: AllotmentRecord): string[] {
  return record.members.map(({incarnation}) => incarnation).sort();
}

function handOverCells(record: AllotmentRecord, inputs: PlanInputs): AllotmentRecord {
  return inputs.releasedCells.reduce((draft, {cell, epoch}) => {
    const current = draft.cells.find((each) => each.cell === cell);
    if (current?.owner !== inputs.own || current.epoch !== epoch) {
      return draft;
    }
    const successor = chooseSuccessor(draft, cell, inputs.own);
    if (successor !== undefined) {
      return withOwner(draft, cell, successor.incarnation);
    }
    // Without a successor, the cell stays here under a new epoch, or waits for a member if leaving.
    return inputs.isLeaving ? draft : withOwner(draft, cell, inputs.own);
  }, record);
}

/** Whether a leaving member has released all its slots and cells. */
function canLeave(record: AllotmentRecord, {own, releasedCells}: PlanInputs): boolean {
  const holdsSlots = record.minions.some((minion) => getShare(minion, own) > 0);
  const releasedIds = new Set(releasedCells.map(({cell}) => cell));
  const ownsBusyCell = record.cells.some(
    ({cell, owner}) => owner === own && !releasedIds.has(cell),
  );
  return !holdsSlots && !ownsBusyCell;
}

/** Returns the record after all due changes; undefined when there are none. */
export function planRecord(
  record: AllotmentRecord,
  inputs: PlanInputs,
): AllotmentRecord | undefined {
  const {cells, isLeaving, minions, own, releasedShares, removable, reusableIncarnations} = inputs;
  const capacities = indexCapacities(minions);
  let draft = removable.reduce<AllotmentRecord>(withoutMember, record);
  const state = isLeaving ? 'leaving' : 'active';
  draft = withMember(draft, own, {electors: listElectors(draft), state});
  draft = releaseReclaimed(draft, reusableIncarnations);
  draft = lowerShares(draft, own, releasedShares);
  draft = handOverCells(draft, inputs);
  if (getActiveMembers(draft).length > 0) {
    draft = assignOrphanedCells(draft, cells);
    draft = updateMinions(draft, capacities);
    draft = raiseShares(draft, capacities, own);
  }
  if (isLeaving && findMember(record, own)?.state === 'leaving' && canLeave(draft, inputs)) {
    draft = withoutMember(draft, own);
  }
  return isDeepStrictEqual(draft, record) ? undefined : draft;
}
