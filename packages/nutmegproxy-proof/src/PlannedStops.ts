/** Planned stops of entry VMs under load, by signal or as an operator lists them. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {TestCluster} from './TestCluster.ts';
import type {TestEntry} from './TestEntry.ts';

import {pick} from './TestCluster.ts';
import {becomesTrueWithin} from './WaitUtils.ts';

const CANCEL_STOP_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 30_000;
/** Between the balancer's reading of not ready and its last caller. */
const BALANCER_LAG_MS = 200;

type StopMethod = 'listed' | 'signal' | 'signal-twice';

const STOP_METHODS: Readonly<
  Record<StopMethod, (scene: TestCluster, entry: TestEntry, helper: TestEntry) => Promise<void>>
> = {
  listed: async (_scene, entry, helper) => {
    const accepted = await helper.callOperatorApi('POST', '/v1/stops?waitMs=0', {vm: entry.vm});
    if (accepted === undefined) {
      entry.process?.sendSignal('SIGTERM');
    }
  },
  signal: (_scene, entry) => {
    entry.process?.sendSignal('SIGTERM');
    return Promise.resolve();
  },
  'signal-twice': async (_scene, entry) => {
    entry.process?.sendSignal('SIGTERM');
    await sleep(50);
    entry.process?.sendSignal('SIGTERM');
  },
};

/** Takes a VM off the list, so that its next process stays. */
async function cancelStop(scene: TestCluster, entry: TestEntry): Promise<void> {
  const others = scene.entries.filter((other) => other !== entry);
  let tries = 0;
  await becomesTrueWithin(CANCEL_STOP_LIMIT_MS, async () => {
    tries += 1;
    const helper = others[tries % others.length];
    return (
      (await helper?.callOperatorApi('DELETE', `/v1/stops/${entry.vm}?waitMs=0`)) !== undefined
    );
  });
}

/** The balancer takes a VM out a while after it has said that it is not ready. */
async function removeFromRotation(entry: TestEntry): Promise<void> {
  await becomesTrueWithin(STOP_LIMIT_MS, async () => !(await entry.isReady()));
  await sleep(BALANCER_LAG_MS);
  entry.isInRotation = false;
}

async function stop(scene: TestCluster, entry: TestEntry, helper: TestEntry, method: StopMethod) {
  const startedAt = Date.now();
  await STOP_METHODS[method](scene, entry, helper);
  const removal = removeFromRotation(entry);
  const limit = sleep(STOP_LIMIT_MS, undefined, {ref: false});
  const exit = await Promise.race([entry.process?.waitForExit(), limit]);
  const endedAt = Date.now();
  await removal;
  scene.recorder.add('stops', {endedAt, startedAt, vm: entry.vm});
  await scene.recordOutage(['absences', 'blindTimes'], [entry], async () => {
    if (exit === undefined) {
      await entry.process?.kill();
    }
    if (method === 'listed') {
      await cancelStop(scene, entry);
    }
    await scene.startEntry(entry);
  });
}

function pickStop(scene: TestCluster, random: RandomGenerator, methods: readonly StopMethod[]) {
  const entry = pick(random, scene.entries);
  const helper = pick(
    random,
    scene.entries.filter((other) => other !== entry),
  );
  return {entry, helper, way: pick(random, methods)};
}

/** Stops one VM and replaces its process. */
export async function stopEntry(scene: TestCluster, random: RandomGenerator): Promise<void> {
  const {entry, helper, way} = pickStop(scene, random, ['listed', 'signal']);
  await scene.runExclusively(entry, () => stop(scene, entry, helper, way));
}

/** Stops one VM twice: asked again while it stops, or again after it was replaced. */
export async function stopEntryTwice(scene: TestCluster, random: RandomGenerator): Promise<void> {
  const {entry, helper} = pickStop(scene, random, ['signal']);
  const pauseMs = uniformInt(random, 0, 500);
  await scene.runExclusively(entry, async () => {
    await stop(scene, entry, helper, 'signal-twice');
    await sleep(pauseMs);
    await stop(scene, entry, helper, 'listed');
  });
}
