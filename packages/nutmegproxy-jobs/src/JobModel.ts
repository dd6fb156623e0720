/** What callers submit: a job of steps, each of tasks that are alike. */

import type {Branded, JobId, RackId, WallTime} from '@nutmegproxy/core';

/** Name of a queue in the configuration. */
export type QueueId = Branded<string, 'QueueId'>;
/** Name of a pool of minions in the configuration. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** Number of a run of one task; every further run of the task has a higher one. */
export type RunNumber = Branded<number, 'RunNumber'>;
/** Opaque state that a run has saved and another run can resume from. */
export type Checkpoint = Branded<string, 'Checkpoint'>;

/** Room that a task takes or a minion has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly gpus: number;
  readonly memoryMb: number;
}

/** The tasks of one step and the conditions under which they run. */
export interface StepShape {
  /** Numbers of earlier steps, from 0, that must have ended first. */
  readonly after: readonly number[];
  /** Whether runs save checkpoints that later runs can resume from. */
  readonly checkpoints: boolean;
  readonly count: number;
  /** Tasks of the step that may be unavailable at once through the scheduler's own actions. */
  readonly disruptionBudget: number | undefined;
  /** The caller's rough estimate of a task's duration; undefined when not given. */
  readonly estimateMs: number | undefined;
  /** Whether the processors of the tasks are taken from what other tasks leave unused. */
  readonly fillsSpareCpu: boolean;
  /** Whether the tasks only work while all of them are present. */
  readonly gang: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image: string | undefined;
  /** Whether the tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Tasks of the step that may share a minion; undefined when there is no limit. */
  readonly maxPerMinion: number | undefined;
  /** Rack that holds the data; the work takes longer on any other. */
  readonly preferredRack: RackId | undefined;
  /** Whether the tasks take longer when they span racks. */
  readonly rackLocal: boolean;
  readonly requiredLabel: string | undefined;
  readonly resources: Resources;
  /** Whether several runs of one task may exist at the same time. */
  readonly speculative: boolean;
  /** Bound on the response time of a serving task in milliseconds; undefined when it has none. */
  readonly tailTargetMs: number | undefined;
}

/** Times at which the steps of a job run again. */
export interface Recurrence {
  readonly count: number;
  readonly firstAt: WallTime;
  readonly intervalMs: number;
}

/** A job as it was submitted. */
export interface JobRequest {
  readonly id: JobId;
  /** Opaque text that every task is given. */
  readonly payload: string;
  readonly recurrence: Recurrence | undefined;
  readonly steps: readonly StepShape[];
}

/** A job as it is kept in the store. */
export interface StoredJob extends JobRequest {
  readonly acceptedAt: WallTime;
  readonly queue: QueueId;
  /** Pool that the queue named when the job was accepted. */
  readonly service: ServiceId;
}

/** State of a job as callers are shown it. */
export type JobStatus = 'cancelled' | 'completed' | 'failed' | 'queued' | 'running';

/** How a run ended, as its minion reports it. */
export type RunOutcome =
  | 'done'
  /** A gang's member waited in vain for the others. */
  | 'incomplete-gang'
  | 'failed'
  /** The minion's hold lapsed. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'gang-broken'
  | 'stopped';

/** A task: one place of one step of one occurrence of a job. */
export interface TaskRef {
  readonly index: number;
  readonly job: JobId;
  /** 0 for a job without recurrence. */
  readonly occurrence: number;
  readonly step: number;
}
