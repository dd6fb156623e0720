/** Sample jobs, minions and planning contexts for the tests of this package. */

import type {
  DataCentreId,
  EventFields,
  EventKind,
  EventSink,
  Instant,
  JobId,
  MinionId,
  RackId,
  WallTime,
} from '@nutmegproxy/core';
import type {JobStatus, QueueId, Run, ServiceId, StepShape} from '@nutmegproxy/jobs';

import {brand, DEFAULT_PLATFORM_BOUNDS, SILENT_EVENTS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';

import type {MinionDescription} from '../../MinionState.ts';
import type {SharingCosts} from '../../Placement.ts';
import type {QueuePolicy} from '../../QueuePolicy.ts';

import {DurationEstimator} from '../../DurationEstimator.ts';
import {Fleet} from '../../Fleet.ts';
import {DEFAULT_LEASE_TIMES} from '../../LeaseTimes.ts';
import {MinionState} from '../../MinionState.ts';
import {planStarts} from '../../StartPlanner.ts';

export const SERVICE = 'mesa' as ServiceId;
export const NO_SHARING_COSTS: SharingCosts = {
  backfillCost: () => 0,
  ordinaryCost: ({spareCpuMilli}) => -spareCpuMilli,
  servingCost: () => 0,
};

export const at = (ms: number): Instant => ms as Instant;
export const wallAt = (ms: number): WallTime => ms as WallTime;

export function queue(id: string, change: Partial<QueuePolicy> = {}): QueuePolicy {
  return {
    advice: undefined,
    id: id as QueueId,
    maxAttempts: 2,
    priority: 0,
    service: SERVICE,
    stretch: 2,
    targetDurationMs: 1000,
    ...change,
  };
}

export function shape(change: Partial<StepShape> = {}): StepShape {
  return {
    after: [],
    checkpoints: false,
    count: 1,
    disruptionBudget: undefined,
    estimateMs: 1000,
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

/** Keeps all events. */
export class RecordedEvents implements EventSink {
  readonly events: {readonly fields: EventFields; readonly kind: EventKind}[] = [];

  record(kind: EventKind, fields: EventFields): void {
    this.events.push({fields, kind});
  }
}

/** A fleet of minions with four cores each that have reported their runs. */
export class SampleFleet {
  readonly estimator = new DurationEstimator(DEFAULT_PLATFORM_BOUNDS);
  readonly fleet: Fleet;
  #jobs = 0;

  constructor(
    minions: number,
    queues: readonly QueuePolicy[] = [queue('proofs')],
    events: EventSink = SILENT_EVENTS,
  ) {
    this.fleet = new Fleet(events);
    for (const policy of queues) {
      this.fleet.queues.set(policy.id, policy);
    }
    for (let number = 1; number <= minions; number += 1) {
      this.addMinion(`m${number}`);
    }
  }

  addJob(
    queueId: string,
    steps: readonly StepShape[],
    acceptedAtMs = 0,
    status: JobStatus = 'queued',
  ): JobState {
    this.#jobs += 1;
    const id = brand<JobId>(this.#jobs.toString(16).padStart(16, '0'));
    const request = {
      acceptedAt: wallAt(acceptedAtMs),
      id,
      payload: '',
      queue: queueId as QueueId,
      recurrence: undefined,
      service: SERVICE,
      steps,
    };
    const progress = {queue: request.queue, status, steps: {}};
    const job = new JobState(request, this.#jobs, progress);
    this.fleet.jobs.set(id, job);
    return job;
  }

  addMinion(name: string, change: Partial<MinionDescription> = {}): MinionState {
    const minion = new MinionState(
      {
        address: `${name}:1`,
        bornAt: 1,
        capacity: {cpuMilli: 4000, gpus: 0, memoryMb: 8000},
        dataCentre: brand<DataCentreId>('dc'),
        id: brand<MinionId>(name),
        isDraining: false,
        labels: ['a', 'r1'],
        leavesInMs: undefined,
        machine: undefined,
        rack: brand<RackId>('r1'),
        service: SERVICE,
        ...change,
      },
      DEFAULT_LEASE_TIMES,
    );
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, at(0));
    this.fleet.minions.set(minion.id, minion);
    return minion;
  }

  /** Adds a job of one step whose turn has come. */
  addReadyJob(queueId: string, step: StepShape, readyAtMs: number): JobState {
    const job = this.addJob(queueId, [step]);
    for (const each of job.occurrence(0) ?? []) {
      each.readyAt = at(readyAtMs);
    }
    return job;
  }

  /** Completes all live runs of a job. */
  finishRuns(job: JobState, now: Instant): void {
    for (const step of job.steps()) {
      for (const run of [...step.runs()]) {
        this.fleet.finishRun(run, 'done', undefined, now);
      }
    }
  }

  plan(nowMs: number, sharingCosts: SharingCosts = NO_SHARING_COSTS): Run[] {
    return planStarts(this.fleet, {
      advice: {isPermitted: () => undefined},
      estimator: this.estimator,
      now: at(nowMs),
      sharingCosts,
      wall: wallAt(nowMs),
    });
  }
}
