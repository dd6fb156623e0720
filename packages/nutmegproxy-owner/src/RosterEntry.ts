/** What the roster stores of a minion. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionDescription} from '@nutmegproxy/scheduling';

/** Runs that had just started when their minion fell silent: suspects if it has crashed. */
export interface SuspectRuns {
  /** Start of the minion's incarnation in Unix milliseconds. */
  readonly bornAt: number;
  readonly runs: SilentMinionRecord['runs'];
}

/** What is stored of a minion that does not respond. */
export interface SilentMinionRecord {
  /**
   * When its lease has certainly expired, by the wall clock of the VM that wrote this; only for owners
   * of earlier versions, since the clocks of two VMs may differ by any amount.
   */
  readonly heldUntil: WallTime;
  /** Task names and run numbers of the runs that it may have. */
  readonly runs: readonly (readonly [task: string, number: RunNumber])[];
  /** Absent when there are none, and in records of earlier versions. */
  readonly suspects?: SuspectRuns;
  /**
   * Those of `runs` whose start may have reached a later incarnation, on whose clock its lease is longer;
   * absent when there are none, and in records of earlier versions.
   */
  readonly unconfirmed?: SilentMinionRecord['runs'];
}

/** What is stored of a draining minion. */
export interface DrainingMinionRecord {
  /** Runs that it may have; it gets no others while this is stored. */
  readonly runs: SilentMinionRecord['runs'];
  /** Term of the owner that wrote this; a later owner may have started other runs. */
  readonly term: number;
}

export interface RosterEntry {
  readonly description: MinionDescription;
  readonly draining?: DrainingMinionRecord;
  /**
   * Start of the minion's first incarnation that an owner sent orders to, in Unix milliseconds;
   * absent when it is not known, and in entries of earlier versions.
   */
  readonly firstBornAt?: number | undefined;
  readonly silent?: SilentMinionRecord;
}

/** When the leases of a silent minion have certainly expired, by the clock of this process. */
export interface SilentExpiry {
  /** Undefined when that is not known. */
  readonly all: Instant | undefined;
  /** The same for the runs that the record does not list as unconfirmed; undefined when that is not known. */
  readonly confirmed?: Instant | undefined;
}

/** Stored value: a list of these. */
export interface StoredRosterEntry extends RosterEntry {
  /**
   * The same as `heldForMs` for the runs that the silent record does not list as unconfirmed; absent as
   * that, and when it lists none.
   */
  readonly confirmedForMs?: number | undefined;
  /**
   * Time in milliseconds after which a silent minion's lease has certainly expired, counted from the
   * write of the roster; absent when it is not known, and in entries of earlier versions. These drop it
   * with the silent record that it belongs to. Where it is absent, the longest lease counts.
   */
  readonly heldForMs?: number | undefined;
}
