/** Runs the requests feature with in-process fakes of its dependencies. */

import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {EntryId, Instant, MinionId, NodeIdentity, TeamId} from '@nutmegproxy/core';
import type {Allotment, Membership} from '@nutmegproxy/membership';
import type {Entry, Settings, Team, Vm} from '@nutmegproxy/schema';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDirectory} from '@nutmegproxy/workers';
import type {AddressInfo, Socket} from 'node:net';

import {CATALOGUE_CHANGED} from '@nutmegproxy/catalogue';
import {brand, CommandBus, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {once} from 'node:events';
import {connect, createServer, type Server} from 'node:net';
import {Registry} from 'prom-client';

import type {Requests, SlotLoans} from '../../index.ts';

import {registerRequests} from '../../index.ts';

const WAIT_TIMEOUT_MS = 5000;

/** Handles each complete request to a fake minion. */
export type MinionScript = (socket: Socket, request: string) => void;

/**
 * A loopback address used by this process only. Other test processes reconnect to ports that their
 * servers have closed; a server here may get such a port and would receive their requests.
 */
const PROCESS_ADDRESS = `127.${64 + ((process.pid >> 16) % 64)}.${(process.pid >> 8) % 256}.${process.pid % 256}`;

/** A fake minion whose script writes the raw bytes of each HTTP response. */
export class FakeMinion {
  address = '';
  /** Complete requests in order of arrival, over all connections. */
  readonly arrivals: string[] = [];
  connections = 0;
  connectionsMax = 0;
  readonly id: MinionId;
  running = 0;
  runningMax = 0;
  script: MinionScript;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(id: string, script: MinionScript, allowHalfOpen = false) {
    this.id = brand<MinionId>(id);
    this.script = script;
    this.#server = createServer({allowHalfOpen}, (socket) => {
      this.#accept(socket);
    });
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async listen(): Promise<void> {
    this.#server.listen(0, PROCESS_ADDRESS);
    await once(this.#server, 'listening');
    this.address = `${PROCESS_ADDRESS}:${(this.#server.address() as AddressInfo).port}`;
  }

  sockets(): readonly Socket[] {
    return [...this.#sockets];
  }

  #accept(socket: Socket): void {
    let text = '';
    this.#sockets.add(socket);
    this.connections += 1;
    this.connectionsMax = Math.max(this.connectionsMax, this.connections);
    socket.on('error', () => undefined);
    let isCounted = true;
    const countClosed = (): void => {
      this.connections -= isCounted ? 1 : 0;
      isCounted = false;
    };
    // The minion has finished with a connection once it has closed its write side.
    socket.on('finish', countClosed);
    socket.on('close', () => {
      this.#sockets.delete(socket);
      countClosed();
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const end = findRequestEnd(text);
      if (end === undefined) {
        return;
      }
      const request = text.slice(0, end);
      text = text.slice(end);
      this.arrivals.push(request);
      this.script(socket, request);
    });
  }
}

function findRequestEnd(text: string): number | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
  }
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
  const end = headEnd + 4 + length;
  return text.length >= end ? end : undefined;
}

