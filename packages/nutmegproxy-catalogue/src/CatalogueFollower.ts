/** Keeps this process at the store's newest revision with few calls to the store. */

import type {EntryNode} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {PlatformStore, Watch} from '@nutmegproxy/store';

import type {CatalogueHead, CatalogueRepository} from './CatalogueRepository.ts';
import type {CatalogueState} from './CatalogueState.ts';

import {
  STORE_CHECK_INTERVAL_MS,
  STORE_RETRY_INTERVAL_MS,
  WATCHERS_PER_DATA_CENTRE,
} from './CatalogueConstants.ts';
import {CATALOGUE_EVENTS} from './CatalogueEvents.ts';
import {delayUnlessAborted} from './CatalogueUtils.ts';

/** Result of a read of the store. */
export type RefreshOutcome = 'current' | 'failed';

/** Reads the store at intervals, and immediately when a watch on the head reports a change. */
export class CatalogueFollower {
  #changed = new AbortController();
  readonly #closed = new AbortController();
  readonly #mesh: PeerMesh;
  readonly #node: EntryNode;
  readonly #repository: CatalogueRepository;
  readonly #state: CatalogueState;
  readonly #store: PlatformStore;
  #isStoreReachable = true;
  #watch: undefined | Watch;

  constructor(
    node: EntryNode,
    mesh: PeerMesh,
    store: PlatformStore,
    repository: CatalogueRepository,
    state: CatalogueState,
  ) {
    this.#mesh = mesh;
    this.#node = node;
    this.#repository = repository;
    this.#state = state;
    this.#store = store;
  }

  close(): void {
    this.#closed.abort();
    this.#watch?.close();
  }

  /** Reads the store's head and applies the changes up to it. */
  async refresh(): Promise<RefreshOutcome> {
    const head = await this.#repository.readHead();
    if (head.isErr()) {
      this.#reportFailure(head.error.message);
      return 'failed';
    }
    this.#isStoreReachable = true;
    return this.#catchUp(head.value);
  }

  /** Whether the last read of the store succeeded. */
  isStoreReachable(): boolean {
    return this.#isStoreReachable;
  }

  /** Refreshes in a loop until `close` is called. */
  async run(): Promise<void> {
    while (!this.#closed.signal.aborted) {
      this.#changed = new AbortController();
      this.#updateWatch();
      const outcome = await this.refresh();
      const delayMs = outcome === 'failed' ? STORE_RETRY_INTERVAL_MS : STORE_CHECK_INTERVAL_MS;
      await delayUnlessAborted(
        delayMs,
        AbortSignal.any([this.#closed.signal, this.#changed.signal]),
      );
    }
  }

  async #catchUp(head: CatalogueHead): Promise<RefreshOutcome> {
    const snapshot = this.#state.current();
    const stored = head.record?.revision ?? 0;
    if (stored < snapshot.revision) {
      const fields = {known: snapshot.revision, stored};
      this.#node.events.record(CATALOGUE_EVENTS.STORE_BEHIND, fields);
      return 'current';
    }
    if (stored === 0) {
      this.#state.markEmpty();
    }
    const delta = await this.#repository.readDelta(snapshot, head);
    if (delta.isErr()) {
      this.#reportFailure(delta.error.message);
      return 'failed';
    }
    if (delta.value !== undefined) {
      this.#state.install(delta.value, 'store');
    }
    return 'current';
  }

  /** Keeps a watch open while this VM is among the first, by id, of the linked ones of its data centre. */
  #updateWatch(): void {
    const {dataCentre, vm} = this.#node.identity;
    const linked = this.#mesh.peers().map(({identity}) => identity);
    const precedingPeers = linked.filter((each) => each.dataCentre === dataCentre && each.vm < vm);
    const shouldWatch = precedingPeers.length < WATCHERS_PER_DATA_CENTRE;
    if (!shouldWatch) {
      this.#watch?.close();
      this.#watch = undefined;
      return;
    }
    this.#watch ??= this.#store.watch(this.#repository.keys.head, 0, {
      onBroken: () => {
        this.#watch?.close();
        this.#watch = undefined;
        this.#changed.abort();
      },
      onEvents: () => {
        this.#changed.abort();
      },
    });
  }

  #reportFailure(message: string): void {
    if (this.#isStoreReachable) {
      this.#node.events.record(CATALOGUE_EVENTS.STORE_UNREACHABLE, {message});
    }
    this.#isStoreReachable = false;
  }
}
