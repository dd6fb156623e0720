/** Injects the faults of a scenario at their scheduled times. */

import type {Fault, Scenario} from '@nutmegproxy/schema';

import {setTimeout as sleep} from 'node:timers/promises';

import type {LoadCluster, LoadMinion} from './LoadCluster.ts';

interface FaultHandler {
  /** Ends the fault; undefined if the fault is permanent. */
  readonly end?: (cluster: LoadCluster, fault: Fault) => Promise<unknown>;
  readonly start: (cluster: LoadCluster, fault: Fault) => Promise<unknown>;
}

function applyToMinions(
  {minions}: LoadCluster,
  {count = 1}: Fault,
  action: (minion: LoadMinion) => Promise<unknown>,
): Promise<unknown> {
  return Promise.all(minions.slice(0, count).map(action));
}

function slowMinions(cluster: LoadCluster, fault: Fault, serviceFactor: number): Promise<unknown> {
  return applyToMinions(cluster, fault, (minion) => cluster.controlMinion(minion, {serviceFactor}));
}

async function controlPlatform(cluster: LoadCluster, down: boolean): Promise<void> {
  await Promise.all([cluster.controlStore({down}), cluster.controlVmList({down})]);
}

async function startMinionsLeaving(cluster: LoadCluster, fault: Fault): Promise<void> {
  const ids = cluster.minions.slice(0, fault.count ?? 1).map(({id}) => id);
  await cluster.listAsLeaving(new Set(ids));
  await applyToMinions(cluster, fault, (minion) => cluster.controlMinion(minion, {leaving: true}));
}

/** For faults of the callers, which the open loop applies itself. */
const OPEN_LOOP_FAULT: FaultHandler = {start: () => Promise.resolve()};

const FAULT_HANDLERS: Readonly<Record<Fault['kind'], FaultHandler>> = {
  cancellations: OPEN_LOOP_FAULT,
  'entry-kill': {start: ({entries}) => Promise.resolve(entries.at(-1)?.process?.kill())},
  'entry-stop': {
    start: ({entries}) => Promise.resolve(entries.at(-1)?.process?.signalAndWait('SIGTERM')),
  },
  'list-lag': {start: (cluster, {delayMs = 0}) => cluster.controlVmList({lagMs: delayMs})},
  load: OPEN_LOOP_FAULT,
  'minions-fail': {
    start: (cluster, fault) => applyToMinions(cluster, fault, ({process}) => process.kill()),
  },
  'minions-leave': {start: startMinionsLeaving},
  'minions-slow': {
    end: (cluster, fault) => slowMinions(cluster, fault, 1),
    start: (cluster, fault) => slowMinions(cluster, fault, fault.factor ?? 1),
  },
  'platform-cut': {
    end: (cluster) => controlPlatform(cluster, false),
    start: (cluster) => controlPlatform(cluster, true),
  },
  retries: OPEN_LOOP_FAULT,
  'store-down': {
    end: (cluster) => cluster.controlStore({down: false}),
    start: (cluster) => cluster.controlStore({down: true}),
  },
  'store-slow': {
    end: (cluster) => cluster.controlStore({delayMs: 0}),
    start: (cluster, {delayMs = 0}) => cluster.controlStore({delayMs}),
  },
};

async function waitUntilTime(timeMs: number): Promise<void> {
  await sleep(Math.max(0, timeMs - performance.now()));
}

async function runFault(
  cluster: LoadCluster,
  fault: Fault,
  measurementStartMs: number,
): Promise<void> {
  const {end, start} = FAULT_HANDLERS[fault.kind];
  await waitUntilTime(measurementStartMs + fault.atMs);
  // Starting a fault can take long (a planned stop waits for its process), so its end is not delayed.
  const started = start(cluster, fault);
  if (end !== undefined && fault.untilMs !== undefined) {
    await waitUntilTime(measurementStartMs + fault.untilMs);
    await end(cluster, fault);
  }
  await started;
}

/** Runs all faults; `measurementStartMs` is the monotonic time at which the warm-up ends. */
export async function runFaults(
  cluster: LoadCluster,
  {faults = []}: Scenario,
  measurementStartMs: number,
): Promise<void> {
  await Promise.all(faults.map((fault) => runFault(cluster, fault, measurementStartMs)));
}
