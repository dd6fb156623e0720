/** Runs the demo: three entry VMs in two data centres, with stand-ins for the platform. */

import {randomBytes} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import type {DemoPlatform} from './DemoPlatform.ts';
import type {DemoContext} from './DemoSteps.ts';
import type {EntryChild} from './EntryChild.ts';

import {DEMO_CATALOGUE} from './DemoCatalogue.ts';
import {startPlatform} from './DemoPlatform.ts';
import {
  applyCatalogue,
  drainWorker,
  runDigests,
  sendRequest,
  sendWithSameKey,
  stopEntry,
} from './DemoSteps.ts';
import {expect, printLine} from './DemoUtils.ts';
import {startEntry} from './EntryChild.ts';
import {runOperatorCommand} from './OperatorCommand.ts';

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
): Promise<DemoContext['entries']> {
  const [dcA, dcB] = DATA_CENTRES;
  const common = {environment, folder, platform};
  const first = await startEntry({...common, dataCentre: dcA, seeds: [], vm: 'entry-1'});
  const seeds = [first.peerAddress];
  const second = await startEntry({...common, dataCentre: dcA, seeds, vm: 'entry-2'});
  const third = await startEntry({...common, dataCentre: dcB, seeds, vm: 'entry-3'});
  for (const {callerUrl: callerUrl, operatorUrl: operatorUrl, vm} of [first, second, third]) {
    printLine(`${vm}: callers ${callerUrl}, operators ${operatorUrl}`);
  }
  return [first, second, third];
}

async function runSteps(context: DemoContext, folder: string): Promise<void> {
  const path = join(folder, 'catalogue.json');
  writeFileSync(path, JSON.stringify(DEMO_CATALOGUE, undefined, 2));
  await applyCatalogue(context, path);
  await sendRequest(context);
  await sendWithSameKey(context);
  await runDigests(context);
  await drainWorker(context, 'worker-dc-a-1');
  await runOperatorCommand(['tasks'], context.environment);
  await stopEntry(context);
  await runOperatorCommand(['status'], context.environment);
}

async function stopEntries(entries: readonly EntryChild[]): Promise<void> {
  for (const entry of entries) {
    entry.terminate();
  }
  for (const {exited, vm} of entries) {
    const code = await exited;
    printLine(`${vm} exited with code ${code}`);
    expect(code === 0, `${vm} exits with code 0`);
  }
}

async function run(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'nutmegproxy-demo-'));
  const platform = await startPlatform(DATA_CENTRES);
  const environment = createEnvironment();
  try {
    const entries = await startEntries(platform, environment, folder);
    const [first, second, third] = entries;
    const withServer = {...environment, NUTMEGPROXY_SERVER: first.operatorUrl};
    try {
      await runSteps({entries, environment: withServer, platform}, folder);
      await stopEntries([first, third]);
      printLine('the demo is complete');
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
