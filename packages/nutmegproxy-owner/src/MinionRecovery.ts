/**
 * Determines what minions may run of which this owner has no report: from the roster and the closing
 * record of the former owner after a takeover, and from its own state once a minion falls silent.
 */

import type {Clock, EventFields, Instant, WallTime} from '@nutmegproxy/core';
import type {Fleet, MinionState, RunResult} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';

import type {ClosingRecord, MinionAccount} from './ClosingRecords.ts';
import type {FleetOwnership} from './FleetOwnership.ts';
import type {Roster, RosterEntry} from './Roster.ts';

import {MAX_FORMER_LEASE_MS} from './OwnerConstants.ts';
import {
  adoptRecordedRuns,
  createSilentRecord,
  listPossibleRuns,
  resolveSilentRecord,
} from './SilentRecords.ts';
import {UnreportedMinions} from './UnreportedMinions.ts';

export interface MinionRecoveryOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly onChange: () => void;
  readonly ownership: FleetOwnership;
  readonly roster: Roster;
}

export class MinionRecovery {
  /** Minions whose record is being removed. */
  readonly #clearing = new Set<MinionState>();
  readonly #options: MinionRecoveryOptions;
  readonly #unreported = new UnreportedMinions();

  constructor(options: MinionRecoveryOptions) {
    this.#options = options;
  }

  /** Returns which minions recovery waits for, as event fields. */
  describe(now: Instant): EventFields {
    return this.#unreported.describe(now);
  }

  /**
   * Whether the runs of every minion of a former owner are known, or its lease had expired when the
   * ownership was last confirmed.
   */
  isComplete(confirmedAt: Instant): boolean {
    return this.#unreported.isEmpty(confirmedAt);
  }

  /**
   * Waits for the report of a minion that the former owner's roster names, unless the roster flags it
   * as silent: then its record names the runs that it may have.
   */
  expect(minion: MinionState, {draining, silent}: RosterEntry, now: Instant): void {
    const {clock, fleet, ownership} = this.#options;
    if (silent !== undefined) {
      adoptRecordedRuns(fleet, minion, resolveSilentRecord(silent, clock.wall()), now);
      return;
    }
    minion.leaseClock.assumeLeasedUntil(after(now, MAX_FORMER_LEASE_MS));
    minion.isRecordedDraining = draining !== undefined;
    // An owner of an earlier version stores the record again but may start runs in spite of it.
    const isCurrent = draining?.term === ownership.term - 1;
    this.#unreported.add(minion, isCurrent ? draining.runs : undefined);
  }

  /** Receives what the former owner knew of minions that have not reported to this one. */
  receive({accounts = [], silent}: ClosingRecord): void {
    const {clock, fleet, roster} = this.#options;
    const now = clock.monotonic();
    this.#unreported.keepAccounts(accounts, now);
    for (const {description, silent: record} of silent) {
      const minion = fleet.minions.get(description.id);
      if (record === undefined || minion === undefined || !this.#unreported.has(minion)) {
        continue;
      }
      const {remainingMs, runs} = resolveSilentRecord(record, clock.wall());
      const leasedMs = Math.min(remainingMs, minion.leaseClock.expiresInMs(now));
      adoptRecordedRuns(fleet, minion, {remainingMs: leasedMs, runs}, now);
      roster.markSilent(description, record);
    }
  }

  /** Returns what this owner knows of the runs of a minion, for the next owner. */
  getAccount(
    minion: MinionState,
    unstoredResults: readonly RunResult[],
    now: Instant,
  ): MinionAccount {
    // A start that no listing confirms may have reached a new incarnation, for whose clock its lease
    // was not computed.
    const isCertain = [...minion.runs].every(({knownFrom}) => knownFrom !== 'order');
    const leasedMs = Math.ceil(minion.leaseClock.expiresInMs(now));
    return {
      heldForMs: isCertain ? leasedMs : Math.max(leasedMs, MAX_FORMER_LEASE_MS),
      id: minion.id,
      mayBeRenewed: minion.leaseClock.hasReading,
      runs: minion.areRunsKnown
        ? listPossibleRuns(minion, unstoredResults)
        : this.#unreported.findRuns(minion, now)?.runs,
    };
  }

  /** Records for the next owner what a silent minion may run, once that is known. */
  recordSilent(minion: MinionState, unstoredResults: readonly RunResult[]): void {
    const {clock, fleet, roster} = this.#options;
    const time = {now: clock.monotonic(), wall: clock.wall()};
    const former = this.#unreported.findRuns(minion, time.now);
    if (former !== undefined) {
      adoptRecordedRuns(fleet, minion, former, time.now);
      const heldUntil = (time.wall + former.remainingMs) as WallTime;
      roster.markSilent(minion.description, {heldUntil, runs: former.runs});
    } else if (minion.areRunsKnown) {
      minion.isRecordedUnreachable = true;
      roster.markSilent(minion.description, createSilentRecord(minion, unstoredResults, time));
    }
  }

  /**
   * Keeps the record of a minion's runs in step with whether it drains: names its runs when it begins
   * to drain and once none is left, and removes the record when it no longer drains.
   */
  updateDrainingRecord(minion: MinionState, unstoredResults: readonly RunResult[]): void {
    const {ownership, roster} = this.#options;
    const {description, isRecordedDraining, isRecordedUnreachable} = minion;
    if (isRecordedUnreachable || !minion.areRunsKnown) {
      return;
    }
    if (!description.isDraining) {
      if (isRecordedDraining) {
        this.clearRecord(minion);
      }
      return;
    }
    const {term} = ownership;
    const recorded = roster.find(minion.id)?.draining;
    const isRunless = minion.runs.size === 0 && unstoredResults.length === 0;
    const isCurrent = recorded?.term === term && (recorded.runs.length === 0 || !isRunless);
    if (!isCurrent) {
      minion.isRecordedDraining = true;
      roster.markDraining(description, {runs: listPossibleRuns(minion, unstoredResults), term});
    }
  }

  /** Removes the record of a minion's runs; it gets leases and work again once that is stored. */
  clearRecord(minion: MinionState): void {
    const {onChange, roster} = this.#options;
    if (this.#clearing.has(minion)) {
      return;
    }
    this.#clearing.add(minion);
    void roster.clearRecord(minion.description).then(() => {
      this.#clearing.delete(minion);
      // Another record may have been made meanwhile.
      const entry = roster.find(minion.id);
      minion.isRecordedDraining = entry?.draining !== undefined;
      minion.isRecordedUnreachable = entry?.silent !== undefined;
      onChange();
    });
  }
}
