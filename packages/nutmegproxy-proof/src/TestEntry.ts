/** An entry VM under test: its settings, its process, and calls to its operator API. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {request} from 'undici';

import type {ManagedProcess} from './ManagedProcess.ts';
import type {ProcessGroup} from './ProcessGroup.ts';
import type {TestPlatform} from './TestPlatform.ts';

import {DEFAULT_DATA_CENTRE} from './TestPlatform.ts';

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

interface EntryAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

/** Response of `GET /v1/catalogue`. */
export interface CatalogueResponse {
  readonly catalogue: unknown;
  readonly revision: number;
}

function parseAddresses(ready: string): EntryAddresses {
  const [, callers = '', operators = '', peers = ''] = READY_LINE.exec(ready) ?? [];
  return {
    callers: `http://127.0.0.1:${callers}`,
    operators: `http://127.0.0.1:${operators}`,
    peers: `127.0.0.1:${peers}`,
  };
}

/** One entry VM; its process can be restarted, and its connections go through the test network. */
export class TestEntry {
  /** Whether the load balancer sends callers to this VM; false during a planned stop. */
  isInRotation = true;
  readonly dataCentre: string;
  readonly #group: ProcessGroup;
  readonly #platform: TestPlatform;
  #addresses: EntryAddresses = {callers: '', operators: '', peers: ''};
  #process: ManagedProcess | undefined;
  readonly vm: string;

  constructor(
    vm: string,
    group: ProcessGroup,
    platform: TestPlatform,
    dataCentre = DEFAULT_DATA_CENTRE,
  ) {
    this.vm = vm;
    this.dataCentre = dataCentre;
    this.#group = group;
    this.#platform = platform;
  }

  get callerUrl(): string {
    return this.#addresses.callers;
  }

  get peerAddress(): string {
    return this.#addresses.peers;
  }

  get process(): ManagedProcess | undefined {
    return this.#process;
  }

  /** Starts a process, replacing one that has exited. */
  async start(seeds: readonly string[]): Promise<void> {
    const settings = this.#writeSettings(seeds);
    this.#process = await this.#group.start({
      args: ['serve', '--settings', settings],
      env: {
        ...this.#platform.network.createEnvironment(this.vm),
        NUTMEGPROXY_PEER_SECRET: PEER_SECRET,
        NUTMEGPROXY_TOKEN: OPERATOR_TOKEN,
      },
      name: this.vm,
      program: CLI_PROGRAM,
    });
    this.#addresses = parseAddresses(this.#process.readyMessage);
    this.isInRotation = true;
    this.#platform.network.assignPort(Number(this.peerAddress.split(':')[1]), this.vm);
    rmSync(dirname(settings), {recursive: true});
  }

  /** Whether the readiness endpoint responds with 200. */
  async isReady(): Promise<boolean> {
    const response = await request(`${this.callerUrl}/health/ready`, {reset: true}).catch(
      () => undefined,
    );
    await response?.body.dump();
    return response?.statusCode === 200;
  }

  /** Calls the operator API; returns undefined unless the status is 200. */
  async callOperatorApi(
    method: 'DELETE' | 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const response = await request(`${this.#addresses.operators}${path}`, {
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
      headers: {
        authorization: `Bearer ${OPERATOR_TOKEN}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      headersTimeout: 15_000,
      method,
      reset: true,
    }).catch(() => undefined);
    const text = await response?.body.text().catch(() => undefined);
    return response?.statusCode === 200 && text !== undefined ? JSON.parse(text) : undefined;
  }

  #writeSettings(seeds: readonly string[]): string {
    const anyPort = '127.0.0.1:0';
    const settings = {
      dataCentre: this.dataCentre,
      listen: {callers: anyPort, operators: anyPort, peers: anyPort},
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
