/** The room of a cell as its owner publishes it, and how many tasks of a step it holds. */

import type {WallTime} from '@nutmegproxy/core';

import type {ServiceId, StepShape} from './JobModel.ts';

/** Minions of a cell that have the same labels, and at least as much room each. */
export interface RoomGroup {
  /** What tasks that run until their job is cancelled leave of each minion. */
  readonly cpuMilli: number;
  readonly gpus: number;
  readonly labels: readonly string[];
  readonly memoryMb: number;
  readonly minions: number;
  readonly service: ServiceId;
}

/** What an owner publishes of its cell for the choice of the cells of new jobs. */
export interface CellOutlook {
  readonly groups: readonly RoomGroup[];
  readonly writtenAt: WallTime;
}

/**
 * Returns how many tasks of a step a cell holds at the same time while no other task with an end runs.
 *
 * @example
 * countHeldTasks([], shape, service); // 0
 */
export function countHeldTasks(
  groups: readonly RoomGroup[],
  shape: StepShape,
  service: ServiceId,
): number {
  const {requiredLabel} = shape;
  let held = 0;
  for (const group of groups) {
    const isEligible =
      group.service === service &&
      (requiredLabel === undefined || group.labels.includes(requiredLabel));
    held += isEligible ? group.minions * countHeldByMinion(group, shape) : 0;
  }
  return held;
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
