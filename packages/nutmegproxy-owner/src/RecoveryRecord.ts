/**
 * Stores which minions an owner uses and what it still awaits from former owners, so that an owner
 * that is killed loses nothing of what its successor has to know. An owner sends a minion starts
 * only once the stored record names the minion as used. So whatever the owners after the writer of
 * the record did, until another one replaced it, they started nothing.
 *
 * They may have renewed leases: running work would expire if an owner whose store is unavailable
 * renewed none. So a stored expiry of a lease holds only for the owner after its writer, and an owner
 * that has stored one renews that lease only once the record names the minion as used.
 */

import type {Clock, EventSink, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {TrustSnapshot} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {after} from '@nutmegproxy/core';
import {formatRecordKey} from '@nutmegproxy/jobs';
import {parseTrustSnapshot} from '@nutmegproxy/scheduling';
import {err, ok} from 'neverthrow';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {WriteOutcome} from './OwnerRecord.ts';
import type {SilentMinionRecord} from './RosterEntry.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerRecord} from './OwnerRecord.ts';
import {RecordWriter} from './RecordWriter.ts';
import {parseJson} from './StoredJson.ts';

/** What is known of a minion on which former owners may have left runs. */
export interface FormerUse {
  /** When its lease has certainly expired, by the clock of this process. */
  readonly expiresAt?: Instant | undefined;
  /** Last term in which an owner may have started runs on the minion. */
  readonly lastTerm: number;
  /** Last term in which an owner may have renewed its lease. */
  readonly leaseTerm: number;
  /** Runs that it may have; undefined when any may be there. */
  readonly runs?: SilentMinionRecord['runs'] | undefined;
}

/** A minion that may have runs of former owners and that the writer of the record has not used. */
export interface AwaitedMinion extends Omit<FormerUse, 'expiresAt'> {
  /**
   * Time in milliseconds after which its lease has certainly expired, counted from the write of the
   * record; absent in records of earlier versions.
   */
  readonly heldForMs?: number | undefined;
  /** The same by the wall clock of the writer; only for owners of earlier versions. */
  readonly heldUntil?: undefined | WallTime;
  readonly id: MinionId;
}

/** A minion that the writer of the record does not trust; its times count from the write. */
export interface UntrustedMinion extends TrustSnapshot {
  readonly id: MinionId;
}

/** What a former owner stored of a minion that it did not trust. */
export interface FormerTrust {
  readonly snapshot: TrustSnapshot;
  readonly storedBy: Instant;
}

/** Stored value. A minion that is neither awaited nor used has no run of the writer's term or an earlier one. */
interface StoredRecovery {
  readonly awaited: readonly AwaitedMinion[];
  readonly term: number;
  readonly untrusted: readonly UntrustedMinion[];
  /** Minions that the writer may have used. */
  readonly used: readonly MinionId[];
}

export interface RecoveryRecordOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly onFenced: () => void;
  readonly ownership: FleetOwnership;
  readonly store: PlatformStore;
}

export class RecoveryRecord {
  #former: ReadonlyMap<MinionId, FormerUse> | undefined;
  #formerTrust: ReadonlyMap<MinionId, FormerTrust> = new Map();
  #isMalformed = false;
  readonly #key: string;
  readonly #options: RecoveryRecordOptions;
  readonly #record: OwnerRecord;
  readonly #used = new Set<MinionId>();
  /** Returns the minions that this owner has not used and that may have runs of former owners. */
  listAwaited: () => readonly AwaitedMinion[] = () => [];
  /** Returns the minions that this owner does not trust. */
  listUntrusted: () => readonly UntrustedMinion[] = () => [];
  readonly #writer: RecordWriter;

