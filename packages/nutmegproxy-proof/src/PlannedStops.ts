/** Planned stops of entry VMs under load, by signal or through the operator API. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {TestCluster} from './TestCluster.ts';
import type {TestEntry} from './TestEntry.ts';

import {pick} from './TestCluster.ts';
import {becomesTrueWithin} from './WaitUtils.ts';

const CANCEL_STOP_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 30_000;
/** Time for which the load balancer still sends callers to a VM that is not ready. */
const BALANCER_LAG_MS = 200;

type StopMethod = 'listed' | 'signal' | 'signal-twice';

const STOP_METHODS: Readonly<
  Record<StopMethod, (cluster: TestCluster, entry: TestEntry, helper: TestEntry) => Promise<void>>
> = {
  listed: async (_cluster, entry, helper) => {
    const accepted = await helper.callOperatorApi('POST', '/v1/stops?waitMs=0', {vm: entry.vm});
    if (accepted === undefined) {
      entry.process?.sendSignal('SIGTERM');
    }
  },
  signal: (_cluster, entry) => {
    entry.process?.sendSignal('SIGTERM');
    return Promise.resolve();
  },
  'signal-twice': async (_cluster, entry) => {
    entry.process?.sendSignal('SIGTERM');
    await sleep(50);
    entry.process?.sendSignal('SIGTERM');
  },
};

/** Cancels a listed stop, so that the next process of the VM keeps running. */
async function cancelStop(cluster: TestCluster, entry: TestEntry): Promise<void> {
  const others = cluster.entries.filter((other) => other !== entry);
  let tries = 0;
  await becomesTrueWithin(CANCEL_STOP_LIMIT_MS, async () => {
    tries += 1;
    const helper = others[tries % others.length];
    return (
      (await helper?.callOperatorApi('DELETE', `/v1/stops/${entry.vm}?waitMs=0`)) !== undefined
    );
  });
}

/** Removes a VM from rotation, as the load balancer does some time after it reports not ready. */
async function removeFromRotation(entry: TestEntry): Promise<void> {
  await becomesTrueWithin(STOP_LIMIT_MS, async () => !(await entry.isReady()));
  await sleep(BALANCER_LAG_MS);
  entry.isInRotation = false;
}

async function stop(cluster: TestCluster, entry: TestEntry, helper: TestEntry, method: StopMethod) {
  const startedAt = Date.now();
  await STOP_METHODS[method](cluster, entry, helper);
  const removal = removeFromRotation(entry);
  const limit = sleep(STOP_LIMIT_MS, undefined, {ref: false});
  const exit = await Promise.race([entry.process?.waitForExit(), limit]);
  const endedAt = Date.now();
  await removal;
  cluster.recorder.add('stops', {endedAt, startedAt, vm: entry.vm});
  await cluster.recordOutage(['absences', 'blindTimes'], [entry], async () => {
    if (exit === undefined) {
      await entry.process?.kill();
    }
    if (method === 'listed') {
      await cancelStop(cluster, entry);
    }
    await cluster.startEntry(entry);
  });
}

function pickStop(cluster: TestCluster, random: RandomGenerator, methods: readonly StopMethod[]) {
  const entry = pick(random, cluster.entries);
  const helper = pick(
    random,
    cluster.entries.filter((other) => other !== entry),
  );
  return {entry, helper, method: pick(random, methods)};
}

/** Stops one VM, then starts it again. */
export async function stopEntry(cluster: TestCluster, random: RandomGenerator): Promise<void> {
  const {entry, helper, method} = pickStop(cluster, random, ['listed', 'signal']);
  await cluster.runExclusively(entry, () => stop(cluster, entry, helper, method));
}

/** Stops one VM with two signals, starts it again, and stops it once more through the operator API. */
export async function stopEntryTwice(cluster: TestCluster, random: RandomGenerator): Promise<void> {
  const {entry, helper} = pickStop(cluster, random, ['signal']);
  const pauseMs = uniformInt(random, 0, 500);
  await cluster.runExclusively(entry, async () => {
    await stop(cluster, entry, helper, 'signal-twice');
    await sleep(pauseMs);
    await stop(cluster, entry, helper, 'listed');
  });
}
