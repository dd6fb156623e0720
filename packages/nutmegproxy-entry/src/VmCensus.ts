/**
 * Decides whether this VM leaves new callers to another data centre. While fewer than half of a data centre's VMs are
 * ready, the balancer sends its callers to all of them, also to those without power; while none is ready, it sends
 * them to the VMs of other data centres.
 */

import type {DataCentreId, Instant} from '@nutmegproxy/core';

import type {EntryVm} from './VmRegistry.ts';

/** Share of a data centre's VMs below which the balancer sends callers to all of them. */
const MIN_READY_SHARE = 0.5;
/** Number of last lists whose longest tells how many VMs a data centre has: VMs that were removed no longer count. */
const REMEMBERED_LISTS = 100;
/** Time in milliseconds for which lists have to agree: right after a store outage VMs are not registered yet. */
const AGREEMENT_MS = 1_500;

/**
 * @example
 * const census = new VmCensus(self);
 * census.record(peers, now);
 * const isReady = !census.leavesCallers;
 */
export class VmCensus {
  #isConfirmed = false;
  /** The VMs that are listed and have a configuration: without one a VM is not ready. */
  #listed: readonly EntryVm[] = [];
  readonly #self: EntryVm;
  /** Number of such VMs of this data centre in each of the last lists. */
  #sizes: readonly number[] = [];
  /** When few VMs of this data centre were listed first, since when no list had more. */
  #sparseSince: Instant | undefined;

  constructor(self: EntryVm) {
    this.#self = self;
  }

  /** Whether the next list decides if few VMs are left. */
  get isUnconfirmed(): boolean {
    return this.#sparseSince !== undefined && !this.#isConfirmed;
  }

  /**
   * Whether callers are served better if this VM is not ready: few of its data centre's VMs are left, and
   * another data centre has more. All VMs that read the same list agree on the one that stays ready.
   */
  get leavesCallers(): boolean {
    return this.#isConfirmed && this.#findPreferred() !== this.#self.dataCentre;
  }

  /** Records all VMs that are listed now; this VM counts as one of them. */
  record(peers: readonly EntryVm[], now: Instant): void {
    this.#listed = [this.#self, ...peers.filter(({canOwn = true}) => canOwn)];
    const size = this.#listed.filter((vm) => vm.dataCentre === this.#self.dataCentre).length;
    this.#sizes = [...this.#sizes, size].slice(-REMEMBERED_LISTS);
    const isSparse = size < Math.max(...this.#sizes) * MIN_READY_SHARE;
    this.#sparseSince = isSparse ? (this.#sparseSince ?? now) : undefined;
    this.#isConfirmed = this.#sparseSince !== undefined && now - this.#sparseSince >= AGREEMENT_MS;
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
}
