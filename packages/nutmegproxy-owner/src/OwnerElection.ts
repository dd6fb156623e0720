/** Acquires, renews and releases the ownership of the fleet in the store. */

import type {Clock, EventSink, Instant, VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {LeaseTimes} from '@nutmegproxy/scheduling';
import type {
  LeaseId,
  Operation,
  PlatformStore,
  StoredValue,
  StoreFailure,
} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {CELLS_PREFIX, FIRST_CELL, formatOwnerKey, formatRecordKey} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

import type {OwnershipGrant} from './FleetOwnership.ts';
import type {OwnershipToken} from './MinionOrders.ts';
import type {RevisionAge} from './RevisionAges.ts';
import type {KnownCellCount} from './StoredCellCount.ts';

import {FleetOwnership} from './FleetOwnership.ts';
import {REVOKE_ATTEMPTS, REVOKE_RETRY_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnershipRenewal} from './OwnershipRenewal.ts';
import {repeatUntilAnswered} from './RepeatedCall.ts';
import {RevisionAges} from './RevisionAges.ts';
import {RevisionLog} from './RevisionLog.ts';
import {
  CELL_COUNT_KEY,
  compareCellCount,
  isOfOtherCount,
  OWNER_KEYS,
  UNDIVIDED,
} from './StoredCellCount.ts';
import {parseJson} from './StoredJson.ts';

/** Key of the current owner of the first cell; bound to the ownership lease. */
export const OWNER_KEY = formatOwnerKey(FIRST_CELL);

export interface ElectionOptions {
  /** The part of the fleet whose ownership it is about; default: the first one. */
  readonly cell?: CellIndex;
  readonly clock: Clock;
  /** The number of cells that this VM goes by; default: that of a fleet which is not divided. */
  readonly count?: KnownCellCount;
  readonly events: EventSink;
  readonly leaseTimes: LeaseTimes;
  /** Default: an empty one. */
  readonly revisions?: RevisionLog;
  readonly store: PlatformStore;
  readonly vm: VmId;
}

type CellFailureKind = 'countChanged' | 'countMalformed' | 'formerCount' | 'taken';

/**
 * Why the ownership was not acquired. `taken`: another VM owns the cell. `countChanged`: another number of cells is
 * stored. `countMalformed`: what is stored is no number. `formerCount`: a VM still owns a cell under another number.
 * Otherwise the store call failed.
 */
export type AcquireFailure =
  StoreFailure | {readonly kind: CellFailureKind; readonly message: string};

/**
 * Stored value of the sequence: its first and its last term. Earlier versions, which take a stored
 * expiry of a lease for valid after any number of owners, look for the last one as `term`.
 */
interface RecordingTerms {
  /** Revisions that the store had reached before this was written; absent in records of earlier versions. */
  readonly knownRevisions?: readonly RevisionAge[];
  readonly lastTerm: number;
  /** Last term in which an owner may have granted a minion lease; default: `lastTerm`. */
  readonly leaseTerm?: number;
  /**
   * Time in milliseconds for which the ownerships up to `leaseTerm` had ended when this was written;
   * only after a term in which no lease was granted, and absent in records of earlier versions.
   */
  readonly releasedForMs?: number;
  readonly since: number;
}

interface ElectionRecords {
  /** The number of cells. */
  readonly count: StoredValue | undefined;
  readonly owner: StoredValue | undefined;
  /** Owners of all cells, by the cell. */
  readonly owners: readonly (StoredValue | undefined)[];
  readonly recording: StoredValue | undefined;
  readonly term: StoredValue | undefined;
}

/** Keys of one cell's ownership. */
interface ElectionKeys {
  /** The current owner; bound to the ownership lease. */
  readonly owner: string;
  /**
   * The sequence of owners that record which minions they use. An earlier version increments the term
   * alone, which interrupts the sequence.
   */
  readonly recording: string;
  /** The latest term; not bound to a lease. */
  readonly term: string;
}

export class OwnerElection {
  /** When this process knew which state of the store; candidates and acquisitions add to it. */
  readonly revisions: RevisionLog;
  readonly #cell: CellIndex;
  readonly #count: KnownCellCount;
  readonly #keys: ElectionKeys;
  readonly #options: ElectionOptions;
  /** When this process knew of which removals of the owner's key. */
  readonly #releases = new RevisionLog();

  constructor(options: ElectionOptions) {
    this.#cell = options.cell ?? FIRST_CELL;
    this.#count = options.count ?? UNDIVIDED;
    this.#keys = {
      owner: formatOwnerKey(this.#cell),
      recording: formatRecordKey('recording', this.#cell),
      term: formatRecordKey('term', this.#cell),
    };
    this.#options = options;
    this.revisions = options.revisions ?? new RevisionLog();
  }

  /** Records that the owner's key was removed at a revision, which is known since `now`. */
  recordRelease(revision: number, now: Instant): void {
    this.#releases.record(revision, now);
  }

  /** Releases the ownership, so that another VM can acquire it at once. */
  async resign(ownership: FleetOwnership, reason: string): Promise<void> {
    const {clock, events, vm} = this.#options;
    const {term} = ownership;
    ownership.end();
    const age = ownership.describe(clock.monotonic(), clock.wall());
    events.record(OWNER_EVENTS.OWNERSHIP_LOST, {...age, reason, term, vm});
    if (!ownership.hasGrantedLease) {
      await this.#releaseUnused(ownership);
    }
    await this.#revoke(ownership.lease);
  }

  /** Renews the lease until the ownership has ended. */
  renew(ownership: FleetOwnership): Promise<void> {
    return new OwnershipRenewal({...this.#options, ownership}).run();
  }

  /** Acquires the ownership if no VM has it. */
  async acquire(): Promise<Result<FleetOwnership, AcquireFailure>> {
    const {clock, leaseTimes, store} = this.#options;
    const records = await this.#read();
    if (records.isErr()) {
      return err(records.error);
    }
    const obstacle = this.#findObstacle(records.value);
    if (obstacle !== undefined) {
      return err(obstacle);
    }
    const requestedAt = clock.monotonic();
    const wall = clock.wall();
    const lease = await store.grantLease(leaseTimes.ownershipTtlMs / 1000);
    if (lease.isErr()) {
      return err(lease.error);
    }
    const ages = this.#readAges(records.value, requestedAt);
    const written = await this.#write(lease.value.lease, records.value, ages);
    if (written.isErr()) {
      // A write that is carried out later fails without its lease.
      await this.#revoke(lease.value.lease);
    }
    const {revisions} = this;
    const released = this.#findReleases(records.value, requestedAt);
    return written.map((grant) => {
      revisions.record(grant.token, clock.monotonic());
      return new FleetOwnership(
        {
          ...released,
          ages,
          cell: this.#cell,
          lease: lease.value.lease,
          leaseTimes,
          revisions,
          ...grant,
        },
        requestedAt,
        wall,
      );
    });
  }

  /** Returns since when which revisions are known; by an earlier read, so that nothing is too old. */
  #readAges({recording}: ElectionRecords, now: Instant): RevisionAges {
    const storedBy = this.revisions.findSeenAt(recording?.modRevision ?? Infinity, now);
    return new RevisionAges(
      this.revisions,
      parseRecordingTerms(recording).knownRevisions,
      storedBy,
    );
  }

  /** Returns why the ownership can't be acquired, by the records. */
  #findObstacle({count, owner, owners}: ElectionRecords): AcquireFailure | undefined {
    const comparison = compareCellCount(this.#count, count);
    if (comparison !== 'same') {
      const message = count?.value.toString() ?? 'no number of cells is stored';
      return {kind: comparison === 'other' ? 'countChanged' : 'countMalformed', message};
    }
    const former = owners.find((each, cell) =>
      isOfOtherCount(this.#count, cell as CellIndex, each),
    );
    if (former !== undefined) {
      return {kind: 'formerCount', message: `${former.key}: ${former.value.toString()}`};
    }
    return owner && {kind: 'taken', message: owner.value.toString()};
  }

  /**
   * Returns when the ownership before had ended, and the earliest known instant after which no ownership before was confirmed under which a
   * minion lease may have been granted; `requestedAt` is after the read, in which there was no owner. The
   * acquisition fails if there was another one since. An owner writes the term with its key, so a later
   * removal is that of its key.
   */
  #findReleases(
    {recording, term}: ElectionRecords,
    requestedAt: Instant,
  ): Pick<FleetOwnership, 'formerReleasedAt' | 'lastReleasedAt'> {
    const lastReleasedAt = this.#releases.findSeenAt(
      (term?.modRevision ?? Infinity) + 1,
      requestedAt,
    );
    const {lastTerm, releasedForMs} = parseRecordingTerms(recording);
    if (typeof releasedForMs !== 'number' || lastTerm !== Number(term?.value.toString())) {
      return {formerReleasedAt: lastReleasedAt, lastReleasedAt};
    }
    const storedBy = this.revisions.findSeenAt(recording?.modRevision ?? Infinity, requestedAt);
    const formerReleasedAt = Math.min(lastReleasedAt, storedBy - releasedForMs) as Instant;
    return {formerReleasedAt, lastReleasedAt};
  }

  /**
   * Releases an ownership under which no minion lease was granted, and records that: for the next
   * owner the minions' leases are as the owner before left them.
   */
  async #releaseUnused({
    ages,
    formerLeaseTerm,
    formerReleasedAt,
    recordingSince,
    term,
    token,
  }: FleetOwnership): Promise<void> {
    const {clock, events, store} = this.#options;
    const now = clock.monotonic();
    const terms: RecordingTerms = {
      knownRevisions: ages.export(now),
      lastTerm: term,
      leaseTerm: formerLeaseTerm,
      releasedForMs: Math.floor(now - formerReleasedAt),
      since: recordingSince,
    };
    const released = await store.commit({
      compare: [{key: this.#keys.owner, kind: 'modRevision', modRevision: token}],
      then: [
        {key: this.#keys.recording, kind: 'put', value: Buffer.from(JSON.stringify(terms))},
        {key: this.#keys.owner, kind: 'delete'},
      ],
    });
    if (released.isErr()) {
      const {kind, message} = released.error;
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {kind, message, what: 'end of unused term'});
    }
  }

  async #revoke(lease: LeaseId): Promise<void> {
    const {events, store} = this.#options;
    const revoked = await repeatUntilAnswered(() => store.revokeLease(lease), {
      attempts: REVOKE_ATTEMPTS,
      pauseMs: REVOKE_RETRY_MS,
    });
    if (revoked.isErr()) {
      // The lease expires by itself, its time to live after the last renewal that is carried out.
      const {kind, message} = revoked.error;
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {kind, message, what: 'end of lease'});
    }
  }

  async #read(): Promise<Result<ElectionRecords, StoreFailure>> {
    const {store} = this.#options;
    const answer = await store.commit({
      compare: [],
      then: [
        {key: this.#keys.term, kind: 'get'},
        {key: this.#keys.recording, kind: 'get'},
        {key: CELL_COUNT_KEY, kind: 'get'},
        ...this.#listOwnerReads(),
      ],
    });
    return answer.map(({responses}) => {
      const [term = [], recording = [], count = [], ...found] = responses.map((each) =>
        each.kind === 'get' ? each.values : [],
      );
      const ownerByKey = new Map(found.flat().map((stored) => [stored.key, stored]));
      const owners = OWNER_KEYS.map((key) => ownerByKey.get(key));
      return {
        count: count[0],
        owner: owners[this.#cell],
        owners,
        recording: recording[0],
        term: term[0],
      };
    });
  }

  /** Returns the reads of the owners of all cells; each may be a call to the store. */
  #listOwnerReads(): readonly Operation[] {
    return this.#count.cells === 1
      ? [
          {key: this.#keys.owner, kind: 'get'},
          {key: CELLS_PREFIX, kind: 'get', prefix: true},
        ]
      : OWNER_KEYS.map((key) => ({key, kind: 'get'}));
  }

  async #write(
    lease: LeaseId,
    {count, recording, term: previous}: ElectionRecords,
    ages: RevisionAges,
  ): Promise<
    Result<Omit<OwnershipGrant, 'ages' | 'lease' | 'leaseTimes' | 'revisions'>, AcquireFailure>
  > {
    const {clock, events, store, vm} = this.#options;
    const term = previous === undefined ? 0 : Number(previous.value.toString()) + 1;
    const former = findFormerTerms(recording, term, events);
    const terms: RecordingTerms = {
      knownRevisions: ages.export(clock.monotonic()),
      lastTerm: term,
      since: former.recordingSince,
    };
    const {cells, ownersNameCells} = this.#count;
    const owner = JSON.stringify(ownersNameCells === true ? {cells, lease, vm} : {lease, vm});
    const written = await store.commit({
      compare: [
        {key: this.#keys.owner, kind: 'modRevision', modRevision: 0},
        {key: this.#keys.term, kind: 'modRevision', modRevision: previous?.modRevision ?? 0},
        {key: CELL_COUNT_KEY, kind: 'modRevision', modRevision: count?.modRevision ?? 0},
      ],
      then: [
        {key: this.#keys.owner, kind: 'put', lease, value: Buffer.from(owner)},
        {key: this.#keys.term, kind: 'put', value: Buffer.from(String(term))},
        {key: this.#keys.recording, kind: 'put', value: Buffer.from(JSON.stringify(terms))},
      ],
    });
    if (written.isOk()) {
      return written.value.succeeded
        ? ok({...former, term, token: written.value.revision as OwnershipToken})
        : err({kind: 'taken', message: 'another VM acquired the ownership first'});
    }
    if (written.error.kind !== 'unknown') {
      return err(written.error);
    }
    // The write may have been carried out; the key's value names the lease of the VM that won.
    const records = await this.#read();
    if (records.isErr()) {
      return err(records.error);
    }
    const found = records.value.owner;
    return found?.value.toString() === owner
      ? ok({...former, term, token: found.modRevision as OwnershipToken})
      : err(written.error);
  }
}

/** Returns the VM that a stored owner's key names; undefined if it is malformed. */
export function readOwnerVm({value}: StoredValue): undefined | VmId {
  const {vm} = (parseJson(value.toString()).unwrapOr(undefined) ?? {}) as {readonly vm?: VmId};
  return vm;
}

function parseRecordingTerms(recording: StoredValue | undefined): Partial<RecordingTerms> {
  const parsed = parseJson(recording?.value.toString() ?? '{}');
  return parsed.unwrapOr(undefined) ?? {};
}

/** Returns what an owner of `term` has to know of the terms before. */
function findFormerTerms(
  recording: StoredValue | undefined,
  term: number,
  events: EventSink,
): Required<Pick<OwnershipGrant, 'formerLeaseTerm' | 'recordingSince'>> {
  const unknown = {formerLeaseTerm: term - 1, recordingSince: term};
  if (recording === undefined) {
    return unknown;
  }
  const parsed = parseJson(recording.value.toString());
  if (parsed.isErr()) {
    events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: recording.key, message: parsed.error});
  }
  const {lastTerm, leaseTerm, since} = parseRecordingTerms(recording);
  return lastTerm === term - 1
    ? {formerLeaseTerm: leaseTerm ?? term - 1, recordingSince: since ?? term}
    : unknown;
}
