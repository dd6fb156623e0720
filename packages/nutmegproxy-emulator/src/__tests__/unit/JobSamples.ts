/** Sample jobs, minions and owners for the tests of this package. */

import type {
  Clock,
  DataCentreId,
  EventSink,
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

import {brand, DEFAULT_PLATFORM_BOUNDS, SILENT_EVENTS} from '@nutmegproxy/core';
import {encodeRecord, formatJobKey} from '@nutmegproxy/jobs';
import {
  type FleetOwnership,
  type MinionDirectory,
  Owner,
  OwnerElection,
  type OwnerOptions,
  RevisionLog,
} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
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

export function createStepShape(change: Partial<StepShape> = {}): StepShape {
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

export function createStoredJob(number: number, steps: readonly StepShape[]): StoredJob {
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

export function createMinionDescription(
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
  const written = await put(store, formatJobKey(job.id, 'request'), encodeRecord(job));
  if (written.isErr()) {
    throw new Error(written.error.message);
  }
}

/** Returns a clock that runs faster than time, so that minion leases expire soon. */
export function createFastClock(factor: number): Clock {
  return {
    monotonic: () => (performance.now() * factor) as Instant,
    wall: () => (Date.now() + performance.now() * (factor - 1)) as WallTime,
  };
}

/** Acquires the ownership and runs an owner; the ownership lease is not renewed. */
export async function startOwner(
  clock: Clock,
  store: PlatformStore,
  fleet: EmulatedFleet,
  vm = 'vm-1',
  events: EventSink = SILENT_EVENTS,
  leaseTimes = DEFAULT_LEASE_TIMES,
  revisions = new RevisionLog(),
): Promise<{
  ended: Promise<string>;
  owner: Owner;
  election: OwnerElection;
  ownership: FleetOwnership;
}> {
  const election = new OwnerElection({
    clock,
    events,
    leaseTimes,
    revisions,
    store,
    vm: brand<VmId>(vm),
  });
  const acquired = await election.acquire();
  if (acquired.isErr()) {
    throw new Error(acquired.error.message);
  }
  const ownership = acquired.value;
  const owner = createOwner({clock, events, ownership, store}, fleet);
  return {election, ended: owner.run(), owner, ownership};
}

/** Creates an owner of a fleet with one queue; default: of all its minions. */
export function createOwner(
  options: Pick<OwnerOptions, 'clock' | 'events' | 'ownership' | 'store'>,
  fleet: EmulatedFleet,
  directory: MinionDirectory = fleet,
): Owner {
  return new Owner({
    ...options,
    advice: undefined,
    bounds: DEFAULT_PLATFORM_BOUNDS,
    directory,
    machines: fleet.machineList,
    orders: fleet,
    queues: () => [QUEUE],
    statusRetentionMs: 0,
  });
}

/** Waits until a condition holds; fails after a timeout. */
export async function waitFor(
  description: string,
  condition: () => boolean,
  timeoutMs = 20_000,
): Promise<void> {
  const started = Date.now();
  while (!condition()) {
    if (Date.now() - started > timeoutMs) {
      throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
