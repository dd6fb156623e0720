/** Keeps a session with every minion that the directory lists or that may have live runs. */

import type {Clock, EventSink, Instant, MinionId, PlatformBounds} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {Fleet, MinionDescription, StopRequest} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {MinionState} from '@nutmegproxy/scheduling';
import {err, ok} from 'neverthrow';

import type {MinionAccount} from './ClosingRecords.ts';
import type {MachineList} from './MachineList.ts';
import type {MinionChange, MinionDirectory, MinionWatch} from './MinionDirectory.ts';
import type {Roster} from './Roster.ts';
import type {RosterEntry} from './RosterEntry.ts';
import type {SessionContext} from './SessionContext.ts';

import {DirectoryAge} from './DirectoryAge.ts';
import {DrainingRecords} from './DrainingRecords.ts';
import {expireLease, expireRuns, recordGone} from './LeaseEnds.ts';
import {MachineReview} from './MachineReview.ts';
import {MinionEnrollment} from './MinionEnrollment.ts';
import {MinionRecovery} from './MinionRecovery.ts';
import {MinionSession} from './MinionSession.ts';
import {REMOVE_UNLISTED_AFTER_MS, STORE_RETRY_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {describeCapacityChange} from './OwnerUtils.ts';
import {recordRunEnds} from './RecordedRunEnds.ts';
import {RecoveryRecord} from './RecoveryRecord.ts';
import {describeSuspects} from './SuspectRecords.ts';
import {TrustHandover} from './TrustHandover.ts';

export interface MinionSessionsOptions {
  readonly bounds: Pick<PlatformBounds, 'drainMs'>;
  readonly clock: Clock;
  readonly directory: MinionDirectory;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly machines: MachineList | undefined;
  readonly onChange: () => void;
  readonly roster: Roster;
  readonly session: Omit<
    SessionContext,
    'bounds' | 'isDirectoryOutdated' | 'onRunsLost' | 'permitRenewal' | 'recordUse'
  >;
  readonly store: PlatformStore;
}

export class MinionSessions {
  readonly recovery: MinionRecovery;
  readonly #context: SessionContext;
  readonly #directoryAge: DirectoryAge;
  readonly #drainingRecords: DrainingRecords;
  readonly #enrollment: MinionEnrollment;
  readonly #machineReview: MachineReview;
  readonly #options: MinionSessionsOptions;
  readonly #sessions = new Map<MinionId, MinionSession>();
  #stopped = false;
  readonly #trust: TrustHandover;
  #watch: MinionWatch | undefined;

  constructor(options: MinionSessionsOptions) {
    this.#options = options;
    const {bounds, session, store} = options;
    this.#directoryAge = new DirectoryAge(bounds.drainMs);
    const record = new RecoveryRecord({...session, store});
    this.#trust = new TrustHandover({...options, record});
    this.recovery = new MinionRecovery({...options, ownership: session.ownership, record});
    this.#enrollment = new MinionEnrollment({
      ...options,
      ownership: session.ownership,
      recovery: this.recovery,
    });
    this.#drainingRecords = new DrainingRecords({
      ...options,
      clearRecord: (minion) => {
        this.recovery.clearRecord(minion);
      },
      ownership: session.ownership,
    });
    this.#machineReview = new MachineReview({
      ...options,
      onGone: (minion) => {
        this.#sessions.get(minion.id)?.endLife();
        void recordGone(options, session.journal, minion);
        options.onChange();
      },
      ownership: session.ownership,
    });
    this.#context = {
      ...session,
      bounds,
      isDirectoryOutdated: (now) => this.isDirectoryOutdated(now),
      onRunsLost: (minion, runs) => {
        void recordRunEnds(options.roster, session.journal, minion, runs);
      },
      permitRenewal: (minion) => this.recovery.permitRenewal(minion),
      recordUse: (minion) => this.#enrollment.recordUse(minion),
    };
  }

  close(): void {
    this.#stopped = true;
    this.recovery.close();
    this.#watch?.close();
    for (const session of this.#sessions.values()) {
      session.close();
    }
  }

  /**
   * Reads the directory and watches it. At the start of an ownership `former` is the former owner's
   * roster, otherwise it is empty.
   */
  async start(former: readonly RosterEntry[]): Promise<Result<void, StoreFailure>> {
    const {clock, directory, events, session} = this.#options;
    const listedAt = clock.monotonic();
    const snapshot = await directory.list();
    if (snapshot.isErr()) {
      return err(snapshot.error);
    }
    await session.orders.prepare?.(snapshot.value.minions);
    const now = clock.monotonic();
    const listed = new Set(snapshot.value.minions.map(({id}) => id));
    for (const {minion} of this.#sessions.values()) {
      if (!listed.has(minion.id)) {
        minion.unlistedSince ??= now;
      }
    }
    const missing = former.filter(({description: {id}}) => !listed.has(id));
    events.record(OWNER_EVENTS.MINIONS_LISTED, {minions: listed.size, unlisted: missing.length});
    // Each minion of the first list is logged only when it responds or fails to.
    const change = this.#sessions.size === 0 ? undefined : 'listed';
    for (const description of [
      ...snapshot.value.minions,
      ...missing.map((entry) => entry.description),
    ]) {
      this.#update(description, now, listed.has(description.id) ? change : 'unlisted');
    }
    for (const entry of former) {
      this.#recoverMinion(entry, now, !listed.has(entry.description.id));
    }
    this.#watch = directory.watch(snapshot.value.revision + 1, {
      onBroken: (failure) => {
        void this.#restart(failure);
      },
      onChanges: (changes) => {
        this.#apply(changes);
      },
    });
    this.#directoryAge.finishListing(this.#watch, listedAt);
    this.#addToRoster(snapshot.value.minions, session.ownership.term === 0);
    this.recovery.begin();
    const known = new Set(former.map(({description}) => description.id));
    this.#enroll(snapshot.value.minions.filter(({id}) => !known.has(id)));
    return ok(undefined);
  }

  /** As of when the directory is known; -Infinity before it was listed. */
  get directorySeenAt(): Instant {
    return this.#directoryAge.seenAt;
  }

  /** Returns the largest age of the view of the directory, see `DirectoryAge`. */
  computeDirectoryAge(now: Instant): number {
    return this.#directoryAge.compute(this.#options.session.ownership.confirmedAt, now);
  }

  /** Whether a minion may have begun to drain so long ago, unseen, that nothing may start now. */
  isDirectoryOutdated(now: Instant): boolean {
    return this.#directoryAge.isOutdated(this.#options.session.ownership.confirmedAt, now);
  }

  /** Returns what is known of the runs of each minion, those that may be leaving first. */
  listAccounts(): MinionAccount[] {
    const {bounds, clock, fleet} = this.#options;
    const now = clock.monotonic();
    const mayLeaveInMs = this.directorySeenAt + bounds.drainMs - now;
    return [...this.#sessions.values()]
      .sort((a, b) => Number(mayBeLeaving(b.minion)) - Number(mayBeLeaving(a.minion)))
      .map(({minion, unstoredResults}) => ({
        ...this.recovery.getAccount(minion, unstoredResults, now),
        ...describeSuspects(fleet, minion, mayLeaveInMs, now),
      }));
  }

  /** Records for the next owner what a silent minion may run. */
  recordSilent(minion: MinionState): void {
    const unstoredResults = this.#sessions.get(minion.id)?.unstoredResults ?? [];
    this.recovery.recordSilent(minion, unstoredResults);
  }

  /** Finds minions that are gone by the platform's list of machines, while `isActing` returns true. */
  reviewMachines(isActing: () => boolean): Promise<void> {
    return this.#machineReview.run(isActing);
  }

  startRun(run: Run): void {
    void this.#sessions.get(run.minion)?.start(run);
  }

  stopRun(request: StopRequest): void {
    void this.#sessions.get(request.minion)?.stop(request);
  }

  /**
   * Ends the runs of minions whose lease has certainly expired, and removes unlisted minions. A
   * lease has certainly expired if it had when the ownership was last confirmed: another owner may
   * have renewed it since.
   */
  sweep(confirmedAt: Instant, now: Instant): void {
    this.recovery.refreshLeaseTimes(now);
    this.#trust.refresh(now);
    this.#drainingRecords.update(this.#listDraining(), now);
    for (const [id, {minion}] of this.#sessions) {
      if (!minion.leaseClock.isExpired(confirmedAt)) {
        expireRuns(this.#options, minion, confirmedAt);
        continue;
      }
      expireLease(this.#options, minion, now);
      if (
        minion.unlistedSince !== undefined &&
        !minion.isListingResults &&
        now - minion.unlistedSince > REMOVE_UNLISTED_AFTER_MS
      ) {
        this.#removeMinion(id);
      }
    }
  }

  #apply(changes: readonly MinionChange[]): void {
    const now = this.#options.clock.monotonic();
    const added: MinionDescription[] = [];
    for (const {description, id} of changes) {
      if (description === undefined) {
        this.#markUnlisted(id, now);
        continue;
      }
      if (!this.#sessions.has(id)) {
        added.push(description);
      }
      this.#update(description, now, 'listed');
    }
    this.#addToRoster(added, true);
    this.#enroll(added);
  }

  #addToRoster(minions: readonly MinionDescription[], areNew: boolean): void {
    void this.#options.roster.add(minions, areNew);
    for (const {id} of minions) {
      this.#assumeUsualLeases(id);
    }
  }

  /**
   * Orders that were computed for another incarnation's clock may grant longer leases; a minion whose
   * first incarnation is the present one got none.
   */
  #assumeUsualLeases(id: MinionId): void {
    const firstBornAt = this.#options.roster.find(id)?.firstBornAt;
    const minion = this.#sessions.get(id)?.minion;
    if (firstBornAt !== undefined && minion?.bornAt === firstBornAt) {
      minion.leaseClock.assumeUsualLeases();
    }
  }

  /** Lets minions that no former owner knew get work, before they have reported. */
  #enroll(minions: readonly MinionDescription[]): void {
    for (const {id} of minions) {
      const minion = this.#sessions.get(id)?.minion;
      if (minion !== undefined && !minion.isRegistered && !this.recovery.isAwaited(id)) {
        void this.#enrollment.recordUse(minion);
      }
    }
  }

  #removeMinion(id: MinionId): void {
    const {events, fleet, roster} = this.#options;
    const session = this.#sessions.get(id);
    if (session !== undefined) {
      session.close();
      fleet.clearUnknownResults(session.minion);
    }
    this.#sessions.delete(id);
    fleet.minions.delete(id);
    roster.remove(id);
    this.recovery.forget(id);
    events.record(OWNER_EVENTS.MINION_CHANGED, {change: 'forgotten', minion: id});
  }

  async #restart(failure: StoreFailure): Promise<void> {
    const {events} = this.#options;
    this.#watch?.close();
    this.#directoryAge.beginListing();
    events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message: failure.message, what: 'minions'});
    while (!this.#stopped) {
      const started = await this.start([]);
      if (started.isOk()) {
        return;
      }
      await delay(STORE_RETRY_MS);
    }
  }

  /** Recovers a minion of the former owner, whose runs its silent record or its report names. */
  #recoverMinion(entry: RosterEntry, now: Instant, isMissing: boolean): void {
    const minion = this.#options.fleet.minions.get(entry.description.id);
    if (minion === undefined) {
      return;
    }
    if (isMissing) {
      minion.unlistedSince ??= now;
    }
    this.#assumeUsualLeases(minion.id);
    this.recovery.expect(minion, entry, now);
    this.#trust.receive(minion);
  }

  #listDraining(): MinionSession[] {
    return [...this.#sessions.values()].filter(
      ({minion}) => minion.description.isDraining || minion.isRecordedDraining,
    );
  }

  #markUnlisted(id: MinionId, now: Instant): void {
    const minion = this.#sessions.get(id)?.minion;
    if (minion !== undefined && minion.unlistedSince === undefined) {
      minion.unlistedSince = now;
      const fields = {change: 'entry removed', minion: id, runs: minion.runs.size};
      this.#options.events.record(OWNER_EVENTS.MINION_CHANGED, fields);
    }
  }

  #update(description: MinionDescription, now: Instant, change: string | undefined): void {
    const {events, fleet, roster} = this.#options;
    const session = this.#sessions.get(description.id);
    roster.updateCapacity(description);
    if (session === undefined) {
      const minion = new MinionState(description, this.#context.ownership.leaseTimes);
      minion.update(description, now);
      minion.leaseClock.assumeLeasedUntil(now);
      const opened = new MinionSession(this.#context, minion);
      this.#sessions.set(minion.id, opened);
      fleet.minions.set(minion.id, minion);
      if (change !== undefined) {
        events.record(OWNER_EVENTS.MINION_CHANGED, {change, ...opened.eventFields});
      }
      void opened.run();
      return;
    }
    const {minion} = session;
    const former = minion.description;
    minion.update(description, now);
    if (minion.unlistedSince !== undefined || former.isDraining !== description.isDraining) {
      const change = description.isDraining ? 'draining' : 'listed';
      const unlistedMs = Math.round(now - (minion.unlistedSince ?? now));
      events.record(OWNER_EVENTS.MINION_CHANGED, {change, minion: minion.id, unlistedMs});
    }
    const resized = describeCapacityChange(former.capacity, description.capacity);
    if (resized !== undefined) {
      const {id, reserved, runs} = minion;
      const load = {minion: id, reservedCpuMilli: reserved.cpuMilli, runs: runs.size};
      events.record(OWNER_EVENTS.MINION_CHANGED, {change: 'capacity', ...resized, ...load});
    }
    minion.unlistedSince = undefined;
    session.observeEntry(description.bornAt);
  }
}

function mayBeLeaving({description, missedCalls, unlistedSince}: MinionState): boolean {
  return description.isDraining || missedCalls > 0 || unlistedSince !== undefined;
}
