/**
 * Decides whether this VM leaves new callers to another data centre. While fewer than half of a data centre's VMs are
 * ready, the balancer sends its callers to all of them, also to those without power; while none is ready, it sends
 * them to the VMs of other data centres.
 */

import type {DataCentreId, VmId} from '@nutmegproxy/core';

import type {EntryVm} from './VmRegistry.ts';

/** Share of a data centre's VMs below which the balancer sends callers to all of them. */
const MIN_READY_SHARE = 0.5;
/** Lists in a row without a VM after which it no longer counts as one of its data centre. */
const LISTS_UNTIL_FORGOTTEN = 100;
/** Lists in a row that have to agree: right after a store outage VMs are not registered yet. */
const AGREEING_LISTS = 2;

/**
 * @example
 * const census = new VmCensus(self);
 * census.record(peers);
 * const isReady = !census.leavesCallers;
 */
export class VmCensus {
  /** VMs of this data centre, each with the number of lists in a row that lacked it. */
  readonly #absences = new Map<VmId, number>();
  #listed: readonly EntryVm[] = [];
  readonly #self: EntryVm;
  /** Lists in a row with few VMs of this data centre. */
  #sparseLists = 0;

  constructor(self: EntryVm) {
    this.#self = self;
  }

  /**
   * Whether callers are served better if this VM is not ready: few of its data centre's VMs are left, and
   * another data centre has more. All VMs that read the same list agree on the one that stays ready.
   */
  get leavesCallers(): boolean {
    const isSparse = this.#sparseLists >= AGREEING_LISTS;
    return isSparse && this.#findPreferred() !== this.#self.dataCentre;
  }

  /** Whether the next list decides if few VMs are left. */
  get isUnconfirmed(): boolean {
    return this.#sparseLists > 0 && this.#sparseLists < AGREEING_LISTS;
  }

  /** Records all VMs that are listed now; this VM counts as one of them. */
  record(peers: readonly EntryVm[]): void {
    this.#listed = [this.#self, ...peers];
    for (const [vm, absences] of this.#absences) {
      this.#absences.set(vm, absences + 1);
      if (absences + 1 > LISTS_UNTIL_FORGOTTEN) {
        this.#absences.delete(vm);
      }
    }
    for (const {dataCentre, vm} of this.#listed) {
      if (dataCentre === this.#self.dataCentre) {
        this.#absences.set(vm, 0);
      }
    }
    this.#sparseLists = this.#isSparse() ? this.#sparseLists + 1 : 0;
  }

  /** Returns the data centre with the most VMs, by the list alone; cores and then the name decide between equals. */
  #findPreferred(): DataCentreId | undefined {
    const totals = new Map<DataCentreId, {cores: number; vms: number}>();
    for (const {cores, dataCentre} of this.#listed) {
      const total = totals.get(dataCentre) ?? {cores: 0, vms: 0};
      totals.set(dataCentre, {cores: total.cores + cores, vms: total.vms + 1});
    }
    const [preferred] = [...totals].sort(
      ([nameA, a], [nameB, b]) => b.vms - a.vms || b.cores - a.cores || (nameA < nameB ? -1 : 1),
    );
    return preferred?.[0];
  }

  #isSparse(): boolean {
    const present = [...this.#absences.values()].filter((absences) => absences === 0).length;
    return present < this.#absences.size * MIN_READY_SHARE;
  }
}
