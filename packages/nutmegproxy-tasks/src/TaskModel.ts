/** In-memory model of jobs and tasks, their ids, and conversion to and from snapshot records. */

import type {Instant} from '@nutmegproxy/core';
import type {JobRecord, Resources, TaskOutcome, TaskRecord} from '@nutmegproxy/schema';

import {omitUndefined} from './ObjectUtils.ts';

export type TaskState = TaskRecord['state'];

/** `count` tasks of one catalogue entry with one input. */
export interface Job {
  readonly acceptedAt: number;
  cancelled: boolean;
  /** Wall time at which the last task ended. */
  endedAt: number | undefined;
  readonly entry: string;
  readonly id: string;
  /** Why the job cannot run at present; not part of the log. */
  impossibleReason: string | undefined;
  readonly input: string | undefined;
  /** Tasks that hold a reservation. */
  readonly liveTasks: Set<Task>;
  /** Number of queued tasks; 0 once the job is cancelled. */
  queuedCount: number;
  /** Instant before which the policy is not asked again about an impossible job. */
  recheckAt: Instant | undefined;
  readonly tasks: readonly Task[];
}

/** One task of a job. `attempt` is set while the task holds a reservation. */
export interface Task {
  attempt: string | undefined;
  checkpoint: string | undefined;
  failures: number;
  readonly index: number;
  readonly job: Job;
  /** Wall time before which the task is not started again. */
  notBefore: number | undefined;
  outcome: TaskOutcome | undefined;
  queuedAt: number | undefined;
  reason: string | undefined;
  reserved: Resources | undefined;
  startBefore: number | undefined;
  startedAt: number | undefined;
  starts: number;
  state: TaskState;
  worker: string | undefined;
}

const INDEX_SEPARATOR = '/';
const ATTEMPT_SEPARATOR = '#';

/**
 * Id of a task: the job's id and the task's index.
 *
 * @example
 * formatTaskId(job.tasks[3]); // '4f1c…~dc1~rack-2/3'
 */
export function formatTaskId(task: Task): string {
  return `${task.job.id}${INDEX_SEPARATOR}${task.index}`;
}

/** Splits a task id into job id and index; the index is NaN when the id has none. */
export function parseTaskId(id: string): {index: number; job: string} {
  const separatorAt = id.lastIndexOf(INDEX_SEPARATOR);
  return {index: Number(id.slice(separatorAt + 1)), job: id.slice(0, separatorAt)};
}

/** Id of the task's next attempt. It is unique, since the log counts the starts of each task. */
export function formatNextAttemptId(task: Task): string {
  return `${formatTaskId(task)}${ATTEMPT_SEPARATOR}${task.starts}`;
}

/** Whether the task holds a reservation. */
export function isLive(task: Task): boolean {
  return task.state === 'starting' || task.state === 'running' || task.state === 'evicting';
}

/** Whether the job has no queued task and no task that holds a reservation. */
export function hasEnded(job: Job): boolean {
  return job.queuedCount === 0 && job.liveTasks.size === 0;
}

/** State reported to users, where queued tasks of a cancelled job count as ended. */
export function getVisibleState(task: Task): TaskState {
  return task.job.cancelled && task.state === 'queued' ? 'ended' : task.state;
}

export function jobFromRecord(record: JobRecord): Job {
  const tasks: Task[] = [];
  const job: Job = {
    acceptedAt: record.acceptedAt,
    cancelled: record.cancelled,
    endedAt: record.endedAt,
    entry: record.entry,
    id: record.job,
    impossibleReason: undefined,
    input: record.input,
    liveTasks: new Set(),
    queuedCount: 0,
    recheckAt: undefined,
    tasks,
  };
  for (const each of record.tasks) {
    const task = taskFromRecord(job, each);
    tasks.push(task);
    if (isLive(task)) {
      job.liveTasks.add(task);
    }
  }
  job.queuedCount = job.cancelled ? 0 : tasks.filter(({state}) => state === 'queued').length;
  return job;
}

export function jobToRecord(job: Job): JobRecord {
  return omitUndefined({
    acceptedAt: job.acceptedAt,
    cancelled: job.cancelled,
    endedAt: job.endedAt,
    entry: job.entry,
    input: job.input,
    job: job.id,
    tasks: job.tasks.map(taskToRecord),
  });
}

function taskFromRecord(job: Job, record: TaskRecord): Task {
  return {
    attempt: record.attempt,
    checkpoint: record.checkpoint,
    failures: record.failures,
    index: record.index,
    job,
    notBefore: record.notBefore,
    outcome: record.outcome,
    queuedAt: record.queuedAt,
    reason: record.reason,
    reserved: record.reserved,
    startBefore: record.startBefore,
    startedAt: record.startedAt,
    starts: record.starts,
    state: record.state,
    worker: record.worker,
  };
}

function taskToRecord(task: Task): TaskRecord {
  return omitUndefined({
    attempt: task.attempt,
    checkpoint: task.checkpoint,
    failures: task.failures,
    index: task.index,
    notBefore: task.notBefore,
    outcome: task.outcome,
    queuedAt: task.queuedAt,
    reason: task.reason,
    reserved: task.reserved,
    startBefore: task.startBefore,
    startedAt: task.startedAt,
    starts: task.starts,
    state: task.state,
    worker: task.worker,
  });
}