  constructor(options: RecoveryRecordOptions) {
    this.#key = formatRecordKey('recovery', options.ownership.cell);
    this.#options = options;
    this.#record = new OwnerRecord({...options, key: this.#key});
    this.#writer = new RecordWriter({
      onFenced: options.onFenced,
      write: () => this.#write(),
    });
  }

  close(): void {
    this.#writer.close();
  }

  /**
   * Returns what the former owners recorded of a minion of their roster; undefined when none of them
   * can have left a run there.
   */
  findFormerUse(id: MinionId): FormerUse | undefined {
    const {formerLeaseTerm, recordingSince, term} = this.#options.ownership;
    // Any former owner may have used any minion when what they recorded can't be read.
    const lastTerm = (this.#isMalformed ? term : recordingSince) - 1;
    return this.#former === undefined
      ? {lastTerm, leaseTerm: formerLeaseTerm}
      : this.#former.get(id);
  }

  /** Returns what the last owner that wrote the record knew of a minion that it did not trust. */
  findFormerTrust(id: MinionId): FormerTrust | undefined {
    return this.#formerTrust.get(id);
  }

  /** Reads what the former owners recorded. */
  async read(): Promise<Result<void, StoreFailure>> {
    const {clock, ownership} = this.#options;
    const stored = await this.#record.read();
    if (stored.isErr()) {
      return err(stored.error);
    }
    if (stored.value !== undefined) {
      const former = parseRecovery(stored.value.value.toString());
      this.#isMalformed = former === undefined;
      if (former === undefined) {
        const message = 'term, awaited or used is missing or malformed';
        this.#options.events.record(OWNER_EVENTS.RECORD_MALFORMED, {key: this.#key, message});
        return ok(undefined);
      }
      // An owner of an earlier version may have used any minion after the record was written.
      const isCurrent = former.term >= ownership.recordingSince;
      const now = clock.monotonic();
      const storedBy = ownership.revisions.findSeenAt(stored.value.modRevision, now);
      this.#former = isCurrent
        ? indexFormerUses(former, ownership.formerLeaseTerm, storedBy)
        : undefined;
      const trustedBy = ownership.ages.findSeenAt(stored.value.modRevision, now);
      this.#formerTrust = isCurrent ? indexFormerTrust(former, trustedBy) : new Map();
    }
    return ok(undefined);
  }

  /** Records that this owner uses a minion; resolves once that is stored. */
  recordUse(id: MinionId): Promise<void> {
    if (this.#used.has(id)) {
      return this.#writer.flush();
    }
    this.#used.add(id);
    return this.#writer.change();
  }

  /** Forgets a minion on which nothing runs any more. */
  remove(id: MinionId): void {
    if (this.#used.delete(id)) {
      void this.update();
    }
  }

  /** Stores the awaited minions as they are now. */
  update(): Promise<void> {
    return this.#writer.change();
  }

  /** Tries once to write the record as it is now. */
  #write(): Promise<WriteOutcome> {
    const record: StoredRecovery = {
      awaited: this.listAwaited(),
      term: this.#options.ownership.term,
      untrusted: this.listUntrusted(),
      used: [...this.#used],
    };
    return this.#record.write(Buffer.from(JSON.stringify(record)));
  }
}

function parseRecovery(text: string): StoredRecovery | undefined {
  const stored = (parseJson(text).unwrapOr(null) ?? {}) as Partial<StoredRecovery>;
  const {awaited, term, untrusted, used} = stored;
  return Array.isArray(awaited) &&
    awaited.every(isNamed) &&
    Array.isArray(used) &&
    term !== undefined
    ? {awaited, term, untrusted: parseUntrusted(untrusted), used}
    : undefined;
}

/** Whether an entry names a minion. */
function isNamed(entry: unknown): boolean {
  return typeof (Object(entry) as {readonly id?: unknown}).id === 'string';
}

/** Returns the well-formed entries; none in records of earlier versions. */
function parseUntrusted(stored: unknown): readonly UntrustedMinion[] {
  const entries: readonly unknown[] = Array.isArray(stored) ? stored : [];
  return entries.flatMap((entry) => {
    const snapshot = parseTrustSnapshot(entry);
    return snapshot === undefined || !isNamed(entry)
      ? []
      : [{...snapshot, id: (entry as UntrustedMinion).id}];
  });
}

function indexFormerTrust(
  {untrusted}: StoredRecovery,
  storedBy: Instant,
): ReadonlyMap<MinionId, FormerTrust> {
  return new Map(untrusted.map(({id, ...snapshot}) => [id, {snapshot, storedBy}]));
}

/**
 * Returns what is known of each minion. The owners after the writer stored nothing, and those after
 * `formerLeaseTerm`, which the writer may be one of, granted no lease. Durations count from `storedBy`.
 */
function indexFormerUses(
  {awaited, term, used}: StoredRecovery,
  formerLeaseTerm: number,
  storedBy: Instant,
): ReadonlyMap<MinionId, FormerUse> {
  const isLatest = term >= formerLeaseTerm;
  return new Map<MinionId, FormerUse>([
    ...awaited.map(({heldForMs, id, lastTerm, leaseTerm, runs}) => {
      const expiresAt = typeof heldForMs === 'number' ? after(storedBy, heldForMs) : undefined;
      const leases = isLatest
        ? {expiresAt, leaseTerm: Math.min(leaseTerm, formerLeaseTerm)}
        : {leaseTerm: formerLeaseTerm};
      return [id, {lastTerm, runs, ...leases}] as const;
    }),
    ...used.map((id) => [id, {lastTerm: term, leaseTerm: formerLeaseTerm}] as const),
  ]);
}
