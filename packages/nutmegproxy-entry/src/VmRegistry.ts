/** Registers this entry VM in the store under a lease, and lists the other registered VMs. */

import type {Clock, DataCentreId, EventSink, PlatformBounds, VmId} from '@nutmegproxy/core';
import type {RegisteredVm} from '@nutmegproxy/schema';
import type {LeaseId, PlatformStore, StoredValue} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {CELL_COUNT_KEY, parseJson} from '@nutmegproxy/owner';
import {isCallAddress} from '@nutmegproxy/scheduling';
import {validateRegisteredVm} from '@nutmegproxy/schema';
import {put} from '@nutmegproxy/store';

import {
  VM_FIRST_LIST_DELAY_MS,
  VM_LEASE_TTL_MS,
  VM_LIST_CONFIRMATION_MS,
  VM_LIST_INTERVAL_MS,
  VM_RENEWAL_INTERVAL_MS,
  VM_RENEWAL_RETRY_MS,
} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';
import {VmCensus} from './VmCensus.ts';

const VMS_PREFIX = `${STATE_PREFIX}vms/`;

/** An entry VM and the address at which it accepts callers' requests. */
export interface EntryVm {
  /** IP number and port. */
  readonly address: string;
  /** Whether it can own the fleet; absent in entries of former versions, which don't tell. */
  readonly canOwn?: boolean;
  /** Processor time in cores. */
  readonly cores: number;
  readonly dataCentre: DataCentreId;
  /** IP number and port at which it carries out orders for the owner; absent when it doesn't. */
  readonly relayAddress?: string;
  readonly vm: VmId;
}

export interface VmRegistryOptions {
  readonly bounds: Pick<PlatformBounds, 'minStoreLeaseMs'>;
  readonly clock: Clock;
  readonly events: EventSink;
  /** Receives the stored number of cells with each list; undefined when none is stored. */
  readonly onCellCount?: (stored: StoredValue | undefined) => void;
  readonly self: Omit<EntryVm, 'canOwn'>;
  readonly store: PlatformStore;
}

function isUsable(value: unknown): value is RegisteredVm {
  return (
    validateRegisteredVm(value) &&
    isCallAddress(value.address) &&
    (value.relayAddress === undefined || isCallAddress(value.relayAddress))
  );
}

export class VmRegistry {
  #canOwn = false;
  readonly #census: VmCensus;
  /** Whether the entry is certainly written under the lease. */
  #isWritten = false;
  #lease: LeaseId | undefined;
  readonly #options: VmRegistryOptions;
  #peers: readonly EntryVm[] = [];
  #stopped = false;
  #wake: () => void = () => undefined;

  constructor(options: VmRegistryOptions) {
    this.#census = new VmCensus(options.self);
    this.#options = options;
  }

  /** The other entry VMs, by the last successful read. */
  get peers(): readonly EntryVm[] {
    return this.#peers;
  }

  /** Whether callers are served better by another data centre; see `VmCensus`. */
  get leavesCallers(): boolean {
    return this.#census.leavesCallers;
  }

  /** Whether another VM is listed that can own the fleet. */
  get hasSuccessor(): boolean {
    return this.#peers.some(({canOwn = true}) => canOwn);
  }

  /** Tells the other VMs that this one can own the fleet. */
  announce(): void {
    this.#canOwn = true;
    this.#isWritten = false;
    this.#wake();
  }

  /** Removes this VM from the list. */
  async close(): Promise<void> {
    this.#stopped = true;
    if (this.#lease !== undefined) {
      const revoked = await this.#options.store.revokeLease(this.#lease);
      if (revoked.isErr()) {
        // The lease expires by itself; until then peers may forward requests to this VM, without
        // success.
        this.#reportFailure(revoked.error.message);
      }
    }
  }

  /** Keeps this VM registered and refreshes the list of peers until `close` is called. */
  run(): void {
    void this.#keepRegistered();
    // All VMs of a system start together, so they are registered only after a short delay.
    setTimeout(() => {
      void this.#refreshPeriodically();
    }, VM_FIRST_LIST_DELAY_MS).unref();
  }

