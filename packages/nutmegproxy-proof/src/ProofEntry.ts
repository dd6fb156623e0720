/** An entry VM of a proof: settings, process and the calls that operators and callers make. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {request} from 'undici';

import type {ManagedProcess} from './ManagedProcess.ts';
import type {ProcessGroup} from './ProcessGroup.ts';
import type {ProofPlatform} from './ProofPlatform.ts';

import {PROOF_DATA_CENTRE} from './ProofPlatform.ts';

const CLI_PROGRAM = 'dist/cli.cjs';
const OPERATOR_TOKEN = 'proof-operator-token-0123456789abcdef';
const PEER_SECRET = 'proof-peer-secret-0123456789abcdef01';
const READY_LINE = /^callers=(\d+) operators=(\d+) peers=(\d+)$/;
const TIMINGS = {
  heartbeatMs: 200,
  stopDelayMs: 300,
  taskLeaseMs: 2_500,
  tenureTtlMs: 2_500,
  vmListPollMs: 200,
  workerSyncMs: 200,
};

interface EntryPorts {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

/** What `GET /v1/catalogue` shows. */
export interface CatalogueAnswer {
  readonly catalogue: unknown;
  readonly revision: number;
}

function readPorts(ready: string): EntryPorts {
  const [, callers = '', operators = '', peers = ''] = READY_LINE.exec(ready) ?? [];
  return {
    callers: `http://127.0.0.1:${callers}`,
    operators: `http://127.0.0.1:${operators}`,
    peers: `127.0.0.1:${peers}`,
  };
}

/** One entry VM; its process can be replaced, and its connections run through the network. */
export class ProofEntry {
  /** Whether the balancer sends callers here; it takes a VM out that stops as planned. */
  balanced = true;
  readonly dataCentre: string;
  readonly #group: ProcessGroup;
  readonly #platform: ProofPlatform;
  #ports: EntryPorts = {callers: '', operators: '', peers: ''};
  #process: ManagedProcess | undefined;
  readonly vm: string;

  constructor(
    vm: string,
    group: ProcessGroup,
    platform: ProofPlatform,
    dataCentre = PROOF_DATA_CENTRE,
  ) {
    this.vm = vm;
    this.dataCentre = dataCentre;
    this.#group = group;
    this.#platform = platform;
  }

  get callers(): string {
    return this.#ports.callers;
  }

  get peers(): string {
    return this.#ports.peers;
  }

  get process(): ManagedProcess | undefined {
    return this.#process;
  }

  /** Starts a process, also in place of one that has ended. */
  async start(seeds: readonly string[]): Promise<void> {
    const settings = this.#writeSettings(seeds);
    this.#process = await this.#group.start({
      args: ['serve', '--settings', settings],
      env: {
        ...this.#platform.network.environment(this.vm),
        NUTMEGPROXY_PEER_SECRET: PEER_SECRET,
        NUTMEGPROXY_TOKEN: OPERATOR_TOKEN,
      },
      name: this.vm,
      program: CLI_PROGRAM,
    });
    this.#ports = readPorts(this.#process.ready);
    this.balanced = true;
    this.#platform.network.name(Number(this.peers.split(':')[1]), this.vm);
    rmSync(dirname(settings), {recursive: true});
  }

  /** Whether the process says that it takes callers. */
  async isReady(): Promise<boolean> {
    const answer = await request(`${this.callers}/health/ready`, {reset: true}).catch(
      () => undefined,
    );
    await answer?.body.dump();
    return answer?.statusCode === 200;
  }

  /** Sends an operator's call; undefined when it wasn't answered with 200. */
  async operate(method: 'DELETE' | 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
    const answer = await request(`${this.#ports.operators}${path}`, {
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
      headers: {
        authorization: `Bearer ${OPERATOR_TOKEN}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      headersTimeout: 15_000,
      method,
      reset: true,
    }).catch(() => undefined);
    const text = await answer?.body.text().catch(() => undefined);
    return answer?.statusCode === 200 && text !== undefined ? JSON.parse(text) : undefined;
  }

  #writeSettings(seeds: readonly string[]): string {
    const any = '127.0.0.1:0';
    const settings = {
      dataCentre: this.dataCentre,
      listen: {callers: any, operators: any, peers: any},
      log: {level: 'warn'},
      platform: {store: [this.#platform.storeUrl], vmList: this.#platform.vmListUrl},
      region: 'proof',
      secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
      seeds,
      timings: TIMINGS,
      vm: this.vm,
    };
    const path = join(mkdtempSync(join(tmpdir(), 'nutmegproxy-proof-')), `${this.vm}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
