/** Plans one change of the record from a reading: all that this process may and should change. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, CellRecord} from '@nutmegproxy/schema';

import {isDeepStrictEqual} from 'node:util';

import type {MinionCapacity} from './SharePlan.ts';

import {
  activeMembers,
  findMember,
  shareOf,
  withMember,
  withoutMember,
} from './AllotmentRecordUtils.ts';
import {assignOrphans, chooseSuccessor, withOwner} from './CellPlan.ts';
import {
  freeReclaimed,
  giveShares,
  indexCapacities,
  takeShares,
  updateMinions,
} from './SharePlan.ts';

/** What a plan is made from besides the record. */
export interface PlanInputs {
  readonly cells: readonly string[];
  readonly freeCells: readonly CellRecord[];
  /** Removed members whose last requests must have ended. */
  readonly freedIncarnations: ReadonlySet<string>;
  readonly freeShares: ReadonlyMap<string, number>;
  readonly leaving: boolean;
  readonly minions: readonly MinionCapacity[];
  readonly own: IncarnationId;
  readonly removable: readonly IncarnationId[];
}

/** Members in a fixed order, so that equal sets compare as equal. */
export function listElectors(record: AllotmentRecord): string[] {
  return record.members.map(({incarnation}) => incarnation).sort();
}

function handOver(record: AllotmentRecord, inputs: PlanInputs): AllotmentRecord {
  return inputs.freeCells.reduce((draft, {cell, epoch}) => {
    const current = draft.cells.find((each) => each.cell === cell);
    if (current?.owner !== inputs.own || current.epoch !== epoch) {
      return draft;
    }
    const successor = chooseSuccessor(draft, cell, inputs.own);
    if (successor !== undefined) {
      return withOwner(draft, cell, successor.incarnation);
    }
    // Nobody is left to take the cell: it comes back under a new epoch, or waits for a member.
    return inputs.leaving ? draft : withOwner(draft, cell, inputs.own);
  }, record);
}

/** Whether a leaving member has nothing any more that it must give up first. */
function mayLeave(record: AllotmentRecord, {freeCells, own}: PlanInputs): boolean {
  const held = record.minions.some((minion) => shareOf(minion, own) > 0);
  const free = new Set(freeCells.map(({cell}) => cell));
  const busy = record.cells.some(({cell, owner}) => owner === own && !free.has(cell));
  return !held && !busy;
}

/** The record after all changes that are due; undefined when nothing is to be changed. */
export function planRecord(
  record: AllotmentRecord,
  inputs: PlanInputs,
): AllotmentRecord | undefined {
  const {cells, freedIncarnations, freeShares, leaving, minions, own, removable} = inputs;
  const capacities = indexCapacities(minions);
  let draft = removable.reduce<AllotmentRecord>(withoutMember, record);
  const state = leaving ? 'leaving' : 'active';
  draft = withMember(draft, own, {electors: listElectors(draft), state});
  draft = freeReclaimed(draft, freedIncarnations);
  draft = giveShares(draft, own, freeShares);
  draft = handOver(draft, inputs);
  if (activeMembers(draft).length > 0) {
    draft = assignOrphans(draft, cells);
    draft = updateMinions(draft, capacities);
    draft = takeShares(draft, capacities, own);
  }
  if (leaving && findMember(record, own)?.state === 'leaving' && mayLeave(draft, inputs)) {
    draft = withoutMember(draft, own);
  }
  return isDeepStrictEqual(draft, record) ? undefined : draft;
}
