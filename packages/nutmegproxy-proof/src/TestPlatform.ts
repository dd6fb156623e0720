/** The platform of a test: stand-ins in this process, on free ports of the loopback address. */

import type {Resources, Vm} from '@nutmegproxy/schema';
import type {Standin} from '@nutmegproxy/standins';

import {MinionServer, StoreServer, VmListServer, WorkerServer} from '@nutmegproxy/standins';

import type {History} from './History.ts';

import {readAttemptRuns, readMinionRuns} from './StandinHistory.ts';
import {TestNetwork} from './TestNetwork.ts';

export const DEFAULT_DATA_CENTRE = 'dc1';

/** Number of stand-ins in each data centre and their capacity. */
export interface PlatformSize {
  /** Default: only `dc1`. */
  readonly dataCentres?: readonly string[];
  readonly minions: number;
  readonly slots: number;
  readonly workerCpu: number;
  readonly workers: number;
}

/** The part of a history that the stand-ins record. */
export type PlatformHistory = Pick<History, 'attempts' | 'minionRuns' | 'minions' | 'workers'>;

const MAX_CONNECTIONS = 64;
const MEMORY_MB = 60_000;

function formatAddress({port}: Standin): string {
  return `127.0.0.1:${port}`;
}

export class TestPlatform {
  readonly #standins: Standin[] = [];
  readonly vmList = new VmListServer();
  readonly minions = new Map<string, MinionServer>();
  readonly network = new TestNetwork();
  readonly #size: PlatformSize;
  readonly store = new StoreServer();
  #storeUrl = '';
  #vmListUrl = '';
  #vms: readonly Vm[] = [];
  readonly workers = new Map<string, WorkerServer>();

  constructor(size: PlatformSize) {
    this.#size = size;
  }

  get storeUrl(): string {
    return this.#storeUrl;
  }

  get vmListUrl(): string {
    return this.#vmListUrl;
  }

  async close(): Promise<void> {
    await this.network.close();
    await Promise.all(this.#standins.map((standin) => standin.close()));
  }

  async start(): Promise<void> {
    await this.network.start();
    this.#storeUrl = `http://${await this.#addStandin('store', this.store.start())}`;
    this.#vmListUrl = `http://${await this.#addStandin('vm-list', this.vmList.start())}`;
    const vms: Vm[] = [];
    for (const dataCentre of this.#size.dataCentres ?? [DEFAULT_DATA_CENTRE]) {
      for (let index = 1; index <= this.#size.minions; index += 1) {
        vms.push(await this.#startMinion(`${dataCentre}-minion-${index}`, dataCentre));
      }
      for (let index = 1; index <= this.#size.workers; index += 1) {
        vms.push(await this.#startWorker(`${dataCentre}-worker-${index}`, dataCentre));
      }
    }
    this.#vms = vms;
    this.vmList.control({vms});
  }

  /** Sets the state of one VM in the VM list. */
  setVmState(id: string, state: Vm['state']): void {
    this.#vms = this.#vms.map((vm) => (vm.id === id ? {...vm, state} : vm));
    this.vmList.control({vms: this.#vms});
  }

  /** Returns the records of minions and workers; the last path segment is the id of a request. */
  readHistory(declared: ReadonlyMap<string, Resources>): PlatformHistory {
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

  /** Waits for a stand-in to start, names its port in the network, and returns its address. */
  async #addStandin(endpoint: string, starting: Promise<Standin>): Promise<string> {
    const standin = await starting;
    this.#standins.push(standin);
    this.network.assignPort(standin.port, endpoint);
    return formatAddress(standin);
  }

  async #startMinion(id: string, dataCentre: string): Promise<Vm> {
    const limits = {connections: MAX_CONNECTIONS, slots: this.#size.slots};
    const server = new MinionServer(limits);
    this.minions.set(id, server);
    const address = await this.#addStandin(id, server.start());
    return {address, dataCentre, id, role: 'minion', service: 'mesa', state: 'live', ...limits};
  }

  async #startWorker(id: string, dataCentre: string): Promise<Vm> {
    const capacity = this.#capacity();
    const server = new WorkerServer(id, capacity);
    this.workers.set(id, server);
    const address = await this.#addStandin(id, server.start());
    return {address, capacity, dataCentre, id, rack: 'rack-1', role: 'worker', state: 'live'};
  }
}
