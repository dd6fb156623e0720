/** Acceptance, status and cancellation of jobs in the cells that this VM owns. */

import type {EntryNode} from '@nutmegproxy/core';
import type {
  JobCancelled,
  JobStatus,
  TaskJobAnswer,
  TaskJobQuery,
  TaskSubmit,
  TaskSubmitAnswer,
} from '@nutmegproxy/schema';

import type {Cell} from './Cell.ts';
import type {AppendOutcome} from './CellLog.ts';
import type {Job} from './TaskModel.ts';

import {withTimeout} from './AsyncUtils.ts';
import {formatJobId} from './JobIds.ts';
import {omitUndefined} from './ObjectUtils.ts';
import {getJobKey} from './TaskKeys.ts';
import {formatTaskId, getVisibleState} from './TaskModel.ts';
import {
  MAX_INPUT_BYTES,
  MAX_JOBS_PER_CELL,
  MAX_TASKS_IN_STATUS,
  MAX_TASKS_PER_CELL,
  SUBMISSION_TIMEOUT_MS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** Returns an owned and recovered cell. */
export type CellLookup = (cell: string) => Cell | undefined;

/** Status of a job as reported to users. */
export function toJobStatus(job: Job): JobStatus {
  const counts: Record<string, number> = {};
  for (const task of job.tasks) {
    const state = getVisibleState(task);
    counts[state] = (counts[state] ?? 0) + 1;
  }
  return omitUndefined({
    cancelled: job.cancelled,
    counts,
    entry: job.entry,
    impossible: job.queuedCount > 0 ? job.impossibleReason : undefined,
    job: job.id,
    tasks: job.tasks.slice(0, MAX_TASKS_IN_STATUS).map((task) =>
      omitUndefined({
        failures: task.failures,
        outcome: task.outcome ?? (getVisibleState(task) === 'ended' ? 'cancelled' : undefined),
        reason: task.reason,
        resumed: task.checkpoint !== undefined,
        state: getVisibleState(task),
        task: formatTaskId(task),
        worker: task.worker,
      }),
    ),
  });
}

/** Handles requests for jobs in the cells that this VM owns. */
export class JobService {
  readonly #cancelBatches = new Map<Cell, CancelBatch>();
  readonly #cells: CellLookup;
  readonly #keyPrefix: string;
  readonly #node: EntryNode;

  constructor(node: EntryNode, cells: CellLookup, keyPrefix: string) {
    this.#cells = cells;
    this.#keyPrefix = keyPrefix;
    this.#node = node;
  }

  /** Accepts a job once it is committed; a key that was used before returns its existing job. */
  async accept(submit: TaskSubmit): Promise<TaskSubmitAnswer> {
    const cell = this.#cells(submit.cell);
    if (!cell?.mayAct(this.#node.clock.monotonic())) {
      return {kind: 'not-owner'};
    }
    const inputBytes = Buffer.byteLength(JSON.stringify(submit.input ?? ''));
    if (inputBytes > MAX_INPUT_BYTES) {
      return {kind: 'impossible', reason: 'the input is too large'};
    }
    const {table} = cell;
    const tasks = table.taskCount + submit.count;
    if (table.jobs.size >= MAX_JOBS_PER_CELL || tasks > MAX_TASKS_PER_CELL) {
      return {kind: 'not-accepted', reason: "the cell's queue is full"};
    }
    const {dataCentre} = this.#node.identity;
    const job = formatJobId({cell: cell.id, dataCentre, hash: submit.key});
    const {count, entry, input} = submit;
    const at = this.#node.clock.wall();
    const accepted = omitUndefined({at, count, entry, input, job, kind: 'job-accepted'} as const);
    const appended = cell.append([accepted], {
      failFast: true,
      jobKey: {job, key: getJobKey(this.#keyPrefix, submit.key)},
    });
    const outcome = await withTimeout(appended, SUBMISSION_TIMEOUT_MS, {kind: 'unknown'} as const);
    if (outcome.kind === 'committed') {
      this.#node.events.record(TASKS_EVENTS.JOB_ACCEPTED, {count, entry, job});
    }
    return SUBMIT_RESPONSES[outcome.kind](outcome, job);
  }

  /** Reads or cancels a job. */
  async query(query: TaskJobQuery): Promise<TaskJobAnswer> {
    const cell = this.#cells(query.cell);
    if (!cell?.mayAct(this.#node.clock.monotonic())) {
      return {kind: 'not-owner'};
    }
    const job = cell.table.jobs.get(query.job);
    if (!job) {
      return {kind: 'missing'};
    }
    const isCancelling = query.action === 'cancel' && !job.cancelled;
    if (isCancelling && !(await this.#cancel(cell, job))) {
      return {kind: 'not-accepted'};
    }
    return {kind: 'found', status: JSON.stringify(toJobStatus(job))};
  }

  async #cancel(cell: Cell, job: Job): Promise<boolean> {
    const batch = this.#cancelBatches.get(cell) ?? new CancelBatch(cell);
    this.#cancelBatches.set(cell, batch);
    const change = {at: this.#node.clock.wall(), job: job.id, kind: 'job-cancelled'} as const;
    const done = await withTimeout(batch.add(change), SUBMISSION_TIMEOUT_MS, false);
    if (batch.isIdle) {
      this.#cancelBatches.delete(cell);
    }
    if (done) {
      this.#node.events.record(TASKS_EVENTS.JOB_CANCELLED, {job: job.id});
    }
    return done;
  }
}

type SubmitOutcome = AppendOutcome | {readonly kind: 'unknown'};

const SUBMIT_RESPONSES: Record<
  SubmitOutcome['kind'],
  (outcome: SubmitOutcome, job: string) => TaskSubmitAnswer
> = {
  committed: (_outcome, job) => ({job, kind: 'accepted'}),
  exists: (outcome, job) => ({job: outcome.kind === 'exists' ? outcome.job : job, kind: 'exists'}),
  lost: () => ({kind: 'not-owner'}),
  unavailable: () => ({kind: 'not-accepted', reason: 'the store can not be reached'}),
  unknown: () => ({kind: 'unknown', reason: 'the store has not answered'}),
};

const MAX_CANCELS_PER_DELTA = 1000;

/** Batches a cell's cancellations while a commit is in flight, so that many need few writes. */
class CancelBatch {
  readonly #cell: Cell;
  #isRunning = false;
  #waiting: {change: JobCancelled; settle: (done: boolean) => void}[] = [];

  constructor(cell: Cell) {
    this.#cell = cell;
  }

  get isIdle(): boolean {
    return !this.#isRunning;
  }

  add(change: JobCancelled): Promise<boolean> {
    return new Promise((settle) => {
      this.#waiting.push({change, settle});
      if (!this.#isRunning) {
        this.#isRunning = true;
        void this.#run();
      }
    });
  }

  async #run(): Promise<void> {
    while (this.#waiting.length > 0) {
      const batch = this.#waiting.splice(0, MAX_CANCELS_PER_DELTA);
      const done = await this.#cell.commit(
        batch.map(({change}) => change),
        {failFast: true},
      );
      batch.forEach(({settle}) => {
        settle(done);
      });
    }
    this.#isRunning = false;
  }
}
