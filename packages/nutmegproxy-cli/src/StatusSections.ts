/** The sections of `GET /v1/status`. */

import type {CatalogueFeature} from '@nutmegproxy/catalogue';
import type {EntryNode} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {Requests} from '@nutmegproxy/requests';
import type {VmDirectory} from '@nutmegproxy/workers';

export interface CatalogueStatus {
  readonly change: string;
  readonly entries: number;
  /** False until the catalogue was received from the store or a peer. */
  readonly known: boolean;
  readonly revision: number;
  /** Whether the last read of the catalogue from the store succeeded. */
  readonly storeAnswers: boolean;
  readonly teams: number;
}

export interface MembershipStatus {
  /** Cells of the data centre and the incarnations that own them. */
  readonly cells: readonly {
    readonly cell: string;
    readonly epoch: number;
    readonly owner: string;
  }[];
  readonly epoch: number;
  readonly holdsTenure: boolean;
  readonly members: readonly {readonly incarnation: string; readonly vm: string}[];
  /** Slots of each minion: the total, and this process's share and its use. */
  readonly slots: readonly {
    readonly borrowed: number;
    readonly held: number;
    readonly inFlight: number;
    readonly lent: number;
    readonly minion: string;
    readonly slots: number;
  }[];
}

/** Number of known VMs by role and state. */
export type DirectoryStatus = Readonly<Record<string, number>>;

export function describeCatalogue(catalogue: CatalogueFeature): CatalogueStatus {
  const {entries, record, revision, teams} = catalogue.source.current();
  return {
    change: record.change,
    entries: entries.size,
    known: catalogue.source.isKnown(),
    revision,
    storeAnswers: catalogue.isStoreReachable(),
    teams: teams.size,
  };
}

export function describeDirectory(directory: VmDirectory): DirectoryStatus {
  const counts: Record<string, number> = {};
  for (const {role, state} of directory.vms()) {
    const name = `${role} ${state}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

export function describeMembership(
  membership: Membership,
  node: EntryNode,
  requests: Pick<Requests, 'slotUse'>,
): MembershipStatus {
  const allotment = membership.allotment();
  const {incarnation} = node.identity;
  const members = [...(allotment?.members.values() ?? [])];
  const minions = [...(allotment?.minions.values() ?? [])];
  return {
    cells: [...(allotment?.cells.values() ?? [])],
    epoch: allotment?.epoch ?? 0,
    holdsTenure: membership.holdsTenure(node.clock.monotonic()),
    members: members.map(({incarnation: id, vm}) => ({incarnation: id, vm})),
    slots: minions.map(({minion, shares, slots}) => ({
      held: shares.get(incarnation) ?? 0,
      minion,
      slots,
      ...requests.slotUse(minion),
    })),
  };
}