  #decode({key, value}: StoredValue): EntryVm | undefined {
    const parsed = parseJson(value.toString());
    if (parsed.isOk() && isUsable(parsed.value)) {
      // The schema describes the same fields without branded ids.
      return parsed.value as unknown as EntryVm;
    }
    this.#options.events.record(ENTRY_EVENTS.VM_ENTRY_MALFORMED, {key});
    return undefined;
  }

  #formatEntry(): string {
    return JSON.stringify({...this.#options.self, canOwn: this.#canOwn});
  }

  #formatOwnKey(): string {
    return `${VMS_PREFIX}${this.#options.self.vm}`;
  }

  /** Reads the list of VMs. */
  async refresh(): Promise<void> {
    const {clock, events, onCellCount, self, store} = this.#options;
    const listed = await store.commit({
      compare: [],
      then: [
        {key: VMS_PREFIX, kind: 'get', prefix: true},
        {key: CELL_COUNT_KEY, kind: 'get'},
      ],
    });
    if (listed.isErr()) {
      // The last list stays in use: it is needed most while the store is unavailable.
      return;
    }
    const [entries = [], counts = []] = listed.value.responses.map((response) =>
      response.kind === 'get' ? response.values : [],
    );
    onCellCount?.(counts[0]);
    const ownKey = this.#formatOwnKey();
    const own = entries.find(({key}) => key === ownKey);
    if (own?.value.toString() !== this.#formatEntry()) {
      // A write of the process before may have put the entry under its own lease, which has ended, and an
      // earlier write of this one may have been carried out late.
      this.#isWritten = false;
    }
    this.#peers = entries
      .flatMap((stored) => this.#decode(stored) ?? [])
      .filter(({vm}) => vm !== self.vm);
    const didLeaveCallers = this.leavesCallers;
    this.#census.record(this.#peers, clock.monotonic());
    if (this.leavesCallers !== didLeaveCallers) {
      const fields = {leavesCallers: this.leavesCallers, vms: entries.length};
      events.record(ENTRY_EVENTS.CALLERS_LEFT, fields);
    }
  }

  async #refreshPeriodically(): Promise<void> {
    while (!this.#stopped) {
      await this.refresh();
      await delay(this.#census.isUnconfirmed ? VM_LIST_CONFIRMATION_MS : VM_LIST_INTERVAL_MS);
    }
  }

  async #keepRegistered(): Promise<void> {
    while (!this.#stopped) {
      const retryPause = delay(VM_RENEWAL_RETRY_MS);
      const isRegistered = await this.#renew();
      const announced = new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      await (isRegistered ? Promise.race([delay(VM_RENEWAL_INTERVAL_MS), announced]) : retryPause);
    }
  }

  /**
   * Renews the lease, or requests one, and writes the entry if it may not be written; returns whether this
   * VM is registered. Each attempt to write may be carried out late; the next read of the list shows that.
   */
  async #renew(): Promise<boolean> {
    const {bounds, store} = this.#options;
    if (this.#lease !== undefined) {
      const renewed = await store.keepLeaseAlive(this.#lease);
      if (renewed.isErr()) {
        return false;
      }
      if (renewed.value.ttlSeconds === 0) {
        this.#lease = undefined;
      }
    }
    if (this.#lease === undefined) {
      const ttlMs = Math.max(VM_LEASE_TTL_MS, bounds.minStoreLeaseMs);
      const granted = await store.grantLease(ttlMs / 1000);
      if (granted.isErr()) {
        this.#reportFailure(granted.error.message);
        return false;
      }
      this.#lease = granted.value.lease;
      this.#isWritten = false;
    }
    // A VM that stops meanwhile stays removed.
    return this.#isWritten || (!this.#stopped && (await this.#write(this.#lease)));
  }

  /** Writes the entry under the lease; returns whether it is written. */
  async #write(lease: LeaseId): Promise<boolean> {
    const {store} = this.#options;
    const entry = this.#formatEntry();
    const written = await put(store, this.#formatOwnKey(), Buffer.from(entry), lease);
    if (written.isErr()) {
      this.#reportFailure(written.error.message);
      return false;
    }
    this.#isWritten = entry === this.#formatEntry();
    return this.#isWritten;
  }

  #reportFailure(message: string): void {
    this.#options.events.record(ENTRY_EVENTS.VM_REGISTRATION_FAILED, {message});
  }
}
