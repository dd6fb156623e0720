/** The faults that a run of the prover can bring about, by name. Each ends what it began. */

import type {MinionFaultKind} from '@nutmegproxy/standins';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {TestCluster} from './TestCluster.ts';
import type {Endpoint} from './TestNetwork.ts';

import {stopEntry, stopEntryTwice} from './PlannedStops.ts';
import {pick} from './TestCluster.ts';

/** Brings a fault about and ends it. */
export type Fault = (scene: TestCluster, random: RandomGenerator) => Promise<void>;

const SHORT_FAULT_MS = {max: 2_500, min: 500} as const;
/** Beyond every lease and the tenure of the runs. */
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

function pickVms(scene: TestCluster, random: RandomGenerator, wanted: 'all' | 'one'): Endpoint[] {
  const all = scene.entries.map(({vm}) => vm);
  return wanted === 'one' ? [pick(random, all)] : all;
}

const kill: Fault = async (scene, random) => {
  const entry = pick(random, scene.entries);
  const downMs = drawBetween(random, RESTART_DELAY_MS);
  await scene.runExclusively(entry, () =>
    scene.recordOutage(['absences', 'blindTimes'], [entry], async () => {
      await entry.process?.kill();
      await sleep(downMs);
      await scene.startEntry(entry);
    }),
  );
};

const pause: Fault = async (scene, random) => {
  const entry = pick(random, scene.entries);
  const pauseMs = drawBetween(random, LONG_FAULT_MS);
  await scene.runExclusively(entry, () =>
    scene.recordOutage(['absences', 'blindTimes'], [entry], async () => {
      entry.process?.pause();
      await sleep(pauseMs);
      entry.process?.resume();
    }),
  );
};

function partitionPeers(ways: 'both' | 'one'): Fault {
  return async (scene, random) => {
    const one = pick(random, scene.entries);
    const other = pick(
      random,
      scene.entries.filter((entry) => entry !== one),
    );
    const cuts = pairBothDirections([one.vm], [other.vm]).slice(0, ways === 'one' ? 1 : 2);
    await scene.runPartitioned(cuts, () => sleep(drawBetween(random, SHORT_FAULT_MS)));
  };
}

/** Cuts one VM off from the store; `from-store` lets writes take effect and loses the answers. */
function partitionStore(ways: 'both' | 'from-store'): Fault {
  return async (scene, random) => {
    const entry = pick(random, scene.entries);
    const both = [[entry.vm, 'store'] as const, ['store', entry.vm] as const];
    const cuts = ways === 'both' ? both : both.slice(1);
    const cutMs = drawBetween(random, LONG_FAULT_MS);
    await scene.recordOutage(['storeFaults'], [entry], () =>
      scene.runPartitioned(cuts, () => sleep(cutMs)),
    );
  };
}

/** Cuts a data centre off from the platform, from the other one, or from both. */
function partitionDataCentre(from: 'both' | 'other' | 'platform'): Fault {
  return async (scene, random) => {
    const entries = scene.listEntries(pick(random, ['dc-a', 'dc-b']));
    const inside = entries.map(({vm}) => vm);
    const outside = scene.entries.map(({vm}) => vm).filter((vm) => !inside.includes(vm));
    const places = {
      both: [...PLATFORM_ENDPOINTS, ...outside],
      other: outside,
      platform: PLATFORM_ENDPOINTS,
    }[from];
    const cutMs = drawBetween(random, LONG_FAULT_MS);
    const cut = (): Promise<void> =>
      scene.runPartitioned(pairBothDirections(inside, places), () => sleep(cutMs));
    const kinds = {
      both: ['absences', 'blindTimes', 'storeFaults'],
      other: [],
      platform: ['blindTimes', 'storeFaults'],
    } as const;
    await scene.recordOutage(kinds[from], entries, cut);
  };
}

