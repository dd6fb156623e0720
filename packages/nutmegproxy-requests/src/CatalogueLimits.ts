/** Limits of the catalogue as this process's part of them. */

import type {QueueLimits} from '@nutmegproxy/admission';
import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryId, NodeIdentity, TeamId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {VmDirectory} from '@nutmegproxy/workers';

import {DEFAULT_ENTRY_QUEUE} from './RequestsConstants.ts';
import {splitShare} from './ShareUtils.ts';

/** Where limits and the number of their holders come from. */
export interface LimitSources {
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
  readonly #sources: LimitSources;

  constructor(sources: LimitSources) {
    this.#sources = sources;
  }

  entryConcurrency(entry: EntryId): number {
    const {catalogue, identity, membership} = this.#sources;
    const concurrency = catalogue.current().entries.get(entry)?.limits.concurrency;
    if (concurrency === undefined) {
      return Infinity;
    }
    const members = [...(membership.allotment()?.members.keys() ?? [])];
    return splitShare(concurrency, members, identity.incarnation);
  }

  entryQueue(entry: EntryId): number {
    return (
      this.#sources.catalogue.current().entries.get(entry)?.limits.queue ?? DEFAULT_ENTRY_QUEUE
    );
  }

  teamConcurrency(team: TeamId): number {
    const {catalogue, directory, identity} = this.#sources;
    const requests = catalogue.current().teams.get(team)?.quota?.requests;
    if (requests === undefined) {
      return Infinity;
    }
    const entryVms = directory
      .vms()
      .filter(({role, state}) => role === 'entry' && state === 'live');
    return splitShare(
      requests,
      entryVms.map(({id}) => id),
      identity.vm,
    );
  }
}
