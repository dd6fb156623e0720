/**
 * Which entry VM a request is passed on to when this one can't reach the store, for outages that
 * some VMs have and others do not.
 */

import type {DataCentreId, Instant, VmId} from '@nutmegproxy/core';

import type {EntryVm} from './VmRegistry.ts';

/**
 * Time in milliseconds for which a VM that could not help is not asked. While the store is away for
 * all, each VM then asks each other one once a second, and refuses the rest at once.
 */
const FAILURE_COOLDOWN_MS = 1_000;

export class PeerSelector {
  readonly #failedAt = new Map<VmId, Instant>();
  readonly #ownDataCentre: DataCentreId;

  constructor(ownDataCentre: DataCentreId) {
    this.#ownDataCentre = ownDataCentre;
  }

  /**
   * The VMs to try, those of the own data centre first; none that failed of late.
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
