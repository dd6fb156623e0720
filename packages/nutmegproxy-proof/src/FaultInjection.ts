/** The faults that a run can inject, by name. Each fault reverts itself unless its comment says otherwise. */

import type {MinionFaultKind} from '@nutmegproxy/standins';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {TestCluster} from './TestCluster.ts';
import type {Endpoint} from './TestNetwork.ts';

import {stopEntry, stopEntryTwice} from './PlannedStops.ts';
import {pick} from './TestCluster.ts';

/** Injects a fault, then reverts it. */
export type Fault = (cluster: TestCluster, random: RandomGenerator) => Promise<void>;

const SHORT_FAULT_MS = {max: 2_500, min: 500} as const;
/** Longer than every lease and the tenure in these runs. */
const LONG_FAULT_MS = {max: 4_500, min: 3_000} as const;
const RESTART_DELAY_MS = {max: 800, min: 0} as const;
const PLATFORM_ENDPOINTS: readonly Endpoint[] = ['store', 'vm-list'];

function drawBetween(random: RandomGenerator, {max, min}: {max: number; min: number}): number {
  return uniformInt(random, min, max);
}

function pairBothDirections(
  left: readonly Endpoint[],
  right: readonly Endpoint[],
): (readonly [Endpoint, Endpoint])[] {
  return left.flatMap((one) =>
    right.flatMap((other) => [[one, other] as const, [other, one] as const]),
  );
}

function pickVms(cluster: TestCluster, random: RandomGenerator, wanted: 'all' | 'one'): Endpoint[] {
  const all = cluster.entries.map(({vm}) => vm);
  return wanted === 'one' ? [pick(random, all)] : all;
}

const kill: Fault = async (cluster, random) => {
  const entry = pick(random, cluster.entries);
  const downMs = drawBetween(random, RESTART_DELAY_MS);
  await cluster.runExclusively(entry, () =>
    cluster.recordOutage(['absences', 'blindTimes'], [entry], async () => {
      await entry.process?.kill();
      await sleep(downMs);
      await cluster.startEntry(entry);
    }),
  );
};

const pause: Fault = async (cluster, random) => {
  const entry = pick(random, cluster.entries);
  const pauseMs = drawBetween(random, LONG_FAULT_MS);
  await cluster.runExclusively(entry, () =>
    cluster.recordOutage(['absences', 'blindTimes'], [entry], async () => {
      entry.process?.pause();
      await sleep(pauseMs);
      entry.process?.resume();
    }),
  );
};

function partitionPeers(ways: 'both' | 'one'): Fault {
  return async (cluster, random) => {
    const one = pick(random, cluster.entries);
    const other = pick(
      random,
      cluster.entries.filter((entry) => entry !== one),
    );
    const partitions = pairBothDirections([one.vm], [other.vm]).slice(0, ways === 'one' ? 1 : 2);
    await cluster.runPartitioned(partitions, () => sleep(drawBetween(random, SHORT_FAULT_MS)));
  };
}

/** Partitions one VM from the store; with `from-store`, writes take effect but responses are lost. */
function partitionStore(ways: 'both' | 'from-store'): Fault {
  return async (cluster, random) => {
    const entry = pick(random, cluster.entries);
    const both = [[entry.vm, 'store'] as const, ['store', entry.vm] as const];
    const partitions = ways === 'both' ? both : both.slice(1);
    const partitionMs = drawBetween(random, LONG_FAULT_MS);
    await cluster.recordOutage(['storeFaults'], [entry], () =>
      cluster.runPartitioned(partitions, () => sleep(partitionMs)),
    );
  };
}

/** Partitions a data centre from the platform, from the other data centre, or from both. */
function partitionDataCentre(from: 'both' | 'other' | 'platform'): Fault {
  return async (cluster, random) => {
    const entries = cluster.listEntries(pick(random, ['dc-a', 'dc-b']));
    const inside = entries.map(({vm}) => vm);
    const outside = cluster.entries.map(({vm}) => vm).filter((vm) => !inside.includes(vm));
    const places = {
      both: [...PLATFORM_ENDPOINTS, ...outside],
      other: outside,
      platform: PLATFORM_ENDPOINTS,
    }[from];
    const partitionMs = drawBetween(random, LONG_FAULT_MS);
    const partition = (): Promise<void> =>
      cluster.runPartitioned(pairBothDirections(inside, places), () => sleep(partitionMs));
    const kinds = {
      both: ['absences', 'blindTimes', 'storeFaults'],
      other: [],
      platform: ['blindTimes', 'storeFaults'],
    } as const;
    await cluster.recordOutage(kinds[from], entries, partition);
  };
}

const storeDown: Fault = async (cluster, random) => {
  const downMs = drawBetween(random, LONG_FAULT_MS);
  // A change accepted just before the outage may have reached only one VM.
  await cluster.recordOutage(['absences', 'storeFaults'], cluster.entries, async () => {
    cluster.platform.store.control({down: true});
    await sleep(downMs);
    cluster.platform.store.control({down: false});
  });
};

const storeSlow: Fault = async (cluster, random) => {
  const slowMs = drawBetween(random, SHORT_FAULT_MS);
  const delayMs = drawBetween(random, {max: 1_200, min: 100});
  await cluster.recordOutage(['storeFaults'], cluster.entries, async () => {
    cluster.platform.store.control({delayMs});
    await sleep(slowMs);
    cluster.platform.store.control({delayMs: 0});
  });
};

