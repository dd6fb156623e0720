/** Processes and stand-ins of the task experiment: entry VMs, a store, a VM list and workers. */

import type {Vm} from '@nutmegproxy/schema';
import type {Standin} from '@nutmegproxy/standins';

import {ProcessGroup} from '@nutmegproxy/proof';
import {StoreServer, VmListServer, WorkerServer} from '@nutmegproxy/standins';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

import {createWorkloadCatalogue} from './TaskWorkload.ts';

export const WORKERS = 15;
export const WORKER_CAPACITY = {accelerators: 0, cpu: 16, memoryMb: 60_000};
const RACKS = 3;
const ENTRY_VMS = 2;
const USAGE_LAG_MS = 500;
const DATA_CENTRE = 'dc1';
const OPERATOR_TOKEN = 'load-operator-token-0123456789abcdef';
const PEER_SECRET = 'load-peer-secret-0123456789abcdef0123';
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const READY_LINE = /callers=(\d+) operators=(\d+) peers=(\d+)/;

/** Names of the policies that a run compares. */
export interface PolicyNames {
  readonly laneOrder: string;
  readonly placement: string;
}

async function waitFor(description: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!(await condition().catch(() => false))) {
    if (Date.now() > deadline) {
      throw new Error(`timed out waiting until ${description}`);
    }
    await sleep(POLL_MS);
  }
}

async function sendRequest(method: 'GET' | 'POST', url: string, body?: unknown): Promise<number> {
  const response = await request(url, {
    ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json'},
    method,
  });
  await response.body.dump();
  return response.statusCode;
}

export class TaskPlatform {
  readonly callerUrls: string[] = [];
  readonly #standins: Standin[] = [];
  readonly #group = new ProcessGroup();
  readonly workers = new Map<string, WorkerServer>();

  async close(): Promise<void> {
    await this.#group.close();
    await Promise.all(this.#standins.map((standin) => standin.close()));
  }

  /** Starts all processes and waits until the entry VMs are ready for callers. */
  async start(policies: PolicyNames): Promise<void> {
    const store = `http://${await this.#addStandin(new StoreServer().start())}`;
    const list = new VmListServer();
    const vmList = `http://${await this.#addStandin(list.start())}`;
    const vms: Vm[] = [];
    for (let index = 0; index < WORKERS; index += 1) {
      vms.push(await this.#startWorker(`worker-${index}`, `rack-${index % RACKS}`));
    }
    list.control({vms});
    const operators: string[] = [];
    const seeds: string[] = [];
    for (let index = 1; index <= ENTRY_VMS; index += 1) {
      const settings = this.#writeSettings(`e${index}`, {policies, seeds, store, vmList});
      const child = await this.#group.start({
        args: ['serve', '--settings', settings],
        env: {NUTMEGPROXY_PEER_SECRET: PEER_SECRET, NUTMEGPROXY_TOKEN: OPERATOR_TOKEN},
        name: `e${index}`,
        program: 'dist/cli.cjs',
      });
      const ports = READY_LINE.exec(child.readyMessage)?.slice(1) ?? [];
      const [callerAddress = '', operatorAddress = '', peerAddress = ''] = ports.map(
        (port) => `127.0.0.1:${port}`,
      );
      this.callerUrls.push(`http://${callerAddress}`);
      operators.push(`http://${operatorAddress}`);
      seeds.push(peerAddress);
    }
    await this.#applyCatalogue(operators[0] ?? '');
  }

  async #applyCatalogue(operator: string): Promise<void> {
    const body = {catalogue: createWorkloadCatalogue(), expectedRevision: 0};
    await waitFor('the catalogue is accepted', async () => {
      return (await sendRequest('POST', `${operator}/v1/catalogue`, body)) === 200;
    });
    for (const callerUrl of this.callerUrls) {
      await waitFor('an entry VM is ready', async () => {
        return (await sendRequest('GET', `${callerUrl}/health/ready`)) === 200;
      });
    }
  }

  async #addStandin(starting: Promise<Standin>): Promise<string> {
    const standin = await starting;
    this.#standins.push(standin);
    return `127.0.0.1:${standin.port}`;
  }

  async #startWorker(id: string, rack: string): Promise<Vm> {
    const server = new WorkerServer(id, WORKER_CAPACITY);
    server.control({usageLagMs: USAGE_LAG_MS});
    this.workers.set(id, server);
    const address = await this.#addStandin(server.start());
    const capacity = WORKER_CAPACITY;
    return {address, capacity, dataCentre: DATA_CENTRE, id, rack, role: 'worker', state: 'live'};
  }

  #writeSettings(
    vm: string,
    parts: {policies: PolicyNames; seeds: readonly string[]; store: string; vmList: string},
  ): string {
    const anyPort = '127.0.0.1:0';
    const settings = {
      dataCentre: DATA_CENTRE,
      listen: {callers: anyPort, operators: anyPort, peers: anyPort},
      log: {level: 'warn'},
      platform: {store: [parts.store], vmList: parts.vmList},
      policies: parts.policies,
      region: 'load',
      secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
      seeds: parts.seeds,
      timings: {
        heartbeatMs: 200,
        stopDelayMs: 300,
        taskLeaseMs: 4000,
        tenureTtlMs: 4000,
        vmListPollMs: 200,
        workerSyncMs: 200,
      },
      vm,
    };
    const path = join(mkdtempSync(join(tmpdir(), 'nutmegproxy-load-')), `${vm}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
