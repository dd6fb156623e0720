/** Chooses the addresses to keep links to, from seeds, the store's records and gossip. */

import type {DataCentreId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {KnownPeer} from '@nutmegproxy/schema';

import {createHash} from 'node:crypto';

import {LINKS_PER_DATA_CENTRE, MAX_KNOWN_PEERS} from './PeersConstants.ts';

/** Returns the weight of a pair of VMs; each VM prefers the peers with the highest weights. */
export function computePairWeight(own: VmId, other: string): string {
  return createHash('sha256').update(`${own}|${other}`).digest('hex');
}

/** Chooses LINKS_PER_DATA_CENTRE peers of another data centre by rendezvous hashing. */
export function chooseRemotePeers(own: VmId, peers: readonly KnownPeer[]): readonly KnownPeer[] {
  return peers
    .map((peer) => ({peer, weight: computePairWeight(own, peer.vm)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .slice(0, LINKS_PER_DATA_CENTRE)
    .map(({peer}) => peer);
}

export class DialTargets {
  readonly #known = new Map<string, KnownPeer>();
  readonly #own: NodeIdentity;
  readonly #seeds: readonly string[];
  #targets: readonly string[] = [];

  constructor(own: NodeIdentity, seeds: readonly string[]) {
    this.#own = own;
    this.#seeds = seeds;
  }

  /** Addresses to dial: the own data centre, chosen peers of the others and unresolved seeds. */
  addresses(): ReadonlySet<string> {
    const localAddresses: string[] = [];
    const remotePeers = new Map<string, KnownPeer[]>();
    for (const peer of this.#known.values()) {
      if (peer.dataCentre === this.#own.dataCentre) {
        localAddresses.push(peer.peerAddress);
      } else {
        remotePeers.set(peer.dataCentre, [...(remotePeers.get(peer.dataCentre) ?? []), peer]);
      }
    }
    const chosenPeers = [...remotePeers.values()].flatMap((peers) =>
      chooseRemotePeers(this.#own.vm, peers),
    );
    const unknownSeeds = this.#seeds.filter((seed) => !this.#known.has(seed));
    return new Set([
      ...this.#targets,
      ...unknownSeeds,
      ...localAddresses,
      ...chosenPeers.map(({peerAddress}) => peerAddress),
    ]);
  }

  /** Returns the known peers of all data centres. */
  knownPeers(): readonly KnownPeer[] {
    return [...this.#known.values()];
  }

  /** Removes an unreachable address; gossip adds it again if the peer is still running. */
  remove(peerAddress: string): void {
    this.#known.delete(peerAddress);
  }

  /** Adds a peer; drops the oldest beyond MAX_KNOWN_PEERS. */
  add(peer: KnownPeer): void {
    if (peer.vm === this.#own.vm) {
      return;
    }
    this.#known.delete(peer.peerAddress);
    this.#known.set(peer.peerAddress, peer);
    if (this.#known.size > MAX_KNOWN_PEERS) {
      const [oldest] = this.#known.keys();
      this.remove(oldest ?? '');
    }
  }

  setTargets(addresses: readonly string[]): void {
    this.#targets = addresses.slice(0, MAX_KNOWN_PEERS);
  }
}

/** Creates the entry of a peer that gossip announces. */
export function createKnownPeer(identity: NodeIdentity, peerAddress: string): KnownPeer {
  return {
    dataCentre: identity.dataCentre satisfies DataCentreId,
    peerAddress,
    vm: identity.vm,
  };
}
