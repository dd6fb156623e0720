/**
 * Determines what minions may run of which this owner has no report: from the roster and the closing
 * record of the former owner after a takeover, and from its own state once a minion falls silent.
 */

import type {Clock, EventFields, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {Fleet, MinionState, RunResult} from '@nutmegproxy/scheduling';
import type {StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {after} from '@nutmegproxy/core';

import type {ClosingRecord, MinionAccount} from './ClosingRecords.ts';
import type {FleetOwnership} from './FleetOwnership.ts';
import type {AwaitedMinion, FormerUse, RecoveryRecord} from './RecoveryRecord.ts';
import type {Roster} from './Roster.ts';
import type {RosterEntry} from './RosterEntry.ts';

import {LEASE_TIMES_INTERVAL_MS, REPORT_WAIT_MS} from './OwnerConstants.ts';
import {findEnd} from './OwnerUtils.ts';
import {dropEndedRuns, intersectRuns} from './PossibleRuns.ts';
import {
  adoptRecordedRuns,
  createSilentRecord,
  listPossibleRuns,
  listUnconfirmedStarts,
  listUnknownResults,
  nameRun,
  shortenRecordedLeases,
} from './SilentRecords.ts';
import {listSuspects, receiveSuspects} from './SuspectRecords.ts';
import {UnreportedMinions} from './UnreportedMinions.ts';

export interface MinionRecoveryOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly onChange: () => void;
  readonly ownership: FleetOwnership;
  readonly record: RecoveryRecord;
  readonly roster: Roster;
}

/** A minion that this owner has not used, and what former owners knew of it. */
interface UnusedMinion {
  readonly former: FormerUse;
  readonly minion: MinionState;
}

export class MinionRecovery {
  /** Minions of whose lease a former owner's account told the end. */
  readonly #accounted = new Set<MinionId>();
  /** Minions whose record is being removed. */
  readonly #clearing = new Set<MinionState>();
  /**
   * Minions that this owner has not recorded as used: `held` when a record may name the expiry of the
   * lease, `renewed` when this owner may have renewed it.
   */
  readonly #leases = new Map<MinionId, 'held' | 'renewed'>();
  readonly #options: MinionRecoveryOptions;
  /** When the times of the recovery record were last computed. */
  #timesStoredAt = -Infinity as Instant;
  readonly #unreported = new UnreportedMinions();
  /** Minions on which former owners may have left runs, until this owner uses them. */
  readonly #unused = new Map<MinionId, UnusedMinion>();

  constructor(options: MinionRecoveryOptions) {
    this.#options = options;
    options.record.listAwaited = () => this.#listAwaited();
  }

  /** Begins to store what this owner awaits from former owners. */
  begin(): void {
    void this.#options.record.update();
  }

  close(): void {
    this.#options.record.close();
  }

  /** Returns which minions recovery waits for, as event fields. */
  describe(now: Instant): EventFields {
    return this.#unreported.describe(now);
  }

  /** Returns the longest time in milliseconds for which recovery may still wait. */
  findRemainingMs(now: Instant): number {
    return this.#unreported.findRemainingMs(now);
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
   * as silent: then its record names the runs that it may have. A minion that no former owner can
   * have used is not waited for.
   */
  expect(minion: MinionState, {draining, silent}: RosterEntry, now: Instant): void {
    const {fleet, ownership, record, roster} = this.#options;
    const former = record.findFormerUse(minion.id);
    if (silent !== undefined) {
      const {expiresAt, ...terms} = former ?? {
        lastTerm: ownership.term - 1,
        leaseTerm: ownership.term - 1,
      };
      const remainingMs = Math.min(
        this.#findFormerLeaseMs(terms, now),
        findRemainingMs(expiresAt, now),
        findRemainingMs(roster.findExpiry(minion.id), now),
      );
      const confirmedMs = findRemainingMs(roster.findConfirmedExpiry(minion.id), now);
      const runs = intersectRuns(silent.runs, former?.runs);
      adoptRecordedRuns(fleet, minion, {...silent, confirmedMs, remainingMs, runs}, now);
      this.#unused.set(minion.id, {former: {...terms, runs}, minion});
      return;
    }
    minion.isRecordedDraining = draining !== undefined;
    if (former === undefined) {
      return;
    }
    this.#unused.set(minion.id, {former, minion});
    const remainingMs = findRemainingMs(former.expiresAt, now);
    const formerMs = this.#findFormerLeaseMs(former, now);
    const heldForMs = Math.max(REPORT_WAIT_MS, Math.min(formerMs, remainingMs));
    minion.leaseClock.assumeLeasedUntil(after(now, heldForMs));
    // An owner of an earlier version stores the record again but may start runs in spite of it.
    const isCurrent = draining !== undefined && draining.term >= former.lastTerm;
    this.#unreported.add(
      minion,
      isCurrent ? intersectRuns(draining.runs, former.runs) : former.runs,
    );
  }

  /** Forgets a minion on which nothing runs any more. */
  forget(id: MinionId): void {
    this.#leases.delete(id);
    this.#unused.delete(id);
    this.#options.record.remove(id);
  }

  /**
   * Whether a former owner's account may end the wait for a minion whose runs are known: the lease in
   * its record may count longer, from a later read, or its length may not be known.
   */
  isAccountAwaited(now: Instant): boolean {
    return [...this.#unused].some(
      ([id, {minion}]) =>
        minion.runs.size > 0 && !this.#accounted.has(id) && !minion.leaseClock.isExpired(now),
    );
  }

  /** Whether former owners may have left runs on a minion that this owner has not used. */
  isAwaited(id: MinionId): boolean {
    return this.#unused.has(id);
  }

  /**
   * Whether the lease of a minion may be renewed. Before it is stored that this owner uses the minion,
   * that is so unless the next owner may count on a stored expiry.
   */
  permitRenewal({id, isRegistered, leaseClock}: MinionState): boolean {
    if (isRegistered) {
      return true;
    }
    if (!leaseClock.hasReading || this.#leases.get(id) === 'held') {
      return false;
    }
    this.#leases.set(id, 'renewed');
    return true;
  }

  /** Reads which minions former owners used. */
  read(): Promise<Result<void, StoreFailure>> {
    return this.#options.record.read();
  }

  /** Resolves once it is stored that this owner uses a minion, whose runs it knows. */
  async recordUse({id}: MinionState): Promise<void> {
    this.#unused.delete(id);
    await this.#options.record.recordUse(id);
  }

  /** Receives what a former owner knew of minions that no later one has used. */
  receive({accounts = [], silent, term}: ClosingRecord): void {
    const {clock, fleet, record: recoveryRecord, roster} = this.#options;
    const now = clock.monotonic();
    const isCurrent = (id: MinionId): boolean =>
      (this.#unused.get(id)?.former.lastTerm ?? Infinity) <= term;
    const isLeaseCurrent = (id: MinionId): boolean =>
      (this.#unused.get(id)?.former.leaseTerm ?? Infinity) <= term;
    const current = accounts
      .filter(({id}) => isCurrent(id))
      .map((each) =>
        isLeaseCurrent(each.id) ? each : {...each, confirmedForMs: undefined, heldForMs: Infinity},
      );
    this.#unreported.keepAccounts(current, now);
    this.#receiveSuspects(accounts, term, now);
    for (const account of current) {
      const {heldForMs, id} = account;
      const minion = this.#unused.get(id)?.minion;
      if (minion !== undefined) {
        minion.leaseClock.shortenAssumedLease(after(now, heldForMs));
        this.#extendLease(minion, account, term, now);
        shortenRecordedLeases(minion, account, now);
        this.#dropEndedRuns(minion, account);
      }
      if (heldForMs < Infinity) {
        this.#accounted.add(id);
      }
    }
    for (const {description, silent: record} of silent) {
      const minion = fleet.minions.get(description.id);
      if (
        record === undefined ||
        minion === undefined ||
        !isCurrent(minion.id) ||
        !this.#unreported.has(minion)
      ) {
        continue;
      }
      // Its account above told the end of its lease, if that was known.
      const remainingMs = minion.leaseClock.expiresInMs(now);
      const account = current.find(({id}) => id === minion.id);
      const confirmedMs = account?.confirmedForMs;
      const runs = intersectRuns(record.runs, account?.runs);
      adoptRecordedRuns(fleet, minion, {...record, confirmedMs, remainingMs, runs}, now);
      const heldUntil = Math.ceil(clock.wall() + remainingMs) as WallTime;
      const expiresAt = after(now, remainingMs);
      const confirmedExpiresAt = findEnd(now, confirmedMs);
      roster.markSilent(
        minion.description,
        {...record, heldUntil, runs},
        expiresAt,
        confirmedExpiresAt,
      );
    }
    void recoveryRecord.update();
  }

  /** Returns what this owner knows of the runs of a minion, for the next owner. */
  getAccount(
    minion: MinionState,
    unstoredResults: readonly RunResult[],
    now: Instant,
  ): MinionAccount {
    const {fleet, ownership} = this.#options;
    const {maxUncappedLeaseMs} = ownership.leaseTimes;
    const unconfirmed = listUnconfirmedStarts(minion, now).map(nameRun);
    const leasedMs = Math.ceil(minion.leaseClock.expiresInMs(now));
    const isCertain = unconfirmed.length === 0;
    const former = minion.areRunsKnown ? undefined : this.#unreported.findRuns(minion, now);
    return {
      confirmedForMs: isCertain ? former?.confirmedMs : leasedMs,
      heldForMs: isCertain ? leasedMs : Math.max(leasedMs, maxUncappedLeaseMs),
      id: minion.id,
      lastTerm: this.#unused.get(minion.id)?.former.lastTerm,
      leaseTerm: this.#unused.get(minion.id)?.former.leaseTerm,
      mayBeRenewed: minion.leaseClock.hasReading || this.#leases.get(minion.id) === 'renewed',
      runs: minion.areRunsKnown ? listPossibleRuns(fleet, minion, unstoredResults) : former?.runs,
      unconfirmed: isCertain ? former?.unconfirmed : unconfirmed,
    };
  }

  /** Records for the next owner what a silent minion may run, once that is known. */
  recordSilent(minion: MinionState, unstoredResults: readonly RunResult[]): void {
    const {clock, fleet, roster} = this.#options;
    const time = {now: clock.monotonic(), wall: clock.wall()};
    const former = this.#unreported.findRuns(minion, time.now);
    if (former !== undefined) {
      adoptRecordedRuns(fleet, minion, former, time.now);
      const {confirmedMs, remainingMs, runs, unconfirmed} = former;
      const heldUntil = (time.wall + remainingMs) as WallTime;
      const expiresAt = after(time.now, remainingMs);
      const confirmedExpiresAt = findEnd(time.now, confirmedMs);
      const suspects = listSuspects(fleet, minion);
      const silent = {
        heldUntil,
        runs,
        ...(suspects && {suspects}),
        ...(unconfirmed && {unconfirmed}),
      };
      roster.markSilent(minion.description, silent, expiresAt, confirmedExpiresAt);
    } else if (minion.areRunsKnown) {
      minion.isRecordedUnreachable = true;
      const silent = createSilentRecord(fleet, minion, unstoredResults, time);
      const leasedUntil = after(time.now, minion.leaseClock.expiresInMs(time.now));
      const expiresAt = silent.unconfirmed === undefined ? leasedUntil : undefined;
      roster.markSilent(minion.description, silent, expiresAt, leasedUntil);
    } else if (this.#canHold(minion)) {
      void this.#options.record.update();
    }
  }

  /** Stores the remaining times of leases anew from time to time, until they have expired. */
  refreshLeaseTimes(now: Instant): void {
    const storedAt = this.#timesStoredAt;
    if (now - storedAt < LEASE_TIMES_INTERVAL_MS) {
      return;
    }
    const isCounting = [...this.#unused].some(
      ([id, {minion}]) =>
        this.#leases.get(id) === 'held' && minion.leaseClock.expiresInMs(storedAt) > 0,
    );
    if (isCounting) {
      void this.#options.record.update();
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

  /** Whether the expiry of a lease can be stored, after which this owner does not renew it. */
  #canHold({id, isRecordedUnreachable, missedCalls, unlistedSince}: MinionState): boolean {
    const isSilent = isRecordedUnreachable || missedCalls > 0 || unlistedSince !== undefined;
    return isSilent && this.#unused.has(id) && !this.#leases.has(id);
  }

  /** Removes the recorded runs of a minion that the account of a former owner does not name. */
  #dropEndedRuns(minion: MinionState, {id, runs}: MinionAccount): void {
    const unused = this.#unused.get(id);
    if (unused === undefined || runs === undefined) {
      return;
    }
    const {fleet, roster} = this.#options;
    dropEndedRuns(fleet, minion, runs);
    // An owner of an earlier version does not name those whose results are not known.
    const named = [...runs, ...listUnknownResults(minion)];
    const {former} = unused;
    this.#unused.set(id, {
      former: {
        ...former,
        runs: former.runs === undefined ? runs : intersectRuns(former.runs, named),
      },
      minion,
    });
    const recorded = roster.find(id)?.silent?.runs ?? [];
    const possible = intersectRuns(recorded, named);
    if (possible.length < recorded.length) {
      roster.replaceSilentRuns(id, possible);
    }
  }

  /** Learns which runs had just started on minions that no owner has used since, or only this one. */
  #receiveSuspects(accounts: readonly MinionAccount[], term: number, now: Instant): void {
    const {fleet, ownership} = this.#options;
    const isLast = term === ownership.term - 1;
    for (const account of accounts) {
      const minion = fleet.minions.get(account.id);
      const lastTerm = this.#unused.get(account.id)?.former.lastTerm ?? Infinity;
      if (minion !== undefined && (isLast || lastTerm <= term)) {
        receiveSuspects(fleet, minion, account, now);
      }
    }
  }

  /** Lists the minions on which former owners may have left runs and that this owner has not used. */
  #listAwaited(): AwaitedMinion[] {
    const {clock, ownership} = this.#options;
    const now = clock.monotonic();
    const wall = clock.wall();
    this.#timesStoredAt = now;
    return [...this.#unused].map(([id, {former, minion}]) => {
      if (this.#canHold(minion)) {
        this.#leases.set(id, 'held');
      }
      const isHeld = this.#leases.get(id) === 'held';
      const heldForMs = isHeld ? Math.ceil(minion.leaseClock.expiresInMs(now)) : undefined;
      return {
        heldForMs,
        heldUntil: heldForMs === undefined ? undefined : (Math.ceil(wall + heldForMs) as WallTime),
        id,
        lastTerm: former.lastTerm,
        leaseTerm: isHeld ? former.leaseTerm : ownership.term,
        runs: this.#unreported.findNamedRuns(id) ?? former.runs,
      };
    });
  }

  /** Counts the lease of a start that may have reached a later incarnation right before the former owner ended. */
  #extendLease(
    {leaseClock}: MinionState,
    {heldForMs, lastTerm, unconfirmed}: MinionAccount,
    term: number,
    now: Instant,
  ): void {
    if (unconfirmed !== undefined && !leaseClock.hasReading) {
      // The owner that sent the start may count by other bounds of the platform.
      const isOfLastOwner = lastTerm === undefined && term === this.#options.ownership.term - 1;
      const longestMs = isOfLastOwner ? Infinity : heldForMs;
      const startMs = Math.min(this.#findStartLeaseMs(now), longestMs);
      leaseClock.assumeLeasedUntil(after(now, Math.max(leaseClock.expiresInMs(now), startMs)));
    }
  }

  /** Returns the time in milliseconds after which no start of a former owner holds a lease in any incarnation. */
  #findStartLeaseMs(now: Instant): number {
    const {formerReleasedAt, leaseTimes} = this.#options.ownership;
    return Math.max(0, leaseTimes.maxFormerStartLeaseMs - (now - formerReleasedAt));
  }

  /** Returns what is left of a lease, and of the margin for orders, that count from the end of the former ownership. */
  #countFromRelease(leaseMs: number, now: Instant): number {
    const {formerReleasedAt, leaseTimes} = this.#options.ownership;
    return leaseMs + leaseTimes.formerOrderMarginMs - (now - formerReleasedAt);
  }

  /** Returns the time in milliseconds after which all leases of former owners have expired. */
  #findFormerLeaseMs({lastTerm}: Pick<FormerUse, 'lastTerm'>, now: Instant): number {
    const {leaseTimes, recordingSince} = this.#options.ownership;
    const {maxFormerLeaseMs, maxUncappedLeaseMs} = leaseTimes;
    // Owners of earlier versions grant leases that do not end with their confirmation.
    const isCapped = lastTerm >= recordingSince;
    const longestMs = isCapped ? maxFormerLeaseMs : maxUncappedLeaseMs;
    const grantedMs = Math.min(longestMs, this.#countFromRelease(longestMs, now));
    // A start may have reached a later incarnation, where a former owner that did not send it may have found its lease.
    return Math.max(grantedMs, this.#findStartLeaseMs(now));
  }
}

/** Returns the time in milliseconds until an instant; Infinity when it is not known. */
function findRemainingMs(instant: Instant | undefined, now: Instant): number {
  return instant === undefined ? Infinity : Math.max(0, instant - now);
}
