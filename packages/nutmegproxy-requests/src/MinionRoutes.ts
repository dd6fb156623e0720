/** Which minions of a service may be given requests, and where they are. */

import type {CatalogueSource, CatalogueView} from '@nutmegproxy/catalogue';
import type {DataCentreId, MinionId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {Allotment, Membership} from '@nutmegproxy/membership';
import type {Vm} from '@nutmegproxy/schema';
import type {VmDirectory} from '@nutmegproxy/workers';

import {brand} from '@nutmegproxy/core';

import type {SlotLedger} from './SlotLedger.ts';

/** A minion that may be given new requests. */
export interface MinionEndpoint {
  readonly address: string;
  readonly minion: MinionId;
}

/** What the routes are made from. */
export interface RouteSources {
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly identity: NodeIdentity;
  readonly ledger: SlotLedger;
  readonly membership: Membership;
}

/** Open minions by service; computed anew when the directory, catalogue or allotment changes. */
export class MinionRoutes {
  #allotment: Allotment | undefined;
  #catalogue: CatalogueView | undefined;
  #isStale = true;
  #services = new Map<string, readonly MinionEndpoint[]>();
  readonly #sources: RouteSources;

  constructor(sources: RouteSources) {
    this.#sources = sources;
  }

  /** The directory has changed. */
  invalidate(): void {
    this.#isStale = true;
  }

  /** Whether the minion may be given a request right now. */
  isAvailable({address, minion}: MinionEndpoint): boolean {
    const vm = this.#sources.directory.vm(brand<VmId>(minion));
    return vm?.address === address && this.#isAvailable(vm, this.#sources.catalogue.current());
  }

  /** Open minions of a service, whether or not a slot there is idle. */
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

  /** Reads the shares anew: the record or what is being given up has changed. */
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
