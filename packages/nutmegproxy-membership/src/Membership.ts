/**
 * Tenure and the allotment record. A process may use its slot shares and its cells only while its
 * tenure is valid; see docs/design/TENURE.md for the rules and their proof.
 */

import type {CellId, DataCentreId, IncarnationId, Instant, MinionId, VmId} from '@nutmegproxy/core';

/** A process listed in the data centre's record. */
export interface Member {
  readonly incarnation: IncarnationId;
  readonly peerAddress: string;
  readonly vm: VmId;
}

/** Slots of one minion that each member holds. Their sum never exceeds the minion's slots. */
export interface MinionShares {
  readonly minion: MinionId;
  readonly shares: ReadonlyMap<IncarnationId, number>;
  readonly slots: number;
}

/** The owner of a cell; the epoch rises with each change of owner. */
export interface CellOwnership {
  readonly cell: CellId;
  readonly epoch: number;
  readonly owner: IncarnationId;
}

/** The record of a data centre, which is changed by compare-and-swap. */
export interface Allotment {
  readonly cells: ReadonlyMap<CellId, CellOwnership>;
  readonly dataCentre: DataCentreId;
  readonly epoch: number;
  readonly members: ReadonlyMap<IncarnationId, Member>;
  readonly minions: ReadonlyMap<MinionId, MinionShares>;
  /** Revision of the record in the store, for use in transaction conditions. */
  readonly modRevision: number;
}

/** Read access to tenure and the allotment. */
export interface Membership {
  allotment(): Allotment | undefined;
  /** Whether this process may use its shares and cells at `now`. Check it after every await. */
  holdsTenure(now: Instant): boolean;
  /**
   * Slots of a minion that this process may use or lend. The value is lower than its share in the
   * record while it releases slots, and is valid only with tenure.
   */
  ownShare(minion: MinionId): number;
  /** Instant at which tenure ends unless it is renewed first. */
  tenureExpiresAt(): Instant;
}
