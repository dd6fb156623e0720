/** Which minions of a service may be given requests, and where they are. */

import type {CatalogueSource, CatalogueView} from '@nutmegproxy/catalogue';
import type {DataCentreId, MinionId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {Allotment, Membership} from '@nutmegproxy/membership';
import type {Vm} from '@nutmegproxy/schema';
import type {VmDirectory} from '@nutmegproxy/workers';

import {brand} from '@nutmegproxy/core';

import type {SlotLedger} from './SlotLedger.ts';

/** A minion that may be given new requests. */
export interface OpenMinion {
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
  #services = new Map<string, readonly OpenMinion[]>();
  readonly #sources: RouteSources;
  #stale = true;
  #view: CatalogueView | undefined;

  constructor(sources: RouteSources) {
    this.#sources = sources;
  }

  /** The directory has changed. */
  invalidate(): void {
    this.#stale = true;
  }

  /** Whether the minion may be given a request right now. */
  isOpen({address, minion}: OpenMinion): boolean {
    const vm = this.#sources.directory.vm(brand<VmId>(minion));
    return vm?.address === address && this.#isOpenVm(vm, this.#sources.catalogue.current());
  }

  /** Open minions of a service, whether or not a slot there is idle. */
  open(service: string): readonly OpenMinion[] {
    this.#refresh();
    return this.#services.get(service) ?? [];
  }

  #isOpenVm(vm: Vm, view: CatalogueView): boolean {
    const dataCentre: DataCentreId = this.#sources.identity.dataCentre;
    return (
      vm.role === 'minion' &&
      vm.state === 'live' &&
      vm.dataCentre === dataCentre &&
      !view.isDrained('minion', vm.id) &&
      !view.isDrained('data-centre', dataCentre) &&
      (vm.rack === undefined || !view.isDrained('rack', vm.rack))
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
    const view = this.#sources.catalogue.current();
    if (!this.#stale && view === this.#view) {
      return;
    }
    this.#stale = false;
    this.#view = view;
    this.#services = this.#groupByService(view);
  }

  #groupByService(view: CatalogueView): Map<string, OpenMinion[]> {
    const services = new Map<string, OpenMinion[]>();
    for (const vm of this.#sources.directory.vms()) {
      if (vm.service === undefined || !this.#isOpenVm(vm, view)) {
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
