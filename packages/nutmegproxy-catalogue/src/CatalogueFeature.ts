/** Registers the catalogue feature: its state, follower, exchange and changes. */

import type {EntryNode, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDirectory} from '@nutmegproxy/workers';

import {mergeUnregister, PRIORITY_LOW} from '@nutmegproxy/core';

import type {SnapshotSource} from './CatalogueState.ts';

import {CatalogueChanges} from './CatalogueChanges.ts';
import {CatalogueConfirmer} from './CatalogueConfirmation.ts';
import {EXCHANGE_INTERVAL_MS, INITIAL_EXCHANGE_INTERVAL_MS} from './CatalogueConstants.ts';
import {CatalogueExchange} from './CatalogueExchange.ts';
import {CatalogueFollower} from './CatalogueFollower.ts';
import {registerCatalogueMetrics} from './CatalogueMetrics.ts';
import {CatalogueRepository} from './CatalogueRepository.ts';
import {CatalogueState} from './CatalogueState.ts';
import {delayUnlessAborted} from './CatalogueUtils.ts';
import {CATALOGUE_CHANGED} from './CatalogueView.ts';

export interface CatalogueServices {
  /** Lists the entry VMs that must apply a change; without it, only linked peers are known. */
  readonly directory?: VmDirectory;
  /** Prefix of all keys in the store. */
  readonly keyPrefix: string;
  /** Returns the processes in the data centre's membership record, linked or not. */
  readonly members: () => readonly NodeIdentity[];
  readonly mesh: PeerMesh;
  readonly store: PlatformStore;
}

/** The parts of the catalogue that other features use. */
export interface CatalogueFeature {
  readonly changes: CatalogueChanges;
  readonly confirmer: CatalogueConfirmer;
  /** Whether the last read of the store succeeded. */
  readonly isStoreReachable: () => boolean;
  readonly repository: CatalogueRepository;
  readonly source: SnapshotSource;
  readonly unregister: Unregister;
}

async function runExchange(
  state: CatalogueState,
  exchange: CatalogueExchange,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const isKnown = state.current().revision > 0;
    exchange.announceToNextPeer();
    await delayUnlessAborted(isKnown ? EXCHANGE_INTERVAL_MS : INITIAL_EXCHANGE_INTERVAL_MS, signal);
  }
}

/**
 * Registers the catalogue on a node and starts following the store and the peers.
 *
 * @example
 * const catalogue = registerCatalogue(node, {keyPrefix: '/nutmegproxy', members, mesh, store});
 * catalogue.source.current().revision;
 */
export function registerCatalogue(node: EntryNode, services: CatalogueServices): CatalogueFeature {
  const {directory, keyPrefix, members, mesh, store} = services;
  const closed = new AbortController();
  const repository = new CatalogueRepository(store, keyPrefix);
  const state = new CatalogueState(node);
  const exchange = new CatalogueExchange(node, mesh, state, members);
  const follower = new CatalogueFollower(node, mesh, store, repository, state);
  const announce = (): boolean => {
    exchange.announce();
    return false;
  };
  const unregister = mergeUnregister(
    exchange.register(),
    // Low priority, so that the revision is announced after the other handlers have applied it.
    node.bus.register(CATALOGUE_CHANGED, announce, PRIORITY_LOW),
    registerCatalogueMetrics(node, state),
    () => {
      closed.abort();
      follower.close();
    },
  );
  void follower.run();
  void runExchange(state, exchange, closed.signal);
  return {
    changes: new CatalogueChanges(node, {follower, repository, state}),
    confirmer: new CatalogueConfirmer(node, {directory, exchange, mesh}),
    isStoreReachable: () => follower.isStoreReachable(),
    repository,
    source: state,
    unregister,
  };
}
