/** One fault-injection run: a seeded workload under seeded faults, then all history checks. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {FaultName} from './FaultInjection.ts';
import type {History} from './History.ts';
import type {Violation} from './Violation.ts';

import {CatalogueWorkload} from './CatalogueWorkload.ts';
import {checkHistory} from './Checks.ts';
import {FAULT_NAMES, FAULTS} from './FaultInjection.ts';
import {JobWorkload} from './JobWorkload.ts';
import {RequestCaller} from './RequestCaller.ts';
import {
  CALLER_PAUSE_MS,
  CALLERS,
  DECLARED_RESOURCES,
  FAULT_ROUNDS,
  SETTLE_LIMIT_MS,
  START_LIMIT_MS,
} from './RunConstants.ts';
import {pick, TestCluster} from './TestCluster.ts';
import {becomesTrueWithin, waitUntil} from './WaitUtils.ts';

export interface RunPlan {
  /** Faults to choose from; all by default. */
  readonly faults?: readonly FaultName[];
  readonly seed: number;
}

export interface RunReport {
  readonly durationMs: number;
  readonly faults: readonly FaultName[];
  readonly history: History;
  /** Operations by kind. */
  readonly operations: Readonly<Record<string, number>>;
  readonly seed: number;
  readonly violations: readonly Violation[];
}

/** One fault of a schedule; faults of a round overlap, and a round may repeat a fault. */
export interface ScheduledFault {
  readonly delayMs: number;
  readonly name: FaultName;
  readonly round: number;
  readonly seed: number;
}

/** Draws the faults of a run; the result depends only on the plan. */
export function drawSchedule({faults = FAULT_NAMES, seed}: RunPlan): readonly ScheduledFault[] {
  const random = xoroshiro128plus(seed);
  return Array.from({length: FAULT_ROUNDS}, (_, round) =>
    Array.from({length: uniformInt(random, 1, 3)}, (): ScheduledFault => {
      const delayMs = uniformInt(random, 0, 600);
      return {delayMs, name: pick(random, faults), round, seed: uniformInt(random, 1, 2 ** 30)};
    }),
  ).flat();
}

async function injectFaults(cluster: TestCluster, schedule: readonly ScheduledFault[]) {
  for (let round = 0; round < FAULT_ROUNDS; round += 1) {
    const concurrent = schedule.filter((fault) => fault.round === round);
    await Promise.all(
      concurrent.map(async ({delayMs, name, seed}) => {
        await sleep(delayMs);
        await FAULTS[name](cluster, xoroshiro128plus(seed));
      }),
    );
  }
}

function clearFaults({platform}: TestCluster): void {
  platform.store.control({delayMs: 0, down: false, loseShare: 0});
  platform.vmList.control({freeze: false});
  for (const minion of platform.minions.values()) {
    minion.control({fault: {kind: 'none'}});
  }
  for (const worker of platform.workers.values()) {
    worker.control({delayMs: 0, failEverything: false, loseNext: 0, unreachable: false});
  }
}

/** Counts items by the name that `name` returns. */
export function countBy<Item>(items: readonly Item[], name: (item: Item) => string) {
  const counts: Record<string, number> = {};
  for (const item of items) {
    counts[name(item)] = (counts[name(item)] ?? 0) + 1;
  }
  return counts;
}

function countOperations(history: History, jobs: JobWorkload, operators: CatalogueWorkload) {
  const evictions = history.attempts.filter(({endState}) => endState === 'checkpointed');
  return {
    ...countBy(history.requests, ({outcome}) => `requests ${outcome}`),
    ...countBy(history.attempts, ({endState}) => `attempts ${endState ?? 'running'}`),
    'catalogue changes accepted': operators.accepted,
    'catalogue changes refused': operators.refused,
    'catalogue states seen': history.seen.length,
    checkpoints: evictions.length,
    'jobs accepted': jobs.accepted,
    'jobs cancelled': jobs.cancelled,
    'jobs submitted': jobs.submitted,
    'jobs tried again': jobs.retries,
    'planned stops': history.stops.length,
    'runs at minions': history.minionRuns.length,
  };
}

/** Starts callers, job submission and catalogue changes, which run until `isOver`. */
function startWorkload(
  cluster: TestCluster,
  random: RandomGenerator,
  jobs: JobWorkload,
  operators: CatalogueWorkload,
  isOver: () => boolean,
): Promise<unknown> {
  const drawSeed = (): number => uniformInt(random, 1, 2 ** 30);
  const callers = Array.from({length: CALLERS}, (_, index) =>
    new RequestCaller(
      `c${index}`,
      drawSeed(),
      cluster.entries,
      cluster.recorder,
      CALLER_PAUSE_MS,
    ).run(isOver),
  );
  return Promise.all([
    ...callers,
    jobs.run(xoroshiro128plus(drawSeed()), 'j0', isOver),
    jobs.run(xoroshiro128plus(drawSeed()), 'j1', isOver),
    operators.changeRepeatedly(xoroshiro128plus(drawSeed()), isOver),
    operators.changeRepeatedly(xoroshiro128plus(drawSeed()), isOver),
  ]);
}

function readHistory(cluster: TestCluster, settled: boolean): History {
  const declared = new Map(Object.entries(DECLARED_RESOURCES));
  return {...cluster.recorder.close(settled), ...cluster.platform.readHistory(declared)};
}

async function runPlan(cluster: TestCluster, plan: RunPlan) {
  const schedule = drawSchedule(plan);
  const jobs = new JobWorkload(cluster);
  const operators = new CatalogueWorkload(cluster);
  const [first] = cluster.entries;
  await cluster.start();
  await waitUntil('first catalogue accepted', START_LIMIT_MS, async () => {
    return first !== undefined && (await operators.changeCatalogue(first, 100));
  });
  await cluster.waitForReady(START_LIMIT_MS);
  const workload = new AbortController();
  const polling = new AbortController();
  const random = xoroshiro128plus(plan.seed + 1);
  const workloadDone = startWorkload(
    cluster,
    random,
    jobs,
    operators,
    () => workload.signal.aborted,
  );
  const pollingDone = operators.pollCatalogues(() => polling.signal.aborted);
  await injectFaults(cluster, schedule);
  clearFaults(cluster);
  workload.abort();
  await workloadDone;
  await becomesTrueWithin(SETTLE_LIMIT_MS, () => jobs.haveAllEnded());
  jobs.recordJobs();
  const isHistoryRead = await operators.recordHistory();
  polling.abort();
  await pollingDone;
  const history = readHistory(cluster, true);
  const violations: readonly Violation[] = [
    ...checkHistory(history),
    ...(isHistoryRead
      ? []
      : [{invariant: 'final-answer', message: 'no VM returned the catalogue history'} as const]),
  ];
  const operations = countOperations(history, jobs, operators);
  return {faults: schedule.map(({name}) => name), history, operations, violations};
}

/**
 * Runs one seed, then kills every process that it started.
 *
 * @example
 * const {violations} = await runSeed({faults: ['kill'], seed: 7});
 */
export async function runSeed(plan: RunPlan): Promise<RunReport> {
  const startedAt = Date.now();
  const cluster = new TestCluster();
  try {
    const result = await runPlan(cluster, plan);
    return {...result, durationMs: Date.now() - startedAt, seed: plan.seed};
  } finally {
    await cluster.close();
  }
}
