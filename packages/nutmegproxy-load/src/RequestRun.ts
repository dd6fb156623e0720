/** Runs scenarios of requests against real processes, once per policy and seed. */

import type {Policies, Scenario, WorkClass} from '@nutmegproxy/schema';

import type {ClassFigures} from './LoadFigures.ts';

import {drawArrivals} from './Arrivals.ts';
import {Balancer} from './Balancer.ts';
import {runFaults} from './Faults.ts';
import {LoadCluster} from './LoadCluster.ts';
import {LoadRecorder} from './LoadFigures.ts';
import {OpenLoop} from './OpenLoop.ts';

/** One arm of a comparison: a named set of policies. */
export interface PolicyArm {
  readonly name: string;
  readonly policies: Policies;
}

/** Results of one run. */
export interface RunFigures {
  readonly arm: string;
  readonly classes: ReadonlyMap<WorkClass, ClassFigures>;
  readonly seed: number;
  /** Longest send delay of the callers; results with a long delay are unreliable. */
  readonly senderLateMs: number;
}

/** Runs a scenario once. */
export async function runScenario(
  scenario: Scenario,
  {name, policies}: PolicyArm,
  seed: number,
): Promise<RunFigures> {
  const cluster = new LoadCluster(scenario);
  try {
    await cluster.start(policies);
    const recorder = new LoadRecorder();
    const balancer = new Balancer(cluster.entries);
    const balancing = balancer.run();
    const startMs = performance.now();
    const loop = new OpenLoop({balancer, recorder, scenario, startMs});
    await Promise.all([
      loop.run(drawArrivals(scenario, seed)),
      runFaults(cluster, scenario, startMs + scenario.warmUpMs),
    ]);
    balancer.close();
    await balancing;
    return {arm: name, classes: recorder.read(), seed, senderLateMs: loop.maxLateMs};
  } finally {
    await cluster.close();
  }
}

/** Runs each arm with the same seeds, interleaved so that load on the machine affects all alike. */
export async function compareArms(
  scenario: Scenario,
  arms: readonly PolicyArm[],
  seeds: readonly number[],
  onRun: (figures: RunFigures) => void = () => undefined,
): Promise<readonly RunFigures[]> {
  const runs: RunFigures[] = [];
  for (const seed of seeds) {
    for (const arm of arms) {
      const figures = await runScenario(scenario, arm, seed);
      runs.push(figures);
      onRun(figures);
    }
  }
  return runs;
}
