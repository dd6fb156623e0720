/** The room of a cell as its owner publishes it, and how many tasks of a step it holds. */

import type {WallTime} from '@nutmegproxy/core';

import type {ServiceId, StepShape} from './JobModel.ts';

/** Minions of a cell that have at least as much room each. */
export interface RoomGroup {
  /** What tasks that run until their job is cancelled leave of each minion. */
  readonly cpuMilli: number;
  readonly gpus: number;
  readonly memoryMb: number;
  readonly minions: number;
  readonly service: ServiceId;
}

/** What an owner publishes of its cell for the choice of the cells of new jobs. */
export interface CellOutlook {
  readonly groups: readonly RoomGroup[];
  /** Number of minions with each label. */
  readonly labels: Readonly<Record<string, number>>;
  readonly writtenAt: WallTime;
}

/**
 * Returns how many tasks of a step a cell holds at the same time while no other task with an end runs. Minions
 * with a label are taken to have as much room as the others.
 *
 * @example
 * countHeldTasks(outlook, shape, service); // 57
 */
export function countHeldTasks(
  {groups, labels}: Pick<CellOutlook, 'groups' | 'labels'>,
  shape: StepShape,
  service: ServiceId,
): number {
  const {requiredLabel} = shape;
  let held = 0;
  let minions = 0;
  for (const group of groups) {
    minions += group.minions;
    held += group.service === service ? group.minions * countHeldByMinion(group, shape) : 0;
  }
  const labelled = requiredLabel === undefined ? minions : (labels[requiredLabel] ?? 0);
  return minions === 0 ? 0 : Math.floor((held * Math.min(labelled, minions)) / minions);
}

function countHeldByMinion(group: RoomGroup, {count, maxPerMinion, resources}: StepShape): number {
  const {cpuMilli, gpus, memoryMb} = resources;
  return Math.min(
    count,
    maxPerMinion ?? Infinity,
    divide(group.cpuMilli, cpuMilli),
    divide(group.gpus, gpus),
    divide(group.memoryMb, memoryMb),
  );
}

/** Returns how often a task fits into one resource, of which it may need nothing. */
function divide(room: number, needed: number): number {
  return needed === 0 ? Infinity : Math.max(0, Math.floor(room / needed));
}
