/** Finds out at which VMs and data centres a revision is in force. */

import type {EntryNode, Instant} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {AppliedList} from '@nutmegproxy/schema';
import type {VmDirectory} from '@nutmegproxy/workers';

import {after} from '@nutmegproxy/core';
import {setTimeout as delay} from 'node:timers/promises';

import type {CatalogueExchange} from './CatalogueExchange.ts';

import {CONFIRM_INTERVAL_MS} from './CatalogueConstants.ts';

/** What is known of one data centre. */
export interface DataCentreConfirmation {
  readonly applied: readonly string[];
  readonly dataCentre: string;
  /** Whether any VM there has answered. */
  readonly heard: boolean;
  /** Known VMs that have not said that the revision is in force. */
  readonly missing: readonly string[];
}

export interface Confirmation {
  /** Whether every known VM of every known data centre has the revision in force. */
  readonly complete: boolean;
  readonly dataCentres: readonly DataCentreConfirmation[];
  readonly revision: number;
}

export interface ConfirmationServices {
  readonly directory: VmDirectory | undefined;
  readonly exchange: CatalogueExchange;
  readonly mesh: PeerMesh;
}

/** Waits until a revision is in force everywhere that is known, or the wait is over. */
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
      const isOver = this.#node.clock.monotonic() >= deadline;
      if (confirmation.complete || isOver) {
        return confirmation;
      }
      await delay(CONFIRM_INTERVAL_MS);
    }
  }

  /** One linked peer of each other data centre answers for its data centre. */
  async #queryDataCentres(): Promise<readonly AppliedList[]> {
    const {exchange, mesh} = this.#services;
    const {dataCentre} = this.#node.identity;
    const linked = mesh.peers().map(({identity}) => identity);
    const others = linked.filter((each) => each.dataCentre !== dataCentre);
    const byDataCentre = new Map(others.map((each) => [each.dataCentre, each]));
    const responses = await Promise.all(
      [...byDataCentre.values()].map((peer) => exchange.queryApplied(peer)),
    );
    const received = responses.filter((answer) => answer !== undefined);
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
