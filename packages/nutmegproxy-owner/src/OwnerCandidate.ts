/** Acquires the ownership of the fleet whenever it is free and runs the owner until it is lost. */

import type {Clock, EventKind, EventSink, Instant, VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {LeaseTimes} from '@nutmegproxy/scheduling';
import type {PlatformStore, StoredValue, Watch} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {FIRST_CELL, formatOwnerKey} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {Owner} from './Owner.ts';
import type {RevisionLog} from './RevisionLog.ts';
import type {KnownCellCount} from './StoredCellCount.ts';

import {
  CAN_OWN_CHECK_INTERVAL_MS,
  HANDOVER_CHECK_INTERVAL_MS,
  STORE_RETRY_MS,
  TAKEOVER_JITTER_MS,
  TAKEOVER_RETRY_MS,
} from './OwnerConstants.ts';
import {OwnerElection, readOwnerVm} from './OwnerElection.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {chooseSpreadDelayMs, chooseTakeoverDelayMs, shouldHandOver} from './OwnerPreference.ts';
import {CELL_COUNT_KEY} from './StoredCellCount.ts';

export interface CandidateOptions {
  /** Whether this VM can own the fleet now; a VM without a configuration can't. */
  readonly canOwn: () => boolean;
  /** The part of the fleet that is to be owned; default: the first one. */
  readonly cell?: CellIndex;
  /** Largest number of cells that a larger VM owns; default: none. */
  readonly cellsOfLarger?: () => number;
  readonly clock: Clock;
  /** The number of cells that this VM goes by; default: that of a fleet which is not divided. */
  readonly count?: KnownCellCount;
  readonly createOwner: (ownership: FleetOwnership) => Owner;
  readonly events: EventSink;
  /** Whether a cell is known to have an owner under another number of cells; default: none. */
  readonly isBlocked?: () => boolean;
  readonly leaseTimes: LeaseTimes;
  /** Called when another number of cells is stored than this VM goes by. */
  readonly onCountChange?: () => void;
  /** Called when another owner of the cell is known than before. */
  readonly onOwnerChange?: () => void;
  /** Number of other cells that this VM owns or tries to acquire; default: none. */
  readonly otherCells?: () => number;
  /** Cores of each other entry VM that is known. */
  readonly otherCores: () => readonly number[];
  /** Processor capacity of this VM in cores. */
  readonly ownCores: number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
  /** When this process knew which state of the store; default: by the changes of ownership alone. */
  readonly revisions?: RevisionLog;
  readonly store: PlatformStore;
  readonly vm: VmId;
}

export class OwnerCandidate {
  #isAcquiring = false;
  #isOwned = true;
  readonly #options: CandidateOptions;
  #owner: Owner | undefined;
  readonly #election: OwnerElection;
  readonly #ownerKey: string;
  #ownerValue: StoredValue | undefined;
  #ownerVm: undefined | VmId;
  readonly #reported = new Set<EventKind>();
  #stopped = false;
  #stopReason = '';
  #ownership: FleetOwnership | undefined;
  #wake: (() => void) | undefined;
  #watch: undefined | Watch;

  constructor(options: CandidateOptions) {
    this.#options = options;
    this.#election = new OwnerElection(options);
    this.#ownerKey = formatOwnerKey(options.cell ?? FIRST_CELL);
  }

  /** Whether this VM owns the cell or tries to acquire it. */
  get isEngaged(): boolean {
    return this.#isAcquiring || this.#owner !== undefined;
  }

  /** Whether the next owner of the cell would begin little anew; true if this VM doesn't own it. */
  get mayHandOver(): boolean {
    return this.#owner?.isSettled !== false;
  }

  /** The stored value of the owner's key, as far as this VM knows. */
  get ownerValue(): StoredValue | undefined {
    return this.#ownerValue;
  }

  /** The VM that owns the cell, as far as this one knows. */
  get ownerVm(): undefined | VmId {
    return this.#ownerVm;
  }

  /** When this VM acquired the ownership that it has; undefined without one. */
  get ownedSince(): Instant | undefined {
    return this.#ownership?.requestedAt;
  }

  /** Whether the cell has an owner, and this VM knows which one it is. */
  get isOwnerKnown(): boolean {
    const isOwn = this.#ownerVm === this.#options.vm;
    return this.#ownerVm !== undefined && isOwn === (this.#ownership !== undefined);
  }

  /** Lets the owner of the cell, if this VM is it, start nothing any more. */
  windDown(): void {
    this.#owner?.windDown();
  }

  /** Ends the ownership if this VM has it; the cell is then free. */
  release(reason: string): void {
    this.#owner?.stop(reason);
  }

  async run(): Promise<void> {
    void this.#watchOwner();
    while (!this.#stopped) {
      if (this.#isOwned) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      const {canOwn, isBlocked, otherCores, ownCores, random} = this.#options;
      // The delays of all VMs have to begin with the same event, or they would not order them.
      if (!canOwn() || isBlocked?.() === true) {
        await delay(CAN_OWN_CHECK_INTERVAL_MS);
        continue;
      }
      const takeoverDelayMs = chooseTakeoverDelayMs(ownCores, otherCores());
      await delay(takeoverDelayMs + random() * TAKEOVER_JITTER_MS);
      // By now an owner that has ended is known not to own the other cells either.
      await this.#leaveToOthers();
      if (this.#canAcquire()) {
        this.#isAcquiring = true;
        await this.#tryAcquire();
        this.#isAcquiring = false;
      }
    }
  }

  /** Releases the ownership if this VM has it, and doesn't acquire it again. */
  async stop(reason = 'planned stop'): Promise<void> {
    this.#stopped = true;
    this.#stopReason = reason;
    this.#watch?.close();
    this.#wake?.();
    this.#owner?.stop(reason);
    if (this.#ownership !== undefined) {
      await this.#election.resign(this.#ownership, reason);
    }
  }

  #canAcquire(): boolean {
    return !this.#isOwned && !this.#stopped;
  }

  /**
   * Waits for VMs that own fewer cells. What this VM owns is counted again after each delay: on a VM with little
   * processor time the delays of several cells end in one turn of the event loop.
   */
  async #leaveToOthers(): Promise<void> {
    const {cellsOfLarger, otherCells} = this.#options;
    for (let waitedMs = 0; ;) {
      const delayMs = chooseSpreadDelayMs(otherCells?.() ?? 0, cellsOfLarger?.()) - waitedMs;
      if (delayMs <= 0) {
        return;
      }
      await delay(delayMs);
      waitedMs += delayMs;
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
  }

  async #watchOwner(): Promise<void> {
    const {clock, events, store} = this.#options;
    const {revisions} = this.#election;
    while (!this.#stopped) {
      const read = await store.commit({compare: [], then: [{key: this.#ownerKey, kind: 'get'}]});
      if (read.isErr()) {
        const {message} = read.error;
        events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'owner'});
        await delay(STORE_RETRY_MS);
        continue;
      }
      if (this.#isStopped()) {
        return;
      }
      revisions.record(read.value.revision, clock.monotonic());
      const first = read.value.responses[0];
      this.#setOwner(first?.kind === 'get' ? first.values[0] : undefined);
      await new Promise<void>((resolve) => {
        this.#watch = store.watch(this.#ownerKey, read.value.revision + 1, {
          onBroken: () => {
            this.#watch?.close();
            resolve();
          },
          onEvents: (changes, revision) => {
            const now = clock.monotonic();
            revisions.record(revision, now);
            for (const change of changes) {
              if (change.kind === 'delete' && change.key === this.#ownerKey) {
                this.#election.recordRelease(change.modRevision, now);
              }
            }
            const last = changes.at(-1);
            this.#setOwner(last?.kind === 'put' ? last.stored : undefined);
          },
        });
      });
      await delay(STORE_RETRY_MS);
    }
  }

  /** Records the stored value of the owner's key; undefined when there is no owner. */
  #setOwner(stored: StoredValue | undefined): void {
    this.#isOwned = stored !== undefined;
    this.#ownerValue = stored;
    this.#ownerVm = stored === undefined ? undefined : readOwnerVm(stored);
    this.#wake?.();
    this.#wake = undefined;
    this.#options.onOwnerChange?.();
  }

  async #runOwner(ownership: FleetOwnership): Promise<void> {
    const {createOwner} = this.#options;
    this.#ownership = ownership;
    this.#owner = createOwner(ownership);
    void this.#election.renew(ownership);
    void this.#watchForLargerVm(this.#owner);
    const reason = await this.#owner.run();
    this.#owner = undefined;
    this.#ownership = undefined;
    if (!this.#stopped) {
      await this.#election.resign(ownership, reason);
    }
  }

  /** Releases the ownership when a larger VM can acquire it. */
  async #watchForLargerVm(owner: Owner): Promise<void> {
    const {clock, otherCores, ownCores} = this.#options;
    const ownedSince = clock.monotonic();
    while (this.#owner === owner) {
      await delay(HANDOVER_CHECK_INTERVAL_MS);
      if (shouldHandOver(ownCores, otherCores(), clock.monotonic() - ownedSince)) {
        owner.stop('a larger VM is up');
        return;
      }
    }
  }

  async #tryAcquire(): Promise<void> {
    const {events, onCountChange, vm} = this.#options;
    const acquired = await this.#election.acquire();
    if (acquired.isOk()) {
      const {cell, term, token: fence} = acquired.value;
      events.record(OWNER_EVENTS.OWNERSHIP_ACQUIRED, {cell, fence, term, vm});
      // An owner in a process that is about to exit would only delay the takeover by another VM.
      await (this.#stopped
        ? this.#election.resign(acquired.value, this.#stopReason)
        : this.#runOwner(acquired.value));
      await this.#readOwner();
      return;
    }
    if (acquired.error.kind === 'taken') {
      this.#isOwned = true;
      await this.#readOwner();
      return;
    }
    const {kind, message} = acquired.error;
    if (kind === 'countChanged') {
      onCountChange?.();
    } else if (kind === 'formerCount') {
      this.#reportOnce(OWNER_EVENTS.FORMER_CELL_COUNT, message);
    } else if (kind === 'countMalformed') {
      this.#reportOnce(OWNER_EVENTS.RECORD_MALFORMED, message);
    } else {
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {kind, message, what: 'take'});
    }
    await delay(TAKEOVER_RETRY_MS);
  }

  /** Reports once why the number of cells does not allow to acquire the cell; attempts go on. */
  #reportOnce(kind: EventKind, message: string): void {
    const {cell, events, vm} = this.#options;
    if (!this.#reported.has(kind)) {
      events.record(kind, {cell, key: CELL_COUNT_KEY, message, vm});
      this.#reported.add(kind);
    }
  }

  /** Reads whether the fleet has an owner, since that may have changed during the attempt. */
  async #readOwner(): Promise<void> {
    while (!this.#stopped) {
      const read = await getKey(this.#options.store, this.#ownerKey);
      if (read.isOk()) {
        this.#setOwner(read.value);
        return;
      }
      await delay(TAKEOVER_RETRY_MS);
    }
  }
}
