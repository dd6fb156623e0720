/** Determines which VMs and data centres have applied a revision. */

import type {EntryNode, Instant} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {AppliedList} from '@nutmegproxy/schema';
import type {VmDirectory} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';
import {setTimeout as delay} from 'node:timers/promises';

import type {CatalogueExchange} from './CatalogueExchange.ts';

import {CONFIRM_INTERVAL_MS} from './CatalogueConstants.ts';

/** The confirmation state of one data centre. */
export interface DataCentreConfirmation {
  readonly applied: readonly string[];
  readonly dataCentre: string;
  /** Whether a report from this data centre was received. */
  readonly heard: boolean;
  /** Known VMs that have not reported the revision as applied. */
  readonly missing: readonly string[];
}

export interface Confirmation {
  /** Whether every known VM of every known data centre has applied the revision. */
  readonly complete: boolean;
  readonly dataCentres: readonly DataCentreConfirmation[];
  readonly revision: number;
}

export interface ConfirmationServices {
  readonly directory: VmDirectory | undefined;
  readonly exchange: CatalogueExchange;
  readonly mesh: PeerMesh;
}

/** Waits until all known VMs have applied a revision, or until a timeout. */
export class CatalogueConfirmer {
  readonly #node: EntryNode;
  readonly #services: ConfirmationServices;

  constructor(node: EntryNode, services: ConfirmationServices) {
    this.#node = node;
    this.#services = services;
  }

  async confirm(revision: number, waitMs: number, now: Instant): Promise<Confirmation> {
    const deadline = after(now, waitMs);
    for (;;) {
      const confirmation = this.#createConfirmation(revision, await this.#queryDataCentres());
      const hasTimedOut = this.#node.clock.monotonic() >= deadline;
      if (confirmation.complete || hasTimedOut) {
        return confirmation;
      }
      await delay(CONFIRM_INTERVAL_MS);
    }
  }

  /** Queries one linked peer of each other data centre; the peer reports for all VMs there. */
  async #queryDataCentres(): Promise<readonly AppliedList[]> {
    const {exchange, mesh} = this.#services;
    const {dataCentre} = this.#node.identity;
    const linked = mesh.peers().map(({identity}) => identity);
    const others = linked.filter((each) => each.dataCentre !== dataCentre);
    const byDataCentre = new Map(others.map((each) => [each.dataCentre, each]));
    const responses = await Promise.all(
      [...byDataCentre.values()].map((peer) => exchange.queryApplied(peer)),
    );
    const received = responses.filter((response) => response !== undefined);
    return [exchange.listApplied(), ...received];
  }

  #createConfirmation(revision: number, lists: readonly AppliedList[]): Confirmation {
    const known = this.#listKnownVms(lists);
    const dataCentres = [...known].map(([dataCentre, vms]) => {
      const reports = lists.find((list) => list.dataCentre === dataCentre)?.vms ?? [];
      const applied = reports.filter((each) => each.revision >= revision).map(({vm}) => vm);
      const missing = [...vms].filter((vm) => !applied.includes(vm)).sort();
      return {applied: applied.sort(), dataCentre, heard: reports.length > 0, missing};
    });
    const complete = dataCentres.every(({heard, missing}) => heard && missing.length === 0);
    const sorted = dataCentres.sort((a, b) => (a.dataCentre < b.dataCentre ? -1 : 1));
    return {complete, dataCentres: sorted, revision};
  }

  #listKnownVms(lists: readonly AppliedList[]): Map<string, Set<string>> {
    const listed = this.#services.directory?.vms() ?? [];
    const live = listed.filter(({role, state}) => role === 'entry' && state === 'live');
    const linked = this.#services.mesh.peers().map(({identity}) => identity);
    const known = new Map<string, Set<string>>();
    const add = (dataCentre: string, vm: string): void => {
      known.set(dataCentre, (known.get(dataCentre) ?? new Set()).add(vm));
    };
    for (const {dataCentre, id} of live) {
      add(dataCentre, id);
    }
    for (const {dataCentre, vm} of linked) {
      add(dataCentre, vm);
    }
    for (const {dataCentre, vms} of lists) {
      vms.forEach(({vm}) => {
        add(dataCentre, vm);
      });
    }
    return known;
  }
}
