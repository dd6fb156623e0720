/** Computes the results of one run of the task experiment from the workers' records. */

import type {AttemptInterval} from '@nutmegproxy/standins';

import {WORKER_CAPACITY, WORKERS} from './TaskPlatform.ts';
import {getWorkMs, isLatencyCritical} from './TaskWorkload.ts';

const START_LIMIT_MS = 7000;
const MS_PER_S = 1000;

/** An accepted job; its time is wall-clock time. */
export interface AcceptedJob {
  readonly cancelled: boolean;
  readonly count: number;
  readonly entry: string;
  readonly id: string;
  readonly submittedAt: number;
}

/** The recorded jobs and attempts of a run. */
export interface RunRecord {
  readonly accepted: readonly AcceptedJob[];
  readonly attempts: readonly AttemptInterval[];
  readonly endedAt: number;
  /** Number of jobs that were rejected permanently because no worker can run them. */
  readonly impossible: number;
  readonly startedAt: number;
  /** Number of jobs that were not accepted before the end of the run. */
  readonly unaccepted: number;
}

/** Results of a run. Delays are in ms; slowdown is the run time divided by the uncontended one. */
export interface TaskFigures {
  readonly batchPerOffered: number;
  readonly coreSecondsLost: number;
  readonly evictions: number;
  readonly impossible: number;
  readonly overCapacityShare: number;
  readonly slowdownP50: number;
  readonly slowdownP99: number;
  readonly startMax: number;
  readonly startP50: number;
  readonly startP99: number;
  readonly startsInTime: number;
  readonly unaccepted: number;
  readonly unstarted: number;
  readonly urgent: number;
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

/** Measures start delays of latency-critical tasks; unstarted tasks count up to the end of the run. */
function measureStarts({accepted, attempts, endedAt}: RunRecord) {
  const starts = new Map<string, number>();
  for (const {endState, startedAt, task} of attempts) {
    // A failed attempt does not count as a start.
    if (endState === undefined || endState === 'succeeded') {
      starts.set(task, startedAt);
    }
  }
  const urgent = accepted.filter(({entry}) => isLatencyCritical(entry));
  const delays = urgent.map(({id, submittedAt}) => {
    return (starts.get(`${id}/0`) ?? endedAt) - submittedAt;
  });
  const unstarted = urgent.filter(({id}) => !starts.has(`${id}/0`)).length;
  delays.sort((a, b) => a - b);
  const inTime = delays.filter((delay) => delay <= START_LIMIT_MS).length;
  return {
    startMax: delays.at(-1) ?? 0,
    startP50: quantile(delays, 0.5),
    startP99: quantile(delays, 0.99),
    startsInTime: round(inTime / Math.max(1, delays.length)),
    unstarted,
    urgent: urgent.length,
  };
}

function measureSlowdowns(attempts: readonly AttemptInterval[]) {
  const slowdowns = attempts.flatMap(({endedAt, endState, entry, startedAt}) =>
    isLatencyCritical(entry) && endState === 'succeeded' && endedAt !== undefined
      ? [(endedAt - startedAt) / getWorkMs(entry)]
      : [],
  );
  slowdowns.sort((a, b) => a - b);
  return {
    slowdownP50: round(quantile(slowdowns, 0.5)),
    slowdownP99: round(quantile(slowdowns, 0.99)),
  };
}

/** Returns the share of worker time in which used processors or memory exceed the capacity. */
function overCapacityShare({attempts, endedAt, startedAt}: RunRecord): number {
  const changes = attempts.flatMap(({endedAt: end = endedAt, startedAt: start, used, worker}) => [
    {at: start, cpu: used.cpu, memoryMb: used.memoryMb, worker},
    {at: end, cpu: -used.cpu, memoryMb: -used.memoryMb, worker},
  ]);
  changes.sort((a, b) => a.at - b.at);
  const loads = new Map<string, {at: number; cpu: number; memoryMb: number}>();
  let overMs = 0;
  for (const {at, cpu, memoryMb, worker} of changes) {
    const load = loads.get(worker) ?? {at, cpu: 0, memoryMb: 0};
    const isOver = load.cpu > WORKER_CAPACITY.cpu || load.memoryMb > WORKER_CAPACITY.memoryMb;
    overMs += isOver ? at - load.at : 0;
    loads.set(worker, {at, cpu: load.cpu + cpu, memoryMb: load.memoryMb + memoryMb});
  }
  return round(overMs / (WORKERS * (endedAt - startedAt)));
}

/** Measures the batch work that was kept and the work that was lost, excluding cancelled jobs. */
function measureBatch({accepted, attempts, endedAt, startedAt}: RunRecord) {
  const cancelled = new Set(accepted.filter((job) => job.cancelled).map(({id}) => id));
  let doneMs = 0;
  let lostMs = 0;
  let evictions = 0;
  for (const {doneMs: done = 0, endState, entry, resumedFromMs, task, used} of attempts) {
    const [job = ''] = task.split('/');
    if (isLatencyCritical(entry) || endState === undefined || cancelled.has(job)) {
      continue;
    }
    const workMs = used.cpu * (done - resumedFromMs);
    const isKept = endState === 'succeeded' || endState === 'checkpointed';
    doneMs += isKept ? workMs : 0;
    lostMs += isKept ? 0 : workMs;
    evictions += endState === 'checkpointed' ? 1 : 0;
  }
  const offeredMs = WORKERS * WORKER_CAPACITY.cpu * (endedAt - startedAt);
  return {
    batchPerOffered: round(doneMs / offeredMs),
    coreSecondsLost: round(lostMs / MS_PER_S),
    evictions,
  };
}

/** Computes all results of a run. */
export function measureRun(record: RunRecord): TaskFigures {
  return {
    ...measureBatch(record),
    impossible: record.impossible,
    overCapacityShare: overCapacityShare(record),
    ...measureSlowdowns(record.attempts),
    ...measureStarts(record),
    unaccepted: record.unaccepted,
  };
}
