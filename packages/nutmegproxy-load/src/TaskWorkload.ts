/**
 * The seeded workload of the task experiment: latency-critical tasks, waves of batch tasks and
 * cancellations.
 */

import type {Catalogue, Entry} from '@nutmegproxy/schema';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Actual resource usage of an entry's tasks, which may differ from what the catalogue declares. */
interface ActualUsage {
  readonly class: Entry['class'];
  readonly cpu: number;
  /** Declared size divided by actual size. */
  readonly declaredFactor: number;
  readonly memoryMb: number;
  readonly noise: number;
  readonly noiseTo?: Readonly<Record<string, number>>;
  readonly owner: string;
  readonly workMs: number;
}

/** A job to submit; times count from the start of the run. */
export interface PlannedJob {
  readonly atMs: number;
  readonly cancelAtMs?: number;
  readonly count: number;
  readonly entry: string;
  readonly input: string;
}

/** Period in which jobs are submitted. */
export const ARRIVAL_PERIOD_MS = 12_000;
const LATENCY_CRITICAL_PER_S = 25;
const WAVE_STARTS_MS = [500, 4500, 8500];
const WAVE_TASK_COUNTS: Readonly<Record<string, number>> = {
  digest: 60,
  index: 80,
  retouch: 40,
  train: 10,
};
const CANCEL_AT_MS = 6000;
const CANCELLED_JOBS = 20;
const CANCELLED_TASKS = 10;

const BATCH = {class: 'batch', noise: 0.01} as const;
const LATENCY_CRITICAL = {
  class: 'latency-critical',
  memoryMb: 500,
  noise: 0,
  owner: 'oportuna',
} as const;

const ACTUAL_USAGES: Readonly<Record<string, ActualUsage>> = {
  alert: {...LATENCY_CRITICAL, cpu: 1, declaredFactor: 4, workMs: 400},
  digest: {...BATCH, cpu: 2, declaredFactor: 1, memoryMb: 2000, owner: 'albarrada', workMs: 1500},
  index: {
    ...BATCH,
    cpu: 1,
    declaredFactor: 4,
    memoryMb: 1000,
    noiseTo: {quote: 0.25},
    owner: 'cenacle',
    workMs: 1000,
  },
  page: {...LATENCY_CRITICAL, cpu: 2, declaredFactor: 0.25, workMs: 600},
  quote: {...LATENCY_CRITICAL, cpu: 1, declaredFactor: 1, workMs: 300},
  retouch: {
    ...BATCH,
    cpu: 4,
    declaredFactor: 0.25,
    memoryMb: 4000,
    noiseTo: {alert: 0.3, page: 0.1},
    owner: 'albarrada',
    workMs: 2500,
  },
  train: {...BATCH, cpu: 8, declaredFactor: 1, memoryMb: 16_000, owner: 'cenacle', workMs: 4000},
};
const LATENCY_CRITICAL_ENTRIES = Object.keys(ACTUAL_USAGES).filter((id) => isLatencyCritical(id));

/** Tasks of these entries never run because they exceed the capacity of every worker. */
const IMPOSSIBLE_ENTRIES = ['giant', 'hoard'];

export function isLatencyCritical(entry: string): boolean {
  return ACTUAL_USAGES[entry]?.class === 'latency-critical';
}

export function getWorkMs(entry: string): number {
  return ACTUAL_USAGES[entry]?.workMs ?? 0;
}

/** Creates the experiment's catalogue with the declared sizes. */
export function createWorkloadCatalogue(): Catalogue {
  const entries = Object.entries(ACTUAL_USAGES).map(([id, truth]): Entry => {
    const {cpu, declaredFactor, memoryMb, owner, workMs} = truth;
    const declared = {cpu: cpu * declaredFactor, memoryMb: memoryMb * declaredFactor};
    const limits = {attempts: 5, ...declared, runTimeMs: workMs};
    return {
      checkpoint: !isLatencyCritical(id),
      class: truth.class,
      id,
      kind: 'task',
      limits,
      owner,
    };
  });
  const template = {checkpoint: true, class: 'batch', kind: 'task'} as const;
  return {
    entries: [
      ...entries,
      {...template, id: 'giant', limits: {cpu: 100, memoryMb: 100}, owner: 'cenacle'},
      {...template, id: 'hoard', limits: {cpu: 1, memoryMb: 100_000}, owner: 'cenacle'},
    ],
    teams: [{id: 'albarrada'}, {id: 'cenacle'}, {id: 'oportuna'}],
  };
}

function createInput(entry: string): string {
  const usage = ACTUAL_USAGES[entry];
  const {cpu = 1, memoryMb = 1, noise = 0, noiseTo = {}, workMs = 1} = usage ?? {};
  return JSON.stringify({cpu, memoryMb, noise, noiseTo, workMs});
}

function createJob(entry: string, atMs: number, count: number): PlannedJob {
  return {atMs, count, entry, input: createInput(entry)};
}

function planLatencyCritical(random: RandomGenerator): PlannedJob[] {
  const jobs: PlannedJob[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - uniformFloat64(random)) * 1000) / LATENCY_CRITICAL_PER_S;
    if (atMs >= ARRIVAL_PERIOD_MS) {
      return jobs;
    }
    const index = Math.floor(uniformFloat64(random) * LATENCY_CRITICAL_ENTRIES.length);
    jobs.push(createJob(LATENCY_CRITICAL_ENTRIES[index] ?? 'alert', atMs, 1));
  }
}

/** Plans all jobs of a run, in order of submission. */
export function planJobs(seed: number): readonly PlannedJob[] {
  const random = xoroshiro128plus(seed);
  const jobs = planLatencyCritical(random);
  for (const startMs of WAVE_STARTS_MS) {
    for (const [entry, count] of Object.entries(WAVE_TASK_COUNTS)) {
      const atMs = startMs + uniformFloat64(random) * 500;
      jobs.push(createJob(entry, atMs, count));
    }
    jobs.push(...IMPOSSIBLE_ENTRIES.map((entry) => createJob(entry, startMs, 1)));
  }
  for (let index = 0; index < CANCELLED_JOBS; index += 1) {
    const atMs = CANCEL_AT_MS - 1500 + uniformFloat64(random) * 1000;
    jobs.push({...createJob('digest', atMs, CANCELLED_TASKS), cancelAtMs: CANCEL_AT_MS});
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
}
