/** The jobs that callers submit: a job has steps, and a step has identical tasks. */

import type {Branded, JobId, RackId, WallTime} from '@nutmegproxy/core';

/** Name of a queue in the configuration. */
export type QueueId = Branded<string, 'QueueId'>;
/** Name of a pool of minions in the configuration. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** Number of a run of a task; each later run of the task has a higher one. */
export type RunNumber = Branded<number, 'RunNumber'>;
/** Opaque state saved by a run, from which another run can resume. */
export type Checkpoint = Branded<string, 'Checkpoint'>;

/** Resources that a task reserves or a minion has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMilli: number;
  readonly gpus: number;
  readonly memoryMb: number;
}

/** The tasks of one step and the conditions under which they run. */
export interface StepShape {
  /** Numbers, from 0, of the earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** Whether runs save checkpoints from which later runs can resume. */
  readonly checkpoints: boolean;
  readonly count: number;
  /** Most tasks of the step that the scheduler itself may make unavailable at once. */
  readonly disruptionBudget: number | undefined;
  /** The caller's rough estimate of a task's duration in milliseconds; undefined without one. */
  readonly estimateMs: number | undefined;
  /** Whether the tasks are backfill: they use processor time that other tasks leave unused. */
  readonly fillsSpareCpu: boolean;
  /** Whether the tasks form a gang, which only works while all its members run. */
  readonly gang: boolean;
  /** Image that the tasks run; tasks of the same image are expected to behave alike. */
  readonly image: string | undefined;
  /** Whether the tasks run until the job is cancelled. */
  readonly longRunning: boolean;
  /** Most tasks of the step on one minion; undefined when there is no limit. */
  readonly maxPerMinion: number | undefined;
  /** Rack that holds the tasks' data; tasks take longer on any other. */
  readonly preferredRack: RackId | undefined;
  /** Whether the tasks take longer when they span racks. */
  readonly rackLocal: boolean;
  readonly requiredLabel: string | undefined;
  readonly resources: Resources;
  /** Whether a task may have several runs at the same time. */
  readonly speculative: boolean;
  /** Target for the tail latency of a serving task in milliseconds; undefined when it has none. */
  readonly tailTargetMs: number | undefined;
}

/** Schedule of a recurring job; all its steps run once per occurrence. */
export interface Recurrence {
  readonly count: number;
  readonly firstAt: WallTime;
  readonly intervalMs: number;
}

/** A submitted job. */
export interface JobRequest {
  readonly id: JobId;
  /** Opaque text that is passed to every task. */
  readonly payload: string;
  readonly recurrence: Recurrence | undefined;
  readonly steps: readonly StepShape[];
}

/** Settings of a queue whose steps only run on minions that the external advisor permits. */
export interface AdvicePolicy {
  readonly callMs: number;
  readonly perMinionMs: number;
  /** Validity of a ticket, in milliseconds. */
  readonly validMs: number;
}

/** Settings of a job's queue that hold for the job also once the queue is not configured any more. */
export interface StoredQueuePolicy {
  /** Absent where the queue needs no advice, and in records of earlier versions. */
  readonly advice?: AdvicePolicy;
  /** Number of failed runs of one task after which the job fails. */
  readonly maxAttempts: number;
}

/** An accepted job as it is stored. */
export interface StoredJob extends JobRequest {
  readonly acceptedAt: WallTime;
  /** Whether it is in another cell than its home, so that a place names the cell; otherwise absent. */
  readonly isPlaced?: true;
  readonly queue: QueueId;
  /** As configured when the job was accepted; absent in records of earlier versions. */
  readonly queuePolicy?: StoredQueuePolicy;
  /** Pool of minions that the queue used when the job was accepted. */
  readonly service: ServiceId;
}

/** State of a job as reported to callers. */
export type JobStatus = 'cancelled' | 'completed' | 'failed' | 'queued' | 'running';

/** Result of a run as its minion reports it. */
export type RunOutcome =
  | 'done'
  /** A member of a gang timed out waiting for the others. */
  | 'incomplete-gang'
  | 'failed'
  /** The minion's lease expired. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'gang-broken'
  | 'stopped';

/** Identifies a task by its job, occurrence, step and index within the step. */
export interface TaskRef {
  readonly index: number;
  readonly job: JobId;
  /** 0 for a job without recurrence. */
  readonly occurrence: number;
  readonly step: number;
}
