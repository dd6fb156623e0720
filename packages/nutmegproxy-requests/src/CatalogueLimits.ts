/** This process's share of the catalogue's limits. */

import type {QueueLimits} from '@nutmegproxy/admission';
import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryId, NodeIdentity, TeamId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {VmDirectory} from '@nutmegproxy/workers';

import {DEFAULT_ENTRY_QUEUE_LENGTH} from './RequestsConstants.ts';
import {computeShare} from './ShareUtils.ts';

/** Sources of the limits and of the processes that share them. */
export interface LimitDependencies {
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly identity: NodeIdentity;
  readonly membership: Membership;
}

/**
 * Splits an entry's concurrency among the members of the data centre, and a team's quota among the
 * live entry VMs of all data centres.
 */
export class CatalogueLimits implements Omit<QueueLimits, 'slots'> {
  readonly #dependencies: LimitDependencies;

  constructor(dependencies: LimitDependencies) {
    this.#dependencies = dependencies;
  }

  entryConcurrency(entry: EntryId): number {
    const {catalogue, identity, membership} = this.#dependencies;
    const concurrency = catalogue.current().entries.get(entry)?.limits.concurrency;
    if (concurrency === undefined) {
      return Infinity;
    }
    const members = [...(membership.allotment()?.members.keys() ?? [])];
    return computeShare(concurrency, members, identity.incarnation);
  }

  entryQueue(entry: EntryId): number {
    return (
      this.#dependencies.catalogue.current().entries.get(entry)?.limits.queue ??
      DEFAULT_ENTRY_QUEUE_LENGTH
    );
  }

  teamConcurrency(team: TeamId): number {
    const {catalogue, directory, identity} = this.#dependencies;
    const requests = catalogue.current().teams.get(team)?.quota?.requests;
    if (requests === undefined) {
      return Infinity;
    }
    const entryVms = directory
      .vms()
      .filter(({role, state}) => role === 'entry' && state === 'live');
    return computeShare(
      requests,
      entryVms.map(({id}) => id),
      identity.vm,
    );
  }
}