const storeDown: Fault = async (scene, random) => {
  const downMs = drawBetween(random, LONG_FAULT_MS);
  // A change that was accepted just before may be known to one VM alone.
  await scene.recordOutage(['absences', 'storeFaults'], scene.entries, async () => {
    scene.platform.store.control({down: true});
    await sleep(downMs);
    scene.platform.store.control({down: false});
  });
};

const storeSlow: Fault = async (scene, random) => {
  const slowMs = drawBetween(random, SHORT_FAULT_MS);
  const delayMs = drawBetween(random, {max: 1_200, min: 100});
  await scene.recordOutage(['storeFaults'], scene.entries, async () => {
    scene.platform.store.control({delayMs});
    await sleep(slowMs);
    scene.platform.store.control({delayMs: 0});
  });
};

const storeLosesResponses: Fault = async (scene, random) => {
  const loseShare = drawBetween(random, {max: 50, min: 10}) / 100;
  const seed = drawBetween(random, {max: 1_000_000, min: 1});
  const loseMs = drawBetween(random, SHORT_FAULT_MS);
  await scene.recordOutage(['storeFaults'], scene.entries, async () => {
    scene.platform.store.control({loseShare, seed});
    await sleep(loseMs);
    scene.platform.store.control({loseShare: 0});
  });
};

const listFrozen: Fault = async (scene, random) => {
  const frozenMs = drawBetween(random, LONG_FAULT_MS);
  await scene.recordOutage(['blindTimes'], scene.entries, async () => {
    scene.platform.vmList.control({freeze: true});
    await sleep(frozenMs);
    scene.platform.vmList.control({freeze: false});
  });
};

function minionFault(kind: MinionFaultKind): Fault {
  return async (scene, random) => {
    const minion = pick(random, [...scene.platform.minions.values()]);
    const atByte = drawBetween(random, {max: 255, min: 0});
    const share = drawBetween(random, {max: 60, min: 5}) / 100;
    const seed = drawBetween(random, {max: 1_000_000, min: 1});
    minion.control({fault: {atByte, kind, seed, share}});
    await sleep(drawBetween(random, SHORT_FAULT_MS));
    minion.control({fault: {kind: 'none'}});
  };
}

/** Announces that a minion leaves, once for each data centre; its mark stays. */
const minionLeaves: Fault = (scene, random) => {
  const dataCentre = pick(random, ['dc-a', 'dc-b']);
  const minion = pick(
    random,
    [...scene.platform.minions.keys()].filter((id) => id.startsWith(dataCentre)),
  );
  if ([...scene.departedMinions].every((id) => !id.startsWith(dataCentre))) {
    scene.departedMinions.add(minion);
    scene.platform.minions.get(minion)?.control({leaving: true});
    scene.platform.setVmState(minion, 'leaving');
    scene.recorder.add('departures', {at: Date.now(), minion});
  }
  return Promise.resolve();
};

function workerFault(
  kind: 'delayMs' | 'failEverything' | 'loseNext' | 'unreachable',
  on: boolean | number,
  off: boolean | number,
): Fault {
  return async (scene, random) => {
    const worker = pick(random, [...scene.platform.workers.values()]);
    worker.control({[kind]: on});
    await sleep(drawBetween(random, LONG_FAULT_MS));
    worker.control({[kind]: off});
  };
}

/** Cuts one VM off from all workers of its data centre. */
const partitionWorkers: Fault = async (scene, random) => {
  const entry = pick(random, scene.entries);
  const ids = [...scene.platform.workers.keys()].filter((id) => id.startsWith(entry.dataCentre));
  const cutMs = drawBetween(random, LONG_FAULT_MS);
  await scene.runPartitioned(pairBothDirections([entry.vm], ids), () => sleep(cutMs));
};

function drain(target: 'minion' | 'worker'): Fault {
  return async (scene, random) => {
    const ids = {minion: scene.platform.minions, worker: scene.platform.workers}[target];
    const id = pick(random, [...ids.keys()]);
    const [vm] = pickVms(scene, random, 'one');
    const entry = scene.entries.find((each) => each.vm === vm);
    const other = pick(random, scene.entries);
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
