/** The platform of a measurement: stand-ins for store, VM list and workers, with byte counters. */

import type {Vm} from '@nutmegproxy/schema';
import type {Standin, StoreCounters} from '@nutmegproxy/standins';

import {StoreServer, TcpRelay, VmListServer} from '@nutmegproxy/standins';

import type {CapacitySize} from './CapacitySize.ts';
import type {CountedEndpoint} from './MeasuredEntry.ts';

import {DATA_CENTRE, MINION_CONNECTIONS, MINION_SLOTS, SERVICE} from './CapacityConstants.ts';
import {describeWorker, WorkerFleet} from './WorkerFleet.ts';

/** Nothing listens here; used for VMs that receive no calls. */
const UNUSED_ADDRESS = '127.0.0.1:9';
const OTHER_DATA_CENTRE = 'dc-elsewhere';

function describeMinion(index: number): Vm {
  return {
    address: UNUSED_ADDRESS,
    connections: MINION_CONNECTIONS,
    dataCentre: DATA_CENTRE,
    id: `minion-${index}`,
    role: 'minion',
    service: SERVICE,
    slots: MINION_SLOTS,
    state: 'live',
  };
}

function describeEntry(index: number): Vm {
  return {
    address: UNUSED_ADDRESS,
    dataCentre: OTHER_DATA_CENTRE,
    id: `${OTHER_DATA_CENTRE}-entry-${index}`,
    role: 'entry',
    state: 'live',
  };
}

function describeAll(count: number, describe: (index: number) => Vm): readonly Vm[] {
  return Array.from({length: count}, (_, index) => describe(index));
}

export class CapacityPlatform {
  readonly fleet = new WorkerFleet();
  readonly #list = new VmListServer();
  #listPort = 0;
  readonly #started: Standin[] = [];
  readonly #store = new StoreServer();
  #storePort = 0;
  #vms: readonly Vm[] = [];

  get storeCalls(): StoreCounters {
    return {...this.#store.counters};
  }

  /** Toggles the state of the last listed VM between `live` and `leaving`. */
  changeVmList(): void {
    const last = this.#vms.at(-1);
    if (last !== undefined) {
      const state = last.state === 'live' ? 'leaving' : 'live';
      this.#vms = [...this.#vms.slice(0, -1), {...last, state}];
      this.#list.control({vms: this.#vms});
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.fleet.close(), ...this.#started.map((standin) => standin.close())]);
  }

  openVmListEndpoint(): Promise<CountedEndpoint> {
    return this.#openEndpoint(this.#listPort);
  }

  openStoreEndpoint(): Promise<CountedEndpoint> {
    return this.#openEndpoint(this.#storePort);
  }

  async start({listedElsewhere, listedEntries, minions, workers}: CapacitySize): Promise<void> {
    this.#storePort = (await this.#addStandin(this.#store.start())).port;
    this.#listPort = (await this.#addStandin(this.#list.start())).port;
    this.#vms = [
      ...(await this.fleet.start(workers)),
      ...describeAll(listedEntries, describeEntry),
      ...describeAll(minions, describeMinion),
      ...describeAll(listedElsewhere, (index) =>
        describeWorker(index, UNUSED_ADDRESS, OTHER_DATA_CENTRE),
      ),
    ];
    this.#list.control({vms: this.#vms});
  }

  async #addStandin<Started extends Standin>(starting: Promise<Started>): Promise<Started> {
    const standin = await starting;
    this.#started.push(standin);
    return standin;
  }

  async #openEndpoint(port: number): Promise<CountedEndpoint> {
    const relay = new TcpRelay({host: '127.0.0.1', port});
    const standin = await this.#addStandin(relay.start());
    return {relay, url: `http://127.0.0.1:${standin.port}`};
  }
}
