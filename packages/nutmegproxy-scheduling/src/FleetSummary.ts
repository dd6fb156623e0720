/** Summarizes the capacity and the work of the fleet for the log. */

import type {EventFields, Instant, WallTime} from '@nutmegproxy/core';

import type {Fleet} from './Fleet.ts';
import type {WorkKind} from './MinionState.ts';
import type {TrustLevel} from './MinionTrust.ts';

import {classifyWork} from './MinionState.ts';
import {isSchedulable} from './Placement.ts';
import {collectReadySteps, countHeldTasks} from './ReadySteps.ts';

/** Returns totals over the fleet as event fields; processors are in whole cores. */
export function summarizeFleet(fleet: Fleet, now: Instant, wall: WallTime): EventFields {
  const waiting: Record<WorkKind, number> = {filling: 0, ordinary: 0, serving: 0};
  for (const step of collectReadySteps(fleet, now, wall)) {
    waiting[classifyWork(step.shape)] += step.waiting.size;
  }
  const levels: Record<TrustLevel, number> = {quarantined: 0, trial: 0, trusted: 0};
  let capacity = 0;
  let backfill = 0;
  let largestFree = 0;
  let reserved = 0;
  let serving = 0;
  let servingMinions = 0;
  let usable = 0;
  for (const minion of fleet.minions.values()) {
    const {cpuMilli} = minion.description.capacity;
    levels[minion.trust.level(now)] += 1;
    if (isSchedulable(minion, now)) {
      usable += 1;
      largestFree = Math.max(largestFree, cpuMilli - minion.reserved.cpuMilli);
    }
    capacity += cpuMilli;
    backfill += minion.backfillCpuMilli;
    reserved += minion.reserved.cpuMilli;
    serving += minion.servingCpuMilli;
    servingMinions += minion.servingRuns > 0 ? 1 : 0;
  }
  return {
    ...levels,
    capacityCores: Math.round(capacity / 1000),
    fillingCores: Math.round(backfill / 1000),
    heldTasks: countHeldTasks(fleet, wall),
    jobs: fleet.jobs.size,
    largestFreeMilli: largestFree,
    minions: fleet.minions.size,
    reservedCores: Math.round(reserved / 1000),
    servingCores: Math.round(serving / 1000),
    servingMinions,
    usable,
    waitingFilling: waiting.filling,
    waitingOrdinary: waiting.ordinary,
    waitingServing: waiting.serving,
  };
}
