/** The open links, one per pair of processes. */

import type {IncarnationId, NodeIdentity, VmId} from '@nutmegproxy/core';

import type {PeerLink} from './PeerLink.ts';

import {MAX_LINKS} from './PeersConstants.ts';

export class LinkTable {
  readonly #links = new Map<IncarnationId, PeerLink>();
  readonly #own: NodeIdentity;

  constructor(own: NodeIdentity) {
    this.#own = own;
  }

  /** Takes in a link unless a better one to the same process is open; closes the worse one. */
  add(link: PeerLink): boolean {
    const key = link.identity.incarnation;
    const current = this.#links.get(key);
    const isFull = current === undefined && this.#links.size >= MAX_LINKS;
    if (
      key === this.#own.incarnation ||
      isFull ||
      (current && !this.#shouldReplace(link, current))
    ) {
      return false;
    }
    // Set anew, so that the link stands last and `byVm` finds the newest one.
    this.#links.delete(key);
    this.#links.set(key, link);
    current?.close();
    return true;
  }

  list(): readonly PeerLink[] {
    return [...this.#links.values()];
  }

  findByIncarnation(incarnation: IncarnationId): PeerLink | undefined {
    return this.#links.get(incarnation);
  }

  /** The newest link to a VM. */
  findByVm(vm: VmId): PeerLink | undefined {
    return this.list().findLast((link) => link.identity.vm === vm);
  }

  hasAddress(peerAddress: string): boolean {
    return this.list().some((link) => link.peerAddress === peerAddress);
  }

  remove(link: PeerLink): void {
    if (this.#links.get(link.identity.incarnation) === link) {
      this.#links.delete(link.identity.incarnation);
    }
  }

  /**
   * Both sides keep the link that the smaller incarnation dialled, so that they agree without a
   * message. A second link of the same dialler replaces the first, which it must have lost.
   */
  #shouldReplace(link: PeerLink, current: PeerLink): boolean {
    const preferredRole =
      this.#own.incarnation < link.identity.incarnation ? 'dialler' : 'listener';
    return link.role === current.role || link.role === preferredRole;
  }
}
