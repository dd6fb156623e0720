/** The entry VMs that are up, each under a lease of its own in the store. */

import type {DataCentreId, EventSink, VmId} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {getPrefix, put} from '@nutmegproxy/store';

import {
  VM_FIRST_LIST_MS,
  VM_LEASE_TTL_MS,
  VM_LIST_PAUSE_MS,
  VM_RENEWAL_PAUSE_MS,
} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

const VMS_PREFIX = `${STATE_PREFIX}vms/`;

/** An entry VM and where it takes callers' requests. */
export interface EntryVm {
  /** IP number and port. */
  readonly address: string;
  /** Processor time in cores. */
  readonly cores: number;
  readonly dataCentre: DataCentreId;
  readonly vm: VmId;
}

export interface VmRegistryOptions {
  readonly events: EventSink;
  readonly self: EntryVm;
  readonly store: PlatformStore;
}

export class VmRegistry {
  #lease: LeaseId | undefined;
  readonly #options: VmRegistryOptions;
  #others: readonly EntryVm[] = [];
  #stopped = false;

  constructor(options: VmRegistryOptions) {
    this.#options = options;
  }

  /** The other entry VMs, as far as the store told. */
  get others(): readonly EntryVm[] {
    return this.#others;
  }

  /** Takes this VM off the list. */
  async close(): Promise<void> {
    this.#stopped = true;
    if (this.#lease !== undefined) {
      const revoked = await this.#options.store.revokeLease(this.#lease);
      if (revoked.isErr()) {
        // The lease ends by itself; until then peers may ask this VM in vain.
        this.#report(revoked.error.message);
      }
    }
  }

  /** Keeps this VM on the list and follows the others until it is closed. */
  run(): void {
    void this.#repeat(VM_RENEWAL_PAUSE_MS, () => this.#renew());
    // All VMs of a system start together: they are on the list a little later.
    setTimeout(() => {
      void this.#repeat(VM_LIST_PAUSE_MS, () => this.#refresh());
    }, VM_FIRST_LIST_MS).unref();
  }

  async #refresh(): Promise<void> {
    const {self, store} = this.#options;
    const listed = await getPrefix(store, VMS_PREFIX);
    if (listed.isErr()) {
      // The last list stays in use: it is needed most while the store is away.
      return;
    }
    this.#others = listed.value.values
      .map(({value}) => JSON.parse(value.toString()) as EntryVm)
      .filter(({vm}) => vm !== self.vm);
  }

  async #register(): Promise<void> {
    const {self, store} = this.#options;
    const granted = await store.grantLease(VM_LEASE_TTL_MS / 1000);
    if (granted.isErr()) {
      this.#report(granted.error.message);
      return;
    }
    const {lease} = granted.value;
    const value = Buffer.from(JSON.stringify(self));
    const written = await put(store, `${VMS_PREFIX}${self.vm}`, value, lease);
    if (written.isErr()) {
      this.#report(written.error.message);
      return;
    }
    this.#lease = lease;
  }

  async #renew(): Promise<void> {
    if (this.#lease === undefined) {
      await this.#register();
      return;
    }
    const kept = await this.#options.store.keepLeaseAlive(this.#lease);
    if (kept.isOk() && kept.value.ttlSeconds === 0) {
      this.#lease = undefined;
      await this.#register();
    }
  }

  async #repeat(pauseMs: number, act: () => Promise<void>): Promise<void> {
    while (!this.#stopped) {
      await act();
      await delay(pauseMs);
    }
  }

  #report(message: string): void {
    this.#options.events.record(ENTRY_EVENTS.VM_NOT_LISTED, {message});
  }
}
