/** Runs the demo: two data centres, three entry VMs, and stand-ins for everything around them. */

import {randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import type {DemoPlatform} from './DemoPlatform.ts';
import type {DemoScene} from './DemoSteps.ts';
import type {EntryChild} from './EntryChild.ts';

import {DEMO_CATALOGUE} from './DemoCatalogue.ts';
import {startPlatform} from './DemoPlatform.ts';
import {
  applyCatalogue,
  drainWorker,
  runDigests,
  sendRequest,
  sendTwice,
  stopEntry,
} from './DemoSteps.ts';
import {expect, tell} from './DemoUtils.ts';
import {startEntry} from './EntryChild.ts';
import {operate} from './Operator.ts';

const DATA_CENTRES = ['dc-a', 'dc-b'] as const;

function createEnvironment(): NodeJS.ProcessEnv {
  return {
    ...process.env,
    NUTMEGPROXY_PEER_SECRET: randomBytes(32).toString('hex'),
    NUTMEGPROXY_TOKEN: randomBytes(32).toString('hex'),
  };
}

async function startEntries(
  platform: DemoPlatform,
  environment: NodeJS.ProcessEnv,
  folder: string,
): Promise<DemoScene['entries']> {
  const [dcA, dcB] = DATA_CENTRES;
  const common = {environment, folder, platform};
  const first = await startEntry({...common, dataCentre: dcA, seeds: [], vm: 'entry-1'});
  const seeds = [first.peers];
  const second = await startEntry({...common, dataCentre: dcA, seeds, vm: 'entry-2'});
  const third = await startEntry({...common, dataCentre: dcB, seeds, vm: 'entry-3'});
  for (const {callers, operators, vm} of [first, second, third]) {
    tell(`${vm}: callers ${callers}, operators ${operators}`);
  }
  return [first, second, third];
}

async function runSteps(scene: DemoScene, folder: string): Promise<void> {
  const path = join(folder, 'catalogue.json');
  writeFileSync(path, JSON.stringify(DEMO_CATALOGUE, undefined, 2));
  await applyCatalogue(scene, path);
  await sendRequest(scene);
  await sendTwice(scene);
  await runDigests(scene);
  await drainWorker(scene, 'worker-dc-a-1');
  await operate(['tasks'], scene.environment);
  await stopEntry(scene);
  await operate(['status'], scene.environment);
}

async function endEntries(entries: readonly EntryChild[]): Promise<void> {
  for (const entry of entries) {
    entry.terminate();
  }
  for (const {exited, vm} of entries) {
    const code = await exited;
    tell(`${vm} has ended with ${code}`);
    expect(code === 0, `${vm} ends with 0`);
  }
}

async function run(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'nutmegproxy-demo-'));
  const platform = await startPlatform(DATA_CENTRES);
  const environment = createEnvironment();
  try {
    const entries = await startEntries(platform, environment, folder);
    const [first, second, third] = entries;
    const withServer = {...environment, NUTMEGPROXY_SERVER: first.operators};
    try {
      await runSteps({entries, environment: withServer, platform}, folder);
      await endEntries([first, third]);
      tell('the demo is complete');
    } catch (error) {
      for (const entry of [first, second, third]) {
        entry.kill();
      }
      throw error;
    }
  } finally {
    await platform.close();
    rmSync(folder, {recursive: true});
  }
}

run().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
});
