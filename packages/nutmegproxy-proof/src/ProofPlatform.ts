/** The platform of a proof: stand-ins in this process, on free ports of the loopback address. */

import type {Resources, Vm} from '@nutmegproxy/schema';
import type {Standin} from '@nutmegproxy/standins';

import {
  MinionServer,
  StoreServer,
  TcpRelay,
  VmListServer,
  WorkerServer,
} from '@nutmegproxy/standins';

import type {History} from './History.ts';

import {readAttemptRuns, readMinionRuns} from './StandinHistory.ts';

export const PROOF_DATA_CENTRE = 'dc1';

/** How many stand-ins to start and what each holds. */
export interface PlatformSize {
  readonly minions: number;
  readonly slots: number;
  readonly workerCpu: number;
  readonly workers: number;
}

/** The part of a history that the platform knows. */
export type PlatformHistory = Pick<History, 'attempts' | 'minionRuns' | 'minions' | 'workers'>;

const CONNECTIONS = 64;
const MEMORY_MB = 60_000;

function toAddress({port}: Standin): string {
  return `127.0.0.1:${port}`;
}

export class ProofPlatform {
  readonly #closers: Standin[] = [];
  readonly list = new VmListServer();
  readonly minions = new Map<string, MinionServer>();
  readonly #size: PlatformSize;
  readonly store = new StoreServer();
  #storePort = 0;
  #vmListUrl = '';
  readonly workers = new Map<string, WorkerServer>();

  constructor(size: PlatformSize) {
    this.#size = size;
  }

  get vmListUrl(): string {
    return this.#vmListUrl;
  }

  async close(): Promise<void> {
    await Promise.all(this.#closers.map((standin) => standin.close()));
  }

  async start(): Promise<void> {
    this.#storePort = (await this.#keep(this.store.start())).port;
    this.#vmListUrl = `http://${toAddress(await this.#keep(this.list.start()))}`;
    const vms: Vm[] = [];
    for (let index = 1; index <= this.#size.minions; index += 1) {
      vms.push(await this.#startMinion(`minion-${index}`));
    }
    for (let index = 1; index <= this.#size.workers; index += 1) {
      vms.push(await this.#startWorker(`worker-${index}`));
    }
    this.list.control({vms});
  }

  /** A way to the store that can be cut for one entry VM. */
  async openStoreRelay(): Promise<{readonly relay: TcpRelay; readonly url: string}> {
    const relay = new TcpRelay({host: '127.0.0.1', port: this.#storePort});
    const standin = await this.#keep(relay.start());
    return {relay, url: `http://${toAddress(standin)}`};
  }

  /** What the minions and workers saw since the start; a request is named by the end of its path. */
  read(declared: ReadonlyMap<string, Resources>): PlatformHistory {
    const minions = [...this.minions.keys()].map((minion) => ({minion, slots: this.#size.slots}));
    const minionRuns = [...this.minions].flatMap(([minion, {history}]) => {
      const named = history.map((each) => ({...each, request: each.path.split('/').at(-1) ?? ''}));
      return readMinionRuns(minion, named);
    });
    const workers = [...this.workers.keys()].map((worker) => ({
      capacity: this.#capacity(),
      worker,
    }));
    const attempts = [...this.workers.values()].flatMap(({model}) =>
      readAttemptRuns(model.history, declared),
    );
    return structuredClone({attempts, minionRuns, minions, workers});
  }

  #capacity() {
    return {accelerators: 0, cpu: this.#size.workerCpu, memoryMb: MEMORY_MB};
  }

  async #keep<Started extends Standin>(starting: Promise<Started>): Promise<Started> {
    const standin = await starting;
    this.#closers.push(standin);
    return standin;
  }

  async #startMinion(id: string): Promise<Vm> {
    const limits = {connections: CONNECTIONS, slots: this.#size.slots};
    const server = new MinionServer(limits);
    this.minions.set(id, server);
    const address = toAddress(await this.#keep(server.start()));
    const dataCentre = PROOF_DATA_CENTRE;
    return {address, dataCentre, id, role: 'minion', service: 'mesa', state: 'live', ...limits};
  }

  async #startWorker(id: string): Promise<Vm> {
    const capacity = this.#capacity();
    const server = new WorkerServer(id, capacity);
    this.workers.set(id, server);
    const address = toAddress(await this.#keep(server.start()));
    const dataCentre = PROOF_DATA_CENTRE;
    return {address, capacity, dataCentre, id, rack: 'rack-1', role: 'worker', state: 'live'};
  }
}
