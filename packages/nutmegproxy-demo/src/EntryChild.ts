/** Starts the demo's entry VM processes with the same command that operators use. */

import type {ChildProcess} from 'node:child_process';

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

import type {DemoPlatform} from './DemoPlatform.ts';

import {CLI_PROGRAM, STOP_DELAY_MS} from './DemoConstants.ts';

const READY_LINE = /^ready callers=(\d+) operators=(\d+) peers=(\d+)$/;

export interface EntryPlan {
  readonly dataCentre: string;
  readonly environment: NodeJS.ProcessEnv;
  /** Directory for the settings file. */
  readonly folder: string;
  readonly platform: DemoPlatform;
  readonly seeds: readonly string[];
  readonly vm: string;
}

/** A running entry VM process with its addresses. */
export interface EntryChild {
  readonly callerUrl: string;
  /** Resolves to the exit code, or to -1 if a signal ended the process. */
  readonly exited: Promise<number>;
  /** Kills the process immediately; used after the demo has failed. */
  kill(): void;
  readonly operatorUrl: string;
  readonly peerAddress: string;
  terminate(): void;
  readonly vm: string;
}

function writeSettings({dataCentre, folder, platform, seeds, vm}: EntryPlan): string {
  const path = join(folder, `${vm}.jsonc`);
  const anyPort = '127.0.0.1:0';
  const settings = {
    dataCentre,
    listen: {callers: anyPort, operators: anyPort, peers: anyPort},
    log: {level: 'info'},
    platform: {store: [platform.store], vmList: platform.vmList},
    region: 'demo',
    secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
    seeds,
    timings: {stopDelayMs: STOP_DELAY_MS},
    vm,
  };
  writeFileSync(path, `// Settings of ${vm}.\n${JSON.stringify(settings, undefined, 2)}\n`);
  return path;
}

async function readReadyLine(child: ChildProcess): Promise<RegExpExecArray | undefined> {
  if (child.stdout === null) {
    return undefined;
  }
  for await (const line of createInterface({input: child.stdout})) {
    const match = READY_LINE.exec(line);
    if (match !== null) {
      return match;
    }
  }
  return undefined;
}

/** Starts an entry VM and waits for its ready line; rejects if the process exits first. */
export async function startEntry(plan: EntryPlan): Promise<EntryChild> {
  const path = writeSettings(plan);
  const child = spawn(process.execPath, [CLI_PROGRAM, 'serve', '--settings', path], {
    env: plan.environment,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit').then(([code]) => (typeof code === 'number' ? code : -1));
  const ready = await readReadyLine(child);
  if (ready === undefined) {
    throw new Error(`${plan.vm} exited before it was ready`);
  }
  // Discards further log output, so that the pipe does not fill up.
  child.stdout.resume();
  const [, callerPort = '', operatorPort = '', peerPort = ''] = ready;
  return {
    callerUrl: `http://127.0.0.1:${callerPort}`,
    exited,
    kill: () => {
      child.kill('SIGKILL');
    },
    operatorUrl: `http://127.0.0.1:${operatorPort}`,
    peerAddress: `127.0.0.1:${peerPort}`,
    terminate: () => {
      child.kill('SIGTERM');
    },
    vm: plan.vm,
  };
}