const storeLosesResponses: Fault = async (cluster, random) => {
  const loseShare = drawBetween(random, {max: 50, min: 10}) / 100;
  const seed = drawBetween(random, {max: 1_000_000, min: 1});
  const loseMs = drawBetween(random, SHORT_FAULT_MS);
  await cluster.recordOutage(['storeFaults'], cluster.entries, async () => {
    cluster.platform.store.control({loseShare, seed});
    await sleep(loseMs);
    cluster.platform.store.control({loseShare: 0});
  });
};

const listFrozen: Fault = async (cluster, random) => {
  const frozenMs = drawBetween(random, LONG_FAULT_MS);
  await cluster.recordOutage(['blindTimes'], cluster.entries, async () => {
    cluster.platform.vmList.control({freeze: true});
    await sleep(frozenMs);
    cluster.platform.vmList.control({freeze: false});
  });
};

function minionFault(kind: MinionFaultKind): Fault {
  return async (cluster, random) => {
    const minion = pick(random, [...cluster.platform.minions.values()]);
    const atByte = drawBetween(random, {max: 255, min: 0});
    const share = drawBetween(random, {max: 60, min: 5}) / 100;
    const seed = drawBetween(random, {max: 1_000_000, min: 1});
    minion.control({fault: {atByte, kind, seed, share}});
    await sleep(drawBetween(random, SHORT_FAULT_MS));
    minion.control({fault: {kind: 'none'}});
  };
}

/** Announces that a minion is leaving, once per data centre; it is not reverted. */
const minionLeaves: Fault = (cluster, random) => {
  const dataCentre = pick(random, ['dc-a', 'dc-b']);
  const minion = pick(
    random,
    [...cluster.platform.minions.keys()].filter((id) => id.startsWith(dataCentre)),
  );
  if ([...cluster.departedMinions].every((id) => !id.startsWith(dataCentre))) {
    cluster.departedMinions.add(minion);
    cluster.platform.minions.get(minion)?.control({leaving: true});
    cluster.platform.setVmState(minion, 'leaving');
    cluster.recorder.add('departures', {at: Date.now(), minion});
  }
  return Promise.resolve();
};

function workerFault(
  kind: 'delayMs' | 'failEverything' | 'loseNext' | 'unreachable',
  on: boolean | number,
  off: boolean | number,
): Fault {
  return async (cluster, random) => {
    const worker = pick(random, [...cluster.platform.workers.values()]);
    worker.control({[kind]: on});
    await sleep(drawBetween(random, LONG_FAULT_MS));
    worker.control({[kind]: off});
  };
}

/** Partitions one VM from all workers of its data centre. */
const partitionWorkers: Fault = async (cluster, random) => {
  const entry = pick(random, cluster.entries);
  const ids = [...cluster.platform.workers.keys()].filter((id) => id.startsWith(entry.dataCentre));
  const partitionMs = drawBetween(random, LONG_FAULT_MS);
  await cluster.runPartitioned(pairBothDirections([entry.vm], ids), () => sleep(partitionMs));
};

function drain(target: 'minion' | 'worker'): Fault {
  return async (cluster, random) => {
    const ids = {minion: cluster.platform.minions, worker: cluster.platform.workers}[target];
    const id = pick(random, [...ids.keys()]);
    const [vm] = pickVms(cluster, random, 'one');
    const entry = cluster.entries.find((each) => each.vm === vm);
    const other = pick(random, cluster.entries);
    await entry?.callOperatorApi('POST', '/v1/drains?waitMs=0', {id, target});
    await sleep(drawBetween(random, SHORT_FAULT_MS));
    await other.callOperatorApi('DELETE', `/v1/drains/${target}/${id}?waitMs=0`);
  };
}

/** The faults by name. */
export const FAULTS = {
  'cut-data-centre': partitionDataCentre('both'),
  'cut-data-centre-other': partitionDataCentre('other'),
  'cut-data-centre-platform': partitionDataCentre('platform'),
  'cut-peers': partitionPeers('both'),
  'cut-peers-one-way': partitionPeers('one'),
  'cut-store': partitionStore('both'),
  'cut-store-answers': partitionStore('from-store'),
  'cut-workers': partitionWorkers,
  'drain-minion': drain('minion'),
  'drain-worker': drain('worker'),
  kill,
  'list-frozen': listFrozen,
  'minion-hangs': minionFault('hang'),
  'minion-leaves': minionLeaves,
  'minion-refuses': minionFault('refuse'),
  'minion-resets': minionFault('reset'),
  'minion-truncates': minionFault('truncate'),
  pause,
  'planned-stop': stopEntry,
  'planned-stop-twice': stopEntryTwice,
  'store-down': storeDown,
  'store-loses': storeLosesResponses,
  'store-slow': storeSlow,
  'worker-fails': workerFault('failEverything', true, false),
  'worker-loses': workerFault('loseNext', 5, 0),
  'worker-slow': workerFault('delayMs', 600, 0),
  'worker-unreachable': workerFault('unreachable', true, false),
} as const satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof FAULTS;

export const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[];
