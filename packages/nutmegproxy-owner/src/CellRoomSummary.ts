/** Sums up the room of a cell's minions for the choice of the cells of new jobs, in a record of bounded size. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources, RoomGroup} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {MAX_ROOM_GROUPS} from './OwnerConstants.ts';

/** Units to which room is rounded down at first; they are doubled until there are few enough groups. */
const CPU_UNIT_MILLI = 500;
const MEMORY_UNIT_MB = 1_024;
const MAX_DOUBLINGS = 8;

/**
 * Returns the room that tasks which run until their job is cancelled leave on the minions, rounded down, so that
 * the cell holds at least what is said. Minions that get no work for longer are left out.
 *
 * @example
 * summarizeRoom(fleet.minions.values(), now);
 */
export function summarizeRoom(minions: Iterable<MinionState>, now: Instant): RoomGroup[] {
  const rooms = [...minions]
    .filter((minion) => isUsable(minion, now))
    .map(({description: {capacity, labels, service}, runs}) => ({
      labels: [...labels].sort(),
      left: subtractLasting(capacity, runs),
      service,
    }));
  for (let doublings = 0; ; doublings += 1) {
    const groups = new Map<string, RoomGroup>();
    for (const {labels, left, service} of rooms) {
      const room = {
        cpuMilli: roundDown(left.cpuMilli, CPU_UNIT_MILLI * 2 ** doublings),
        gpus: Math.max(0, left.gpus),
        labels,
        memoryMb: roundDown(left.memoryMb, MEMORY_UNIT_MB * 2 ** doublings),
        service,
      };
      const name = JSON.stringify(room);
      groups.set(name, {...room, minions: (groups.get(name)?.minions ?? 0) + 1});
    }
    if (groups.size <= MAX_ROOM_GROUPS || doublings === MAX_DOUBLINGS) {
      const largestFirst = [...groups.values()].sort((a, b) => b.minions - a.minions);
      return largestFirst.slice(0, MAX_ROOM_GROUPS);
    }
  }
}

/** Whether the minion is expected to get work; one that has not reported yet is. */
function isUsable(minion: MinionState, now: Instant): boolean {
  const {description, isRecordedDraining, isRecordedUnreachable, trust, unlistedSince} = minion;
  return (
    !description.isDraining &&
    !isRecordedDraining &&
    !isRecordedUnreachable &&
    unlistedSince === undefined &&
    trust.level(now) !== 'quarantined'
  );
}

function subtractLasting(
  {cpuMilli, gpus, memoryMb}: Resources,
  runs: MinionState['runs'],
): Resources {
  const left = {cpuMilli, gpus, memoryMb};
  for (const {step} of runs) {
    const {fillsSpareCpu, longRunning, resources} = step.shape;
    if (longRunning) {
      left.cpuMilli -= fillsSpareCpu ? 0 : resources.cpuMilli;
      left.gpus -= resources.gpus;
      left.memoryMb -= resources.memoryMb;
    }
  }
  return left;
}

function roundDown(value: number, unit: number): number {
  return Math.max(0, Math.floor(value / unit) * unit);
}
