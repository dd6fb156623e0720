/**
 * The jobs and tasks of one cell, derived from its log. The state in the log changes only through
 * `apply`, so replaying the same changes produces the same table.
 */

import type {JobRecord, StartIntended, TaskChange, TaskOutcome} from '@nutmegproxy/schema';

import {invariant} from '@nutmegproxy/core';

import type {Job, Task} from './TaskModel.ts';

import {omitUndefined} from './ObjectUtils.ts';
import {
  formatNextAttemptId,
  hasEnded,
  isLive,
  jobFromRecord,
  jobToRecord,
  parseTaskId,
} from './TaskModel.ts';

type Handlers = {
  readonly [Kind in TaskChange['kind']]: (change: Extract<TaskChange, {kind: Kind}>) => void;
};

/** Persistent state of one cell. */
export class TaskTable {
  readonly #attempts = new Map<string, Task>();
  readonly #handlers: Handlers = {
    'attempt-returned': (change) => {
      const task = this.#attempts.get(change.attempt);
      if (!task) {
        return;
      }
      this.#clearAttempt(task);
      task.failures += change.failed ? 1 : 0;
      task.checkpoint = change.checkpoint ?? task.checkpoint;
      if (task.job.cancelled) {
        this.#endTask(task, 'cancelled', undefined, change.at);
        return;
      }
      task.state = 'queued';
      task.notBefore = change.notBefore;
      task.queuedAt = change.at;
      task.job.queuedCount += 1;
      this.#enqueue(task);
    },
    'eviction-intended': (change) => {
      const task = this.#attempts.get(change.attempt);
      if (task) {
        task.state = 'evicting';
      }
    },
    'job-accepted': (change) => {
      if (this.#jobs.has(change.job)) {
        return;
      }
      this.#add(
        jobFromRecord(
          omitUndefined({
            acceptedAt: change.at,
            cancelled: false,
            entry: change.entry,
            input: change.input,
            job: change.job,
            tasks: Array.from({length: change.count}, (_, index) => ({
              failures: 0,
              index,
              queuedAt: change.at,
              starts: 0,
              state: 'queued' as const,
            })),
          }),
        ),
      );
    },
    'job-cancelled': (change) => {
      const job = this.#jobs.get(change.job);
      if (job?.cancelled !== false) {
        return;
      }
      // `queuedTasks` removes the queued tasks later, so the cost is the same for jobs of any size.
      job.cancelled = true;
      job.queuedCount = 0;
      this.#updateEndedJob(job, change.at);
    },
    'job-forgotten': (change) => {
      const job = this.#jobs.get(change.job);
      if (job && hasEnded(job)) {
        this.#jobs.delete(change.job);
        this.#taskCount -= job.tasks.length;
        this.#endedJobs.delete(job);
      }
    },
    'start-confirmed': (change) => {
      const task = this.#attempts.get(change.attempt);
      if (task?.state === 'starting') {
        task.state = 'running';
      }
    },
    'start-intended': (change) => {
      this.#assignAttempt(change);
    },
    'task-ended': (change) => {
      const task = this.findTask(change.task);
      if (task && task.state !== 'ended') {
        if (task.state === 'queued') {
          this.#removeQueued(task);
        }
        this.#clearAttempt(task);
        this.#endTask(task, change.outcome, change.reason, change.at);
      }
    },
  };
  readonly #endedJobs = new Set<Job>();
  readonly #jobs = new Map<string, Job>();
  readonly #queues = new Map<string, Set<Task>>();
  #taskCount = 0;

  /** Jobs that have ended and are still in the table. */
  get endedJobs(): ReadonlySet<Job> {
    return this.#endedJobs;
  }

  get jobs(): ReadonlyMap<string, Job> {
    return this.#jobs;
  }

  /** Tasks that hold a reservation. */
  get liveTasks(): IterableIterator<Task> {
    return this.#attempts.values();
  }

  get liveCount(): number {
    return this.#attempts.size;
  }

  /** Entries that may have queued tasks. */
  get queuedEntries(): IterableIterator<string> {
    return this.#queues.keys();
  }

  /** Number of tasks of all jobs in the table. */
  get taskCount(): number {
    return this.#taskCount;
  }

  /** Applies one change; applying a change a second time has no effect. */
  apply(change: TaskChange): void {
    (this.#handlers[change.kind] as (change: TaskChange) => void)(change);
  }

  /** The task of `attempt`, if the attempt holds a reservation. */
  findByAttempt(attempt: string): Task | undefined {
    return this.#attempts.get(attempt);
  }

  /** Moves a queued task behind the others of its entry. */
  postpone(task: Task): void {
    this.#dequeue(task);
    this.#enqueue(task);
  }

  /** Queued tasks of an entry in order; removes those of cancelled jobs from the queue. */
  *queuedTasks(entry: string): Generator<Task> {
    for (const task of this.#queues.get(entry) ?? []) {
      if (task.job.cancelled) {
        this.#dequeue(task);
      } else {
        yield task;
      }
    }
  }

  /** Loads a snapshot into an empty table. */
  restore(jobs: readonly JobRecord[]): void {
    invariant(
      this.#jobs.size === 0,
      'tasks: a snapshot was restored into a table that is not empty',
    );
    for (const record of jobs) {
      this.#add(jobFromRecord(record));
    }
  }

  snapshot(): JobRecord[] {
    return [...this.#jobs.values()].map(jobToRecord);
  }

  findTask(id: string): Task | undefined {
    const {index, job} = parseTaskId(id);
    return this.#jobs.get(job)?.tasks[index];
  }

  #add(job: Job): void {
    this.#jobs.set(job.id, job);
    this.#taskCount += job.tasks.length;
    for (const task of job.tasks) {
      if (task.state === 'queued' && !job.cancelled) {
        this.#enqueue(task);
      }
      if (isLive(task) && task.attempt !== undefined) {
        this.#attempts.set(task.attempt, task);
      }
    }
    if (hasEnded(job)) {
      this.#endedJobs.add(job);
    }
  }

  #assignAttempt(change: StartIntended): void {
    const task = this.findTask(change.task);
    if (task?.state !== 'queued' || task.job.cancelled) {
      return;
    }
    if (formatNextAttemptId(task) !== change.attempt) {
      return;
    }
    this.#removeQueued(task);
    task.attempt = change.attempt;
    task.notBefore = undefined;
    task.reserved = change.reserved;
    task.startBefore = change.startBefore;
    task.startedAt = change.at;
    task.starts += 1;
    task.state = 'starting';
    task.worker = change.worker;
    task.job.liveTasks.add(task);
    this.#attempts.set(change.attempt, task);
  }

  #dequeue(task: Task): void {
    const queue = this.#queues.get(task.job.entry);
    queue?.delete(task);
    if (queue?.size === 0) {
      this.#queues.delete(task.job.entry);
    }
  }

  #clearAttempt(task: Task): void {
    if (task.attempt !== undefined) {
      this.#attempts.delete(task.attempt);
    }
    task.job.liveTasks.delete(task);
    task.attempt = undefined;
    task.reserved = undefined;
    task.startBefore = undefined;
    task.worker = undefined;
  }

  #endTask(task: Task, outcome: TaskOutcome, reason: string | undefined, at: number): void {
    task.state = 'ended';
    task.outcome = outcome;
    task.reason = reason;
    task.checkpoint = undefined;
    this.#updateEndedJob(task.job, at);
  }

  #enqueue(task: Task): void {
    const queue = this.#queues.get(task.job.entry) ?? new Set();
    this.#queues.set(task.job.entry, queue.add(task));
  }

  #updateEndedJob(job: Job, at: number): void {
    if (hasEnded(job)) {
      job.endedAt = at;
      this.#endedJobs.add(job);
    }
  }

  #removeQueued(task: Task): void {
    this.#dequeue(task);
    // The count of a cancelled job is already 0.
    task.job.queuedCount -= task.job.cancelled ? 0 : 1;
  }
}
