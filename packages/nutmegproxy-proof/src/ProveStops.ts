/** Planned stops of entry VMs under load, by signal or as an operator lists them. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {ProofEntry} from './ProofEntry.ts';
import type {ProveScene} from './ProveScene.ts';

import {pick} from './ProveScene.ts';
import {holdsWithin} from './ProveUtils.ts';

const DELIST_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 30_000;
/** Between the balancer's reading of not ready and its last caller. */
const BALANCER_LAG_MS = 200;

type StopWay = 'listed' | 'signal' | 'signal-twice';

const WAYS: Readonly<
  Record<StopWay, (scene: ProveScene, entry: ProofEntry, helper: ProofEntry) => Promise<void>>
> = {
  listed: async (_scene, entry, helper) => {
    const accepted = await helper.operate('POST', '/v1/stops?waitMs=0', {vm: entry.vm});
    if (accepted === undefined) {
      entry.process?.ask('SIGTERM');
    }
  },
  signal: (_scene, entry) => {
    entry.process?.ask('SIGTERM');
    return Promise.resolve();
  },
  'signal-twice': async (_scene, entry) => {
    entry.process?.ask('SIGTERM');
    await sleep(50);
    entry.process?.ask('SIGTERM');
  },
};

/** Takes a VM off the list, so that its next process stays. */
async function delist(scene: ProveScene, entry: ProofEntry): Promise<void> {
  const others = scene.entries.filter((other) => other !== entry);
  let tries = 0;
  await holdsWithin(DELIST_LIMIT_MS, async () => {
    tries += 1;
    const helper = others[tries % others.length];
    return (await helper?.operate('DELETE', `/v1/stops/${entry.vm}?waitMs=0`)) !== undefined;
  });
}

/** The balancer takes a VM out a while after it has said that it is not ready. */
async function unbalance(entry: ProofEntry): Promise<void> {
  await holdsWithin(STOP_LIMIT_MS, async () => !(await entry.isReady()));
  await sleep(BALANCER_LAG_MS);
  entry.balanced = false;
}

async function stop(scene: ProveScene, entry: ProofEntry, helper: ProofEntry, way: StopWay) {
  const startedAt = Date.now();
  await WAYS[way](scene, entry, helper);
  const unbalanced = unbalance(entry);
  const limit = sleep(STOP_LIMIT_MS, undefined, {ref: false});
  const end = await Promise.race([entry.process?.waitForEnd(), limit]);
  const endedAt = Date.now();
  await unbalanced;
  scene.recorder.add('stops', {endedAt, startedAt, vm: entry.vm});
  await scene.during(['absences', 'blindTimes'], [entry], async () => {
    if (end === undefined) {
      await entry.process?.kill();
    }
    if (way === 'listed') {
      await delist(scene, entry);
    }
    await scene.startEntry(entry);
  });
}

function pickStop(scene: ProveScene, random: RandomGenerator, ways: readonly StopWay[]) {
  const entry = pick(random, scene.entries);
  const helper = pick(
    random,
    scene.entries.filter((other) => other !== entry),
  );
  return {entry, helper, way: pick(random, ways)};
}

/** Stops one VM and replaces its process. */
export async function stopEntry(scene: ProveScene, random: RandomGenerator): Promise<void> {
  const {entry, helper, way} = pickStop(scene, random, ['listed', 'signal']);
  await scene.exclusive(entry, () => stop(scene, entry, helper, way));
}

/** Stops one VM twice: asked again while it stops, or again after it was replaced. */
export async function stopEntryTwice(scene: ProveScene, random: RandomGenerator): Promise<void> {
  const {entry, helper} = pickStop(scene, random, ['signal']);
  const pauseMs = uniformInt(random, 0, 500);
  await scene.exclusive(entry, async () => {
    await stop(scene, entry, helper, 'signal-twice');
    await sleep(pauseMs);
    await stop(scene, entry, helper, 'listed');
  });
}
