/**
 * The load of a large fleet, scaled down: serving tasks reserve four fifths of the processors, most
 * other work is backfill, and urgent jobs have tasks that need a third of a minion or more.
 */

import type {DataCentreId, MinionId, RackId} from '@nutmegproxy/core';
import type {QueueId, ServiceId} from '@nutmegproxy/jobs';
import type {MinionDescription, QueuePolicy} from '@nutmegproxy/scheduling';

import {brand} from '@nutmegproxy/core';

import type {JobClass} from '../../Workload.ts';

export const SERVICE = 'oportuna' as ServiceId;
export const ALERTS = 'match-alert' as QueueId;
export const DIGESTS = 'eligibility-digest' as QueueId;
export const WATCHERS = 'donor-watch' as QueueId;

/** Number of minions that the load is drawn for; the rates below are of a fleet of this size. */
export const FULL_FLEET = 156;
const RACK_SIZE = 12;

function queue(id: QueueId, change: Partial<QueuePolicy>): QueuePolicy {
  return {
    advice: undefined,
    id,
    maxAttempts: 3,
    priority: 0,
    service: SERVICE,
    stretch: 2,
    targetDurationMs: 1_000,
    ...change,
  };
}

export const ALERT_CLASS: JobClass = {
  apartShare: 0.15,
  backfillShare: 0,
  checkpoints: false,
  cpuMilli: {max: 16_000, mean: 5_300, spread: 0.45},
  durationMs: {max: 2_500, mean: 1_000, spread: 0.5},
  images: 30,
  initialJobs: 0,
  jobsPerS: 1.82,
  longRunning: false,
  memoryMb: {max: 21_000, mean: 11_000, spread: 0.3},
  policy: queue(ALERTS, {stretch: 1.5, targetDurationMs: 250}),
  steps: {max: 4, mean: 1.6, spread: 0.4},
  tailTargetMs: undefined,
  tasks: {max: 56, mean: 9.4, spread: 0.8},
};

export const DIGEST_CLASS: JobClass = {
  apartShare: 0,
  backfillShare: 0.97,
  checkpoints: true,
  cpuMilli: {max: 3_500, mean: 1_800, spread: 0.3},
  durationMs: {max: 4_300, mean: 1_700, spread: 0.5},
  images: 30,
  initialJobs: 0,
  jobsPerS: 4.15,
  longRunning: false,
  memoryMb: {max: 6_400, mean: 3_200, spread: 0.3},
  policy: queue(DIGESTS, {maxAttempts: 2, priority: 2}),
  steps: {max: 5, mean: 2, spread: 0.4},
  tailTargetMs: undefined,
  tasks: {max: 160, mean: 39, spread: 0.6},
};

export const WATCHER_CLASS: JobClass = {
  apartShare: 0.5,
  backfillShare: 0,
  checkpoints: false,
  cpuMilli: {max: 5_100, mean: 3_200, spread: 0.25},
  durationMs: {max: 210_000, mean: 70_000, spread: 0.5},
  images: 16,
  initialJobs: 30,
  jobsPerS: 0.168,
  longRunning: true,
  memoryMb: {max: 13_000, mean: 6_400, spread: 0.3},
  policy: queue(WATCHERS, {stretch: 2.2, targetDurationMs: 2_500}),
  steps: {max: 1, mean: 1, spread: 0},
  tailTargetMs: 50,
  tasks: {max: 48, mean: 24, spread: 0.4},
};

/** Returns minions of 16 cores, and of 24 each third one. */
export function createMinions(count: number): MinionDescription[] {
  return Array.from({length: count}, (_, index) => {
    const factor = index % 3 === 2 ? 1.5 : 1;
    const rack = brand<RackId>(`r${Math.floor(index / RACK_SIZE)}`);
    return {
      address: `m${index}:1`,
      bornAt: 1,
      capacity: {cpuMilli: 16_000 * factor, gpus: 0, memoryMb: 64_000 * factor},
      dataCentre: brand<DataCentreId>('dc'),
      id: brand<MinionId>(`m${index}`),
      isDraining: false,
      labels: ['a', rack],
      leavesInMs: undefined,
      machine: undefined,
      rack,
      service: SERVICE,
    };
  });
}
