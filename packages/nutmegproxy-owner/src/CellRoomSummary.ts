/** Sums up the room of a cell's minions for the choice of the cells of new jobs, in a record of bounded size. */

import type {Instant} from '@nutmegproxy/core';
import type {CellOutlook, Resources, RoomGroup, ServiceId} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {MAX_ROOM_GROUPS, MAX_ROOM_LABELS} from './OwnerConstants.ts';

/** Units to which room is rounded down at first; they are doubled until there are few enough groups. */
const CPU_UNIT_MILLI = 500;
const MEMORY_UNIT_MB = 1_024;

interface MinionRoom extends Resources {
  readonly service: ServiceId;
}

/**
 * Returns the room that tasks which run until their job is cancelled leave on the minions, rounded down to halves of
 * the largest one at the most. Minions that get no work for longer are left out.
 *
 * @example
 * const {groups, labels} = summarizeRoom(fleet.minions.values(), now);
 */
export function summarizeRoom(
  minions: Iterable<MinionState>,
  now: Instant,
): Pick<CellOutlook, 'groups' | 'labels'> {
  const usable = [...minions].filter((minion) => isUsable(minion, now));
  const rooms = usable.map(({description: {capacity, service}, runs}) => ({
    ...subtractLasting(capacity, runs),
    service,
  }));
  return {groups: groupRooms(rooms), labels: countLabels(usable)};
}

function groupRooms(rooms: readonly MinionRoom[]): RoomGroup[] {
  const largestCpuUnit = Math.max(CPU_UNIT_MILLI, ...rooms.map(({cpuMilli}) => cpuMilli / 2));
  const largestMemoryUnit = Math.max(MEMORY_UNIT_MB, ...rooms.map(({memoryMb}) => memoryMb / 2));
  for (let factor = 1; ; factor *= 2) {
    const cpuUnit = Math.min(largestCpuUnit, CPU_UNIT_MILLI * factor);
    const memoryUnit = Math.min(largestMemoryUnit, MEMORY_UNIT_MB * factor);
    const groups = new Map<string, RoomGroup>();
    for (const {cpuMilli, gpus, memoryMb, service} of rooms) {
      const room = {
        cpuMilli: roundDown(cpuMilli, cpuUnit),
        gpus: Math.max(0, gpus),
        memoryMb: roundDown(memoryMb, memoryUnit),
        service,
      };
      const name = JSON.stringify(room);
      groups.set(name, {...room, minions: (groups.get(name)?.minions ?? 0) + 1});
    }
    const isCoarsest = cpuUnit === largestCpuUnit && memoryUnit === largestMemoryUnit;
    if (groups.size <= MAX_ROOM_GROUPS || isCoarsest) {
      return [...groups.values()].sort((a, b) => b.minions - a.minions).slice(0, MAX_ROOM_GROUPS);
    }
  }
}

/** Returns the most common labels, with their minions. */
function countLabels(minions: readonly MinionState[]): Record<string, number> {
  const counts = new Map<string, number>();
  for (const label of minions.flatMap(({description}) => description.labels)) {
    counts.set(label, (counts.get(label) ?? 0) + 1);
  }
  const mostFirst = [...counts].sort(([, a], [, b]) => b - a);
  return Object.fromEntries(mostFirst.slice(0, MAX_ROOM_LABELS));
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
