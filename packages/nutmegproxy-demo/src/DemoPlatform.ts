/** Stand-ins for the demo's platform: store, VM list, minions and workers of two data centres. */

import type {Vm} from '@nutmegproxy/schema';
import type {Standin} from '@nutmegproxy/standins';

import {MinionServer, StoreServer, VmListServer, WorkerServer} from '@nutmegproxy/standins';

import {MINION_CONNECTIONS, MINION_SLOTS, WORKER_CAPACITY} from './DemoConstants.ts';

const SERVICES = ['oportuna', 'mesa'] as const;
const WORKERS_PER_DATA_CENTRE = 2;

/** The running stand-ins. */
export interface DemoPlatform {
  close(): Promise<void>;
  /** Minions by id. */
  readonly minions: ReadonlyMap<string, MinionServer>;
  readonly store: string;
  readonly vmList: string;
  /** Workers by id. */
  readonly workers: ReadonlyMap<string, WorkerServer>;
}

interface StartedVm {
  readonly standin: Standin;
  readonly vm: Vm;
}

function toAddress({port}: Standin): string {
  return `127.0.0.1:${port}`;
}

async function startMinion(
  dataCentre: string,
  service: string,
  minions: Map<string, MinionServer>,
): Promise<StartedVm> {
  const limits = {connections: MINION_CONNECTIONS, slots: MINION_SLOTS};
  const id = `minion-${dataCentre}-${service}`;
  const server = new MinionServer(limits);
  const standin = await server.start();
  minions.set(id, server);
  const address = toAddress(standin);
  const vm: Vm = {address, dataCentre, id, role: 'minion', service, state: 'live', ...limits};
  return {standin, vm};
}

async function startWorker(
  dataCentre: string,
  number: number,
  workers: Map<string, WorkerServer>,
): Promise<StartedVm> {
  const id = `worker-${dataCentre}-${number}`;
  const server = new WorkerServer(id, WORKER_CAPACITY);
  const standin = await server.start();
  workers.set(id, server);
  const vm: Vm = {
    address: toAddress(standin),
    capacity: WORKER_CAPACITY,
    dataCentre,
    id,
    rack: `rack-${dataCentre}`,
    role: 'worker',
    state: 'live',
  };
  return {standin, vm};
}

/** Starts all stand-ins on free loopback ports. */
export async function startPlatform(dataCentres: readonly string[]): Promise<DemoPlatform> {
  const minions = new Map<string, MinionServer>();
  const workers = new Map<string, WorkerServer>();
  const store = await new StoreServer().start();
  const list = new VmListServer();
  const vmList = await list.start();
  const started: StartedVm[] = [];
  for (const dataCentre of dataCentres) {
    for (const service of SERVICES) {
      started.push(await startMinion(dataCentre, service, minions));
    }
    for (let number = 1; number <= WORKERS_PER_DATA_CENTRE; number += 1) {
      started.push(await startWorker(dataCentre, number, workers));
    }
  }
  list.control({vms: started.map(({vm}) => vm)});
  const standins = [store, vmList, ...started.map(({standin}) => standin)];
  return {
    close: async () => {
      await Promise.all(standins.map((standin) => standin.close()));
    },
    minions,
    store: `http://${toAddress(store)}`,
    vmList: `http://${toAddress(vmList)}`,
    workers,
  };
}
