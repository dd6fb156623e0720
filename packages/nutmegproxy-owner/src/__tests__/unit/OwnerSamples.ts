/** Helpers for the tests of the owner's records. */

import type {DataCentreId, Instant, JobId, MinionId, VmId, WallTime} from '@nutmegproxy/core';
import type {QueueId, ServiceId, StepShape, StepState} from '@nutmegproxy/jobs';
import type {LeaseId, PlatformStore} from '@nutmegproxy/store';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES, MinionState} from '@nutmegproxy/scheduling';
import {put} from '@nutmegproxy/store';
import {errAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';

import type {OwnershipToken} from '../../MinionOrders.ts';
import type {ElectionOptions} from '../../OwnerElection.ts';

import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_KEY, OwnerElection} from '../../OwnerElection.ts';

const SERVICE = 'mesa' as ServiceId;

/** Creates a minion of 16 cores that has not responded yet. */
export function createMinion(name = 'm1'): MinionState {
  return new MinionState(
    {
      address: `${name}:1`,
      bornAt: 1,
      capacity: {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000},
      dataCentre: brand<DataCentreId>('dc'),
      id: brand<MinionId>(name),
      isDraining: false,
      labels: [],
      leavesInMs: undefined,
      machine: undefined,
      rack: undefined,
      service: SERVICE,
    },
    DEFAULT_LEASE_TIMES,
  );
}

/** Creates the step of a job with one task; the number makes the job's ID. */
export function createStep(job: number, change: Partial<StepShape> = {}): StepState {
  const shape: StepShape = {
    after: [],
    checkpoints: false,
    count: 1,
    disruptionBudget: undefined,
    estimateMs: 1_000,
    fillsSpareCpu: false,
    gang: false,
    image: undefined,
    longRunning: false,
    maxPerMinion: undefined,
    preferredRack: undefined,
    rackLocal: false,
    requiredLabel: undefined,
    resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
    speculative: false,
    tailTargetMs: undefined,
    ...change,
  };
  const request = {
    acceptedAt: 0 as WallTime,
    id: brand<JobId>(job.toString(16).padStart(16, '0')),
    payload: '',
    queue: 'proofs' as QueueId,
    recurrence: undefined,
    service: SERVICE,
    steps: [shape],
  };
  const step = new JobState(request, job).occurrence(0)?.[0];
  assert.ok(step);
  return step;
}

/** Waits until the store has responded. */
export async function waitForStore(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 20));
}

/** Creates the election of a VM; `change` tells what differs from the default. */
export function createElection(
  {clock, store}: Pick<ElectionOptions, 'clock' | 'store'>,
  vm: string,
  change: Partial<ElectionOptions> = {},
): OwnerElection {
  return new OwnerElection({
    clock,
    events: SILENT_EVENTS,
    leaseTimes: DEFAULT_LEASE_TIMES,
    store,
    vm: brand<VmId>(vm),
    ...change,
  });
}

/** Acquires the ownership in a store, without a lease. */
export async function acquireOwnership(store: PlatformStore): Promise<FleetOwnership> {
  const token = (await put(store, OWNER_KEY, Buffer.from('vm')))._unsafeUnwrap() as OwnershipToken;
  return new FleetOwnership(
    {lease: '1' as LeaseId, leaseTimes: DEFAULT_LEASE_TIMES, term: 0, token},
    0 as Instant,
    0 as WallTime,
  );
}

/** A write without a response that has not been carried out yet. */
export interface DelayedWrite {
  /** Carries the write out now if its conditions still hold. */
  readonly arrive: () => Promise<void>;
}

/** Delays the next write of a store, which gets no response, until `arrive` is called. */
export function delayNextWrite(store: PlatformStore): DelayedWrite[] {
  const late: DelayedWrite[] = [];
  const commit = store.commit.bind(store);
  store.commit = (transaction) => {
    if (late.length > 0 || !transaction.then.some(({kind}) => kind === 'put')) {
      return commit(transaction);
    }
    late.push({
      arrive: async () => {
        await commit(transaction);
      },
    });
    return errAsync({kind: 'unknown', message: 'the answer was lost'});
  };
  return late;
}

/** A write that is held back until the test lets it go. */
export interface HeldWrite {
  readonly release: () => void;
  readonly text: string;
}

/** Holds back each write of a store until `release` is called; lists the writes, also released ones. */
export function holdWrites(store: PlatformStore): HeldWrite[] {
  const held: HeldWrite[] = [];
  const commit = store.commit.bind(store);
  store.commit = (transaction) => {
    const value = transaction.then.find((operation) => operation.kind === 'put')?.value;
    if (value === undefined) {
      return commit(transaction);
    }
    const released = new Promise<void>((resolve) => {
      held.push({release: resolve, text: value.toString()});
    });
    return ResultAsync.fromSafePromise(released).andThen(() => commit(transaction));
  };
  return held;
}

/** Waits until a number of writes were held back, and returns the last of these. */
export async function waitForWrite(held: readonly HeldWrite[], count: number): Promise<HeldWrite> {
  for (;;) {
    const write = held[count - 1];
    if (write !== undefined) {
      return write;
    }
    await waitForStore();
  }
}

/**
 * Makes a change after each of `count` writes was sent and before it is done; returns the numbers of
 * the writes after which the promises of the changes resolved, undefined for those that are pending.
 */
export async function changeBetweenWrites(
  held: readonly HeldWrite[],
  count: number,
  change: (index: number) => Promise<void>,
): Promise<(number | undefined)[]> {
  const storedAfter = new Array<number | undefined>(count + 1).fill(undefined);
  let released = 0;
  const observe = async (index: number): Promise<void> => {
    await change(index);
    storedAfter[index] = released;
  };
  void observe(0);
  while (released < count) {
    const write = await waitForWrite(held, released + 1);
    void observe(released + 1);
    released += 1;
    write.release();
  }
  await waitForWrite(held, released + 1);
  return storedAfter;
}
