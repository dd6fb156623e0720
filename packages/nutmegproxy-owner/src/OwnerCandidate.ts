/** Takes the ownership of the fleet whenever it is free, and owns it until it is lost. */

import type {Clock, EventSink, VmId} from '@nutmegproxy/core';
import type {PlatformStore, Watch} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {getKey} from '@nutmegproxy/store';

import type {Owner} from './Owner.ts';
import type {Tenure} from './Tenure.ts';

import {
  FOLLOW_RETRY_MS,
  HAND_OVER_LOOK_MS,
  TAKEOVER_RETRY_MS,
  TAKEOVER_SPREAD_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {choosePreferenceMs, shouldHandOver} from './OwnerPreference.ts';
import {OWNER_KEY, Ownership} from './Ownership.ts';

export interface CandidateOptions {
  readonly clock: Clock;
  readonly createOwner: (tenure: Tenure) => Owner;
  readonly events: EventSink;
  /** Whether this VM can own the fleet now; one without a configuration can't. */
  readonly isAble: () => boolean;
  /** Cores of the other entry VMs, as far as they are known. */
  readonly otherCores: () => readonly number[];
  /** Processor time of this VM in cores. */
  readonly ownCores: number;
  /** A number from 0 to 1. */
  readonly random: () => number;
  readonly store: PlatformStore;
  readonly vm: VmId;
}

export class OwnerCandidate {
  #isOwned = true;
  readonly #options: CandidateOptions;
  #owner: Owner | undefined;
  readonly #ownership: Ownership;
  #stopped = false;
  #tenure: Tenure | undefined;
  #wake: (() => void) | undefined;
  #watch: undefined | Watch;

  constructor(options: CandidateOptions) {
    this.#options = options;
    this.#ownership = new Ownership(options);
  }

  async run(): Promise<void> {
    void this.#follow();
    while (!this.#stopped) {
      if (this.#isOwned) {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
        continue;
      }
      const {isAble, otherCores, ownCores, random} = this.#options;
      const preferenceMs = choosePreferenceMs(ownCores, otherCores());
      await delay(preferenceMs + random() * TAKEOVER_SPREAD_MS);
      if (!this.#mayTake() || !isAble()) {
        await delay(TAKEOVER_RETRY_MS);
        continue;
      }
      await this.#takeOnce();
    }
  }

  /** Gives the ownership up, if this VM has it, and takes none any more. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#watch?.close();
    this.#owner?.stop('planned stop');
    if (this.#tenure !== undefined) {
      await this.#ownership.resign(this.#tenure, 'planned stop');
    }
  }

  #mayTake(): boolean {
    return !this.#isOwned && !this.#stopped;
  }

  async #follow(): Promise<void> {
    const {events, store} = this.#options;
    while (!this.#stopped) {
      const read = await store.commit({compare: [], then: [{key: OWNER_KEY, kind: 'get'}]});
      if (read.isErr()) {
        const {message} = read.error;
        events.record(OWNER_EVENTS.STORE_FOLLOW_FAILED, {message, what: 'owner'});
        await delay(FOLLOW_RETRY_MS);
        continue;
      }
      const first = read.value.responses[0];
      this.#note(first?.kind === 'get' && first.values.length > 0);
      await new Promise<void>((resolve) => {
        this.#watch = store.watch(OWNER_KEY, read.value.revision + 1, {
          onBroken: () => {
            this.#watch?.close();
            resolve();
          },
          onEvents: (changes) => {
            this.#note(changes.at(-1)?.kind === 'put');
          },
        });
      });
      await delay(FOLLOW_RETRY_MS);
    }
  }

  #note(isOwned: boolean): void {
    this.#isOwned = isOwned;
    this.#wake?.();
    this.#wake = undefined;
  }

  async #own(tenure: Tenure): Promise<void> {
    const {createOwner, events, vm} = this.#options;
    const {term, token: fence} = tenure;
    events.record(OWNER_EVENTS.OWNERSHIP_TAKEN, {fence, term, vm});
    this.#tenure = tenure;
    this.#owner = createOwner(tenure);
    void this.#ownership.renew(tenure);
    void this.#watchForLarger(this.#owner);
    const reason = await this.#owner.run();
    this.#owner = undefined;
    this.#tenure = undefined;
    if (!this.#stopped) {
      await this.#ownership.resign(tenure, reason);
    }
  }

  /** Gives the ownership up when a larger VM can take it. */
  async #watchForLarger(owner: Owner): Promise<void> {
    const {clock, otherCores, ownCores} = this.#options;
    const ownedSince = clock.monotonic();
    while (this.#owner === owner) {
      await delay(HAND_OVER_LOOK_MS);
      if (shouldHandOver(ownCores, otherCores(), clock.monotonic() - ownedSince)) {
        owner.stop('a larger VM is up');
        return;
      }
    }
  }

  async #takeOnce(): Promise<void> {
    const taken = await this.#ownership.take();
    if (taken.isOk()) {
      await this.#own(taken.value);
      await this.#refresh();
      return;
    }
    if (taken.error.kind === 'taken') {
      this.#isOwned = true;
      await this.#refresh();
      return;
    }
    const {kind, message} = taken.error;
    this.#options.events.record(OWNER_EVENTS.STORE_FOLLOW_FAILED, {kind, message, what: 'take'});
    await delay(TAKEOVER_RETRY_MS);
  }

  /** Reads who owns the fleet, since an event may have come while this VM tried. */
  async #refresh(): Promise<void> {
    while (!this.#stopped) {
      const read = await getKey(this.#options.store, OWNER_KEY);
      if (read.isOk()) {
        this.#note(read.value !== undefined);
        return;
      }
      await delay(TAKEOVER_RETRY_MS);
    }
  }
}
