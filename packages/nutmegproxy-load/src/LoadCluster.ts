/** The processes of a load run: platform stand-ins, minions and entry VMs of one data centre. */

import type {ManagedProcess} from '@nutmegproxy/proof';
import type {Policies, Scenario, Vm} from '@nutmegproxy/schema';
import type {MinionControl, StoreFaultSettings, VmListControl} from '@nutmegproxy/standins';

import {ProcessGroup} from '@nutmegproxy/proof';
import {request} from 'undici';

import {LOAD_DATA_CENTRE, STANDINS_PROGRAM} from './LoadConstants.ts';
import {LoadEntry} from './LoadEntry.ts';
import {createCatalogue, waitUntil} from './LoadUtils.ts';

/** A minion stand-in that runs in its own process. */
export interface LoadMinion {
  readonly id: string;
  readonly process: ManagedProcess;
  readonly url: string;
}

export class LoadCluster {
  readonly entries: LoadEntry[] = [];
  readonly #group = new ProcessGroup();
  #listUrl = '';
  readonly minions: LoadMinion[] = [];
  readonly #scenario: Scenario;
  #storeUrl = '';
  #vms: Vm[] = [];

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  async close(): Promise<void> {
    await this.#group.close();
  }

  async controlVmList(message: VmListControl): Promise<void> {
    await postControl(this.#listUrl, message);
  }

  async controlMinion({url}: LoadMinion, message: MinionControl): Promise<void> {
    await postControl(url, message);
  }

  async controlStore(message: StoreFaultSettings): Promise<void> {
    await postControl(this.#storeUrl, message);
  }

  /** Publishes a VM list in which the given minions have the state `leaving`. */
  async listAsLeaving(ids: ReadonlySet<string>): Promise<void> {
    this.#vms = this.#vms.map((vm) => (ids.has(vm.id) ? {...vm, state: 'leaving'} : vm));
    await this.controlVmList({vms: this.#vms});
  }

  /** Starts all processes and waits until the entry VMs hold shares of all minion slots. */
  async start(policies: Policies): Promise<void> {
    const [store, list] = await Promise.all([
      this.#startStandin('store'),
      this.#startStandin('vm-list'),
    ]);
    this.#storeUrl = toUrl(store);
    this.#listUrl = toUrl(list);
    await this.#startMinions();
    await this.controlVmList({vms: this.#vms});
    await this.#startEntries(policies);
    await this.controlVmList({vms: this.#vms});
    const catalogue = createCatalogue(this.#scenario);
    const [first] = this.entries;
    await waitUntil(
      'the catalogue to be accepted',
      async () => (await first?.applyCatalogue(catalogue)) === true,
    );
    const shares = this.#scenario.minions * this.#scenario.slots;
    await waitUntil('the slot shares', () => this.#hasShares(shares));
  }

  /** Returns whether every entry VM is ready and holds at least half of an equal share of the slots. */
  async #hasShares(slots: number): Promise<boolean> {
    const ready = await Promise.all(this.entries.map((entry) => entry.isReady()));
    if (!ready.every(Boolean)) {
      return false;
    }
    const shares = await Promise.all(this.entries.map((entry) => entry.countSlots()));
    const fair = Math.floor(slots / this.entries.length / 2);
    return shares.every((share) => share >= fair);
  }

  async #startEntries(policies: Policies): Promise<void> {
    for (let index = 1; index <= this.#scenario.entryVms; index += 1) {
      const seeds = this.entries.map(({peerAddress}) => peerAddress);
      const entry = new LoadEntry(`entry-${index}`, this.#group);
      await entry.start({listUrl: this.#listUrl, policies, seeds, storeUrl: this.#storeUrl});
      this.entries.push(entry);
      this.#vms.push({
        address: new URL(entry.callerUrl).host,
        dataCentre: LOAD_DATA_CENTRE,
        id: entry.vm,
        role: 'entry',
        state: 'live',
      });
    }
  }

  async #startMinions(): Promise<void> {
    const {connections, deployment, minions, slots} = this.#scenario;
    const args = ['--connections', String(connections), '--slots', String(slots)];
    for (let index = 1; index <= minions; index += 1) {
      const id = `minion-${index}`;
      const process = await this.#startStandin('minion', args);
      const url = toUrl(process);
      this.minions.push({id, process, url});
      this.#vms.push({
        address: new URL(url).host,
        connections,
        dataCentre: LOAD_DATA_CENTRE,
        id,
        role: 'minion',
        service: deployment,
        slots,
        state: 'live',
      });
    }
  }

  #startStandin(kind: string, args: readonly string[] = []): Promise<ManagedProcess> {
    return this.#group.start({args: [kind, ...args], name: kind, program: STANDINS_PROGRAM});
  }
}

function toUrl({readyMessage: ready}: ManagedProcess): string {
  return `http://127.0.0.1:${ready}`;
}

async function postControl(url: string, message: object): Promise<void> {
  const body = JSON.stringify(message);
  const response = await request(`${url}/control`, {body, method: 'POST', reset: true});
  await response.body.dump();
}