/** Responds with status 200 and a body. */
export function respondWith(body: string, headers = ''): MinionScript {
  return (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`);
  };
}

/** Sends the first `bytes` bytes of a response, then resets or closes the connection. */
export function respondPartially(
  text: string,
  bytes: number,
  ending: 'end' | 'reset',
): MinionScript {
  return (socket) => {
    socket.write(text.slice(0, bytes), () => {
      if (ending === 'end') {
        socket.end();
        return;
      }
      // The delay prevents that the reset overtakes the bytes before it.
      setTimeout(() => socket.resetAndDestroy(), 10);
    });
  };
}

export interface HarnessOptions {
  readonly entries?: readonly Entry[];
  readonly loans?: SlotLoans;
  readonly minions: readonly FakeMinion[];
  readonly policies?: Record<string, string>;
  readonly revision?: number;
  readonly shares?: number;
  readonly stopDelayMs?: number;
  readonly store?: PlatformStore;
  readonly teams?: readonly Team[];
}

export const ALERTS: Entry = {
  class: 'latency-critical',
  id: 'alerts',
  kind: 'request',
  limits: {timeoutMs: 4000},
  owner: 'oportuna',
  service: 'mesa',
};
export const PROOFS: Entry = {...ALERTS, id: 'proofs', idempotent: true};

/** The requests feature with fakes of all dependencies. */
export class RequestsHarness {
  readonly bus = new CommandBus();
  readonly drained = new Set<string>();
  readonly identity: NodeIdentity = {
    dataCentre: brand('dc-1'),
    incarnation: brand('vm-1.1'),
    region: brand('region-1'),
    vm: brand('vm-1'),
  };
  readonly leaving = new Set<string>();
  readonly metrics = new Registry();
  port = 0;
  readonly requests: Requests;
  share: number;
  hasTenure = true;
  readonly #minions: readonly FakeMinion[];
  readonly #view: CatalogueView;

  constructor(options: HarnessOptions) {
    const {loans} = options;
    this.#minions = options.minions;
    this.#view = this.#createView(options);
    this.share = options.shares ?? 4;
    const node = {
      bus: this.bus,
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      identity: this.identity,
      metrics: this.metrics,
    };
    this.requests = registerRequests(node, {
      catalogue: {current: () => this.#view},
      directory: this.#createDirectory(),
      membership: this.#createMembership(),
      ...(loans === undefined ? {} : {registerLoans: () => ({loans, unregister: () => undefined})}),
      seed: 1,
      settings: createSettings(options),
      store: options.store ?? ({} as PlatformStore),
    });
  }

  close(): void {
    this.requests.unregister();
    this.#minions.forEach((minion) => {
      minion.close();
    });
  }

  /** Returns the number of caller requests without a complete response. */
  countOpenRequests(): number {
    return this.requests.countOpenRequests();
  }

  /** Sets the drained minions and reports a catalogue change. */
  drain(...minions: string[]): void {
    this.drained.clear();
    minions.forEach((minion) => this.drained.add(`minion ${minion}`));
    this.bus.dispatch(CATALOGUE_CHANGED, this.#view);
  }

  url(path: string): string {
    return `http://127.0.0.1:${this.port}${path}`;
  }

  #createDirectory(): VmDirectory {
    const toVm = (minion: FakeMinion): Vm => ({
      address: minion.address,
      connections: 64,
      dataCentre: 'dc-1',
      id: minion.id,
      role: 'minion',
      service: 'mesa',
      slots: 8,
      state: this.leaving.has(minion.id) ? 'leaving' : 'live',
    });
    return {
      markLeaving: (vm) => {
        this.leaving.add(vm);
      },
      vm: (id) => this.#minions.map(toVm).find((each) => each.id === id),
      vms: () => this.#minions.map(toVm),
    };
  }

  #createMembership(): Membership {
    const {dataCentre, incarnation, vm} = this.identity;
    const allotment: Allotment = {
      cells: new Map(),
      dataCentre,
      epoch: 1,
      members: new Map([[incarnation, {incarnation, peerAddress: '127.0.0.1:1', vm}]]),
      minions: new Map(
        this.#minions.map(({id}) => [
          id,
          {minion: id, shares: new Map([[incarnation, this.share]]), slots: 8},
        ]),
      ),
      modRevision: 1,
    };
    return {
      allotment: () => allotment,
      holdsTenure: () => this.hasTenure,
      ownShare: () => this.share,
      tenureExpiresAt: () => Infinity as Instant,
    };
  }

  #createView({
    entries = [ALERTS, PROOFS],
    revision = 1,
    teams = [],
  }: HarnessOptions): CatalogueView {
    return {
      entries: new Map(entries.map((entry) => [brand<EntryId>(entry.id), entry])),
      isDrained: (target, id) => this.drained.has(`${target} ${id}`),
      revision,
      stoppedVms: new Set(),
      teams: new Map(teams.map((team) => [brand<TeamId>(team.id), team])),
    };
  }
}

function createSettings({policies = {}, stopDelayMs = 0}: HarnessOptions): Settings {
  return {
    dataCentre: 'dc-1',
    listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'},
    platform: {store: ['http://127.0.0.1:1'], vmList: 'http://127.0.0.1:1'},
    policies,
    region: 'region-1',
    secrets: {operator: {env: 'A'}, peer: {env: 'B'}},
    timings: {stopDelayMs},
    vm: 'vm-1',
  };
}

/** Starts the feature and its minions, runs `body`, and closes everything afterwards. */
export async function withHarness(
  options: HarnessOptions,
  body: (harness: RequestsHarness) => Promise<void>,
): Promise<void> {
  await Promise.all(options.minions.map((minion) => minion.listen()));
  const harness = new RequestsHarness(options);
  try {
    const listening = await harness.requests.listen();
    harness.port = listening._unsafeUnwrap().port;
    await body(harness);
  } finally {
    harness.close();
  }
}

/** Polls `condition` until it is true; throws after `WAIT_TIMEOUT_MS`. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > deadline) {
      throw new Error('the condition was not met in time');
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Sends raw bytes and returns the bytes received until the connection closes. */
export async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk) => (received += chunk.toString()));
  socket.on('error', () => undefined);
  socket.write(text);
  await once(socket, 'close');
  return received;
}
