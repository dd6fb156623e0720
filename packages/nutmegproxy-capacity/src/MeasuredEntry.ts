/** An entry VM with default timings whose connections to the platform pass through counting relays. */

import type {ProcessGroup} from '@nutmegproxy/proof';
import type {RelayBytes, TcpRelay} from '@nutmegproxy/standins';

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {request} from 'undici';

import type {ProcessUsage} from './ProcessUsage.ts';

import {CLI_PROGRAM, OPERATOR_TOKEN, PEER_SECRET} from './CapacityConstants.ts';
import {readUsage} from './ProcessUsage.ts';

/** The address of a stand-in behind a relay that counts bytes. */
export interface CountedEndpoint {
  readonly relay: TcpRelay;
  readonly url: string;
}

export interface EntryPlan {
  readonly dataCentre: string;
  readonly list: CountedEndpoint;
  readonly store: CountedEndpoint;
  readonly vm: string;
}

/** Totals of one entry VM since its start. */
export interface EntryTotals extends ProcessUsage {
  readonly list: RelayBytes;
  readonly store: RelayBytes;
}

const READY_LINE = /^callers=(\d+) operators=(\d+) peers=(\d+)$/;

function writeSettings({dataCentre, list, store, vm}: EntryPlan, seeds: readonly string[]): string {
  const anyPort = '127.0.0.1:0';
  const settings = {
    dataCentre,
    listen: {callers: anyPort, operators: anyPort, peers: anyPort},
    log: {level: 'warn'},
    platform: {store: [store.url], vmList: list.url},
    region: 'capacity',
    secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
    seeds,
    vm,
  };
  const path = join(mkdtempSync(join(tmpdir(), 'nutmegproxy-capacity-')), `${vm}.jsonc`);
  writeFileSync(path, JSON.stringify(settings));
  return path;
}

export class MeasuredEntry {
  readonly #callerUrl: string;
  readonly #operatorUrl: string;
  readonly peerAddress: string;
  readonly #pid: number;
  readonly #plan: EntryPlan;

  private constructor(plan: EntryPlan, pid: number, ready: string) {
    const [, callerPort = '', operatorPort = '', peerPort = ''] = READY_LINE.exec(ready) ?? [];
    this.#callerUrl = `http://127.0.0.1:${callerPort}`;
    this.#operatorUrl = `http://127.0.0.1:${operatorPort}`;
    this.peerAddress = `127.0.0.1:${peerPort}`;
    this.#pid = pid;
    this.#plan = plan;
  }

  static async start(
    group: ProcessGroup,
    plan: EntryPlan,
    seeds: readonly string[],
  ): Promise<MeasuredEntry> {
    const settings = writeSettings(plan, seeds);
    const child = await group.start({
      args: ['serve', '--settings', settings],
      env: {NUTMEGPROXY_PEER_SECRET: PEER_SECRET, NUTMEGPROXY_TOKEN: OPERATOR_TOKEN},
      name: plan.vm,
      program: CLI_PROGRAM,
    });
    rmSync(dirname(settings), {recursive: true});
    return new MeasuredEntry(plan, child.pid ?? 0, child.readyMessage);
  }

  get totals(): EntryTotals {
    const {list, store} = this.#plan;
    return {...readUsage(this.#pid), list: {...list.relay.bytes}, store: {...store.relay.bytes}};
  }

  /** Calls the operator API; returns the status and the parsed response body. */
  async callOperatorApi(method: 'GET' | 'POST', path: string, body?: unknown) {
    const response = await request(`${this.#operatorUrl}${path}`, {
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
      headers: {
        authorization: `Bearer ${OPERATOR_TOKEN}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      method,
      reset: true,
    });
    return {body: await response.body.json(), status: response.statusCode};
  }

  async isReady(): Promise<boolean> {
    const response = await request(`${this.#callerUrl}/health/ready`, {reset: true});
    await response.body.dump();
    return response.statusCode === 200;
  }

  /** Submits a job; returns whether it was accepted. */
  async submit(entry: string, count: number, workMs: number): Promise<boolean> {
    const input = JSON.stringify({cpu: 0.1, workMs});
    const response = await request(`${this.#callerUrl}/tasks`, {
      body: JSON.stringify({count, entry, input}),
      headers: {'content-type': 'application/json'},
      method: 'POST',
      reset: true,
    });
    await response.body.dump();
    return response.statusCode === 201;
  }
}
