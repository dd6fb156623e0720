/** The available minions of each service and their addresses. */

import type {CatalogueSource, CatalogueView} from '@nutmegproxy/catalogue';
import type {DataCentreId, MinionId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {Allotment, Membership} from '@nutmegproxy/membership';
import type {Vm} from '@nutmegproxy/schema';
import type {VmDirectory} from '@nutmegproxy/workers';

import {brand} from '@nutmegproxy/core';

import type {SlotLedger} from './SlotLedger.ts';

/** Address of a minion that may receive new requests. */
export interface MinionEndpoint {
  readonly address: string;
  readonly minion: MinionId;
}

/** Sources from which the routes are computed. */
export interface RouteSources {
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly identity: NodeIdentity;
  readonly ledger: SlotLedger;
  readonly membership: Membership;
}

/** Available minions by service; recomputed when the directory, catalogue or allotment changes. */
export class MinionRoutes {
  #allotment: Allotment | undefined;
  #catalogue: CatalogueView | undefined;
  #isStale = true;
  #services = new Map<string, readonly MinionEndpoint[]>();
  readonly #sources: RouteSources;

  constructor(sources: RouteSources) {
    this.#sources = sources;
  }

  /** Requests a recomputation after a change of the directory. */
  invalidate(): void {
    this.#isStale = true;
  }

  /** Whether the minion may receive a request now. */
  isAvailable({address, minion}: MinionEndpoint): boolean {
    const vm = this.#sources.directory.vm(brand<VmId>(minion));
    return vm?.address === address && this.#isAvailable(vm, this.#sources.catalogue.current());
  }

  /** Returns the available minions of a service, with or without idle slots. */
  getAvailable(service: string): readonly MinionEndpoint[] {
    this.#refresh();
    return this.#services.get(service) ?? [];
  }

  #isAvailable(vm: Vm, catalogue: CatalogueView): boolean {
    const dataCentre: DataCentreId = this.#sources.identity.dataCentre;
    return (
      vm.role === 'minion' &&
      vm.state === 'live' &&
      vm.dataCentre === dataCentre &&
      !catalogue.isDrained('minion', vm.id) &&
      !catalogue.isDrained('data-centre', dataCentre) &&
      (vm.rack === undefined || !catalogue.isDrained('rack', vm.rack))
    );
  }

  /** Reloads the shares after a change of the allotment or of the shares being released. */
  refreshShares(): void {
    this.#allotment = this.#sources.membership.allotment();
    this.#setShares(this.#allotment);
  }

  #refresh(): void {
    if (this.#sources.membership.allotment() !== this.#allotment) {
      this.refreshShares();
    }
    const catalogue = this.#sources.catalogue.current();
    if (!this.#isStale && catalogue === this.#catalogue) {
      return;
    }
    this.#isStale = false;
    this.#catalogue = catalogue;
    this.#services = this.#groupByService(catalogue);
  }

  #groupByService(catalogue: CatalogueView): Map<string, MinionEndpoint[]> {
    const services = new Map<string, MinionEndpoint[]>();
    for (const vm of this.#sources.directory.vms()) {
      if (vm.service === undefined || !this.#isAvailable(vm, catalogue)) {
        continue;
      }
      const minions = services.get(vm.service) ?? [];
      minions.push({address: vm.address, minion: brand<MinionId>(vm.id)});
      services.set(vm.service, minions);
    }
    return services;
  }

  #setShares(allotment: Allotment | undefined): void {
    const {ledger, membership} = this.#sources;
    const shares = new Map<MinionId, number>();
    for (const minion of allotment?.minions.keys() ?? []) {
      shares.set(minion, membership.ownShare(minion));
    }
    ledger.setShares(shares);
  }
}
