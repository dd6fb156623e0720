/** Jobs, minions and owners for the tests of this package. */

import type {
  Clock,
  DataCentreId,
  Instant,
  JobId,
  MinionId,
  RackId,
  VmId,
  WallTime,
} from '@nutmegproxy/core';
import type {QueueId, ServiceId, StepShape, StoredJob} from '@nutmegproxy/jobs';
import type {MinionDescription, QueuePolicy} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {encodeRecord, jobKey} from '@nutmegproxy/jobs';
import {Owner, Ownership, type Tenure} from '@nutmegproxy/owner';
import {put} from '@nutmegproxy/store';

import type {EmulatedFleet} from '../../EmulatedFleet.ts';

export const SERVICE = 'mesa' as ServiceId;
export const QUEUE: QueuePolicy = {
  advice: undefined,
  id: 'proofs' as QueueId,
  maxAttempts: 2,
  priority: 0,
  service: SERVICE,
  stretch: 2,
  targetDurationMs: 1000,
};

export function stepShape(change: Partial<StepShape> = {}): StepShape {
  return {
    after: [],
    checkpoints: false,
    count: 1,
    disruptionBudget: undefined,
    estimateMs: 100,
    fillsSpareCpu: false,
    gang: false,
    image: undefined,
    longRunning: false,
    maxPerMinion: undefined,
    preferredRack: undefined,
    rackLocal: false,
    requiredLabel: undefined,
    resources: {cpuMilli: 1000, gpus: 0, memoryMb: 100},
    speculative: false,
    tailTargetMs: undefined,
    ...change,
  };
}

export function storedJob(number: number, steps: readonly StepShape[]): StoredJob {
  return {
    acceptedAt: Date.now() as WallTime,
    id: brand<JobId>(number.toString(16).padStart(16, '0')),
    payload: 'payload',
    queue: QUEUE.id,
    recurrence: undefined,
    service: SERVICE,
    steps,
  };
}

export function describeMinion(
  name: string,
  change: Partial<MinionDescription> = {},
): MinionDescription {
  return {
    address: `${name}:1`,
    bornAt: 1,
    capacity: {cpuMilli: 4000, gpus: 0, memoryMb: 4000},
    dataCentre: brand<DataCentreId>('dc'),
    id: brand<MinionId>(name),
    isDraining: false,
    labels: ['a', 'r1'],
    leavesInMs: undefined,
    machine: undefined,
    rack: brand<RackId>('r1'),
    service: SERVICE,
    ...change,
  };
}

export async function submitJob(store: PlatformStore, job: StoredJob): Promise<void> {
  const written = await put(store, jobKey(job.id, 'request'), encodeRecord(job));
  if (written.isErr()) {
    throw new Error(written.error.message);
  }
}

/** A clock that runs faster than time, so that holds lapse soon. */
export function fastClock(factor: number): Clock {
  return {
    monotonic: () => (performance.now() * factor) as Instant,
    wall: () => (Date.now() + performance.now() * (factor - 1)) as WallTime,
  };
}

/** Takes the ownership and runs an owner; the tenure is not renewed by itself. */
export async function startOwner(
  clock: Clock,
  store: PlatformStore,
  fleet: EmulatedFleet,
  vm = 'vm-1',
): Promise<{ended: Promise<string>; owner: Owner; ownership: Ownership; tenure: Tenure}> {
  const ownership = new Ownership({clock, events: SILENT_EVENTS, store, vm: brand<VmId>(vm)});
  const taken = await ownership.take();
  if (taken.isErr()) {
    throw new Error(taken.error.message);
  }
  const tenure = taken.value;
  const owner = new Owner({
    advice: undefined,
    clock,
    directory: fleet,
    events: SILENT_EVENTS,
    orders: fleet,
    queues: () => [QUEUE],
    statusMs: 0,
    store,
    tenure,
  });
  return {ended: owner.run(), owner, ownership, tenure};
}

/** Waits until a condition holds; fails after a generous bound. */
export async function waitFor(what: string, holds: () => boolean, boundMs = 20_000): Promise<void> {
  const started = Date.now();
  while (!holds()) {
    if (Date.now() - started > boundMs) {
      throw new Error(`not within ${boundMs} ms: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
