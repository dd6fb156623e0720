/**
 * Selects the entry VMs to forward a request to when this VM can't reach the store, for outages
 * that affect only some of the VMs.
 */

import type {DataCentreId, Instant, VmId} from '@nutmegproxy/core';

import type {EntryVm} from './VmRegistry.ts';

/**
 * Time in milliseconds for which a VM is not selected after a failed forward. When no VM reaches
 * the store, each VM forwards one request a second to each other VM and refuses the rest at once.
 */
const FAILURE_COOLDOWN_MS = 1_000;

export class PeerSelector {
  readonly #failedAt = new Map<VmId, Instant>();
  readonly #ownDataCentre: DataCentreId;

  constructor(ownDataCentre: DataCentreId) {
    this.#ownDataCentre = ownDataCentre;
  }

  /**
   * Returns up to `count` VMs without a recent failure, those of this VM's data centre first.
   * `random` is a number from 0 to 1 that spreads the load.
   */
  select(peers: readonly EntryVm[], count: number, random: number, now: Instant): EntryVm[] {
    const eligible = peers.filter(
      ({vm}) => now - (this.#failedAt.get(vm) ?? -Infinity) >= FAILURE_COOLDOWN_MS,
    );
    const start = Math.floor(random * eligible.length);
    const rotated = [...eligible.slice(start), ...eligible.slice(0, start)];
    const rank = ({dataCentre}: EntryVm): number => (dataCentre === this.#ownDataCentre ? 0 : 1);
    return rotated.sort((a, b) => rank(a) - rank(b)).slice(0, count);
  }

  recordFailure(vm: VmId, now: Instant): void {
    this.#failedAt.set(vm, now);
  }
}
