/** An entry VM process of a load run. */

import type {ManagedProcess, ProcessGroup} from '@nutmegproxy/proof';
import type {Catalogue, Policies, Settings} from '@nutmegproxy/schema';

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {request} from 'undici';

import {CLI_PROGRAM, LOAD_DATA_CENTRE} from './LoadConstants.ts';

const OPERATOR_TOKEN = 'load-operator-token-0123456789abcdef';
const PEER_SECRET = 'load-peer-secret-0123456789abcdef012';
const READY_LINE = /^callers=(\d+) operators=(\d+) peers=(\d+)$/;
const SLOTS_METRIC = /^nutmegproxy_requests_slots_count\{state="share"\} (\d+)/m;

/** Settings for starting an entry VM. */
export interface EntryPlan {
  readonly listUrl: string;
  readonly policies: Policies;
  readonly seeds: readonly string[];
  readonly storeUrl: string;
}

export class LoadEntry {
  callerUrl = '';
  readonly #group: ProcessGroup;
  #operatorUrl = '';
  peerAddress = '';
  #process: ManagedProcess | undefined;
  readonly vm: string;

  constructor(vm: string, group: ProcessGroup) {
    this.vm = vm;
    this.#group = group;
  }

  get process(): ManagedProcess | undefined {
    return this.#process;
  }

  /** Replaces the catalogue; returns false if the VM does not accept it. */
  async applyCatalogue(catalogue: Catalogue): Promise<boolean> {
    const response = await request(`${this.#operatorUrl}/v1/catalogue`, {
      body: JSON.stringify({catalogue, expectedRevision: 0}),
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json'},
      method: 'POST',
      reset: true,
    }).catch(() => undefined);
    await response?.body.dump();
    return response?.statusCode === 200;
  }

  /** Returns the number of slots in this VM's shares of all minions, or 0 if it is unknown. */
  async countSlots(): Promise<number> {
    const response = await request(`${this.#operatorUrl}/metrics`, {
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
      reset: true,
    }).catch(() => undefined);
    const text = (await response?.body.text().catch(() => '')) ?? '';
    return Number(SLOTS_METRIC.exec(text)?.[1] ?? 0);
  }

  async isReady(): Promise<boolean> {
    const response = await request(`${this.callerUrl}/health/ready`, {reset: true}).catch(
      () => undefined,
    );
    await response?.body.dump().catch(() => undefined);
    return response?.statusCode === 200;
  }

  async start(plan: EntryPlan): Promise<void> {
    const path = this.#writeSettings(plan);
    this.#process = await this.#group.start({
      args: ['serve', '--settings', path],
      env: {NUTMEGPROXY_PEER_SECRET: PEER_SECRET, NUTMEGPROXY_TOKEN: OPERATOR_TOKEN},
      name: this.vm,
      program: CLI_PROGRAM,
    });
    const [, callerPort = '', operatorPort = '', peerPort = ''] =
      READY_LINE.exec(this.#process.readyMessage) ?? [];
    this.callerUrl = `http://127.0.0.1:${callerPort}`;
    this.#operatorUrl = `http://127.0.0.1:${operatorPort}`;
    this.peerAddress = `127.0.0.1:${peerPort}`;
    rmSync(dirname(path), {recursive: true});
  }

  #writeSettings({listUrl, policies, seeds, storeUrl}: EntryPlan): string {
    const anyPort = '127.0.0.1:0';
    const settings: Settings = {
      dataCentre: LOAD_DATA_CENTRE,
      listen: {callers: anyPort, operators: anyPort, peers: anyPort},
      log: {level: 'error'},
      platform: {store: [storeUrl], vmList: listUrl},
      policies,
      region: 'load',
      secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
      seeds: [...seeds],
      timings: {stopDelayMs: 1000, vmListPollMs: 500},
      vm: this.vm,
    };
    const path = join(mkdtempSync(join(tmpdir(), 'nutmegproxy-load-')), `${this.vm}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    return path;
  }
}
