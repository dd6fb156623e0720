/** The open links, at most one to each other process. */

import type {IncarnationId, NodeIdentity, VmId} from '@nutmegproxy/core';

import type {PeerLink} from './PeerLink.ts';

import {MAX_LINKS} from './PeersConstants.ts';

export class LinkTable {
  readonly #links = new Map<IncarnationId, PeerLink>();
  readonly #own: NodeIdentity;

  constructor(own: NodeIdentity) {
    this.#own = own;
  }

  /**
   * Adds a link and closes the one that it replaces. Returns false when the current link to the
   * same process is preferred, the table is full or the link leads to this process itself.
   */
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
    // Deleted first, so that the link is inserted last and `findByVm` finds the newest one.
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

  /** Returns the newest link to a VM. */
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
   * Both sides keep the link dialled by the process with the smaller incarnation, so that they
   * agree without a message. A second link from the same dialler replaces the first, which the
   * dialler must have lost.
   */
  #shouldReplace(link: PeerLink, current: PeerLink): boolean {
    const preferredRole =
      this.#own.incarnation < link.identity.incarnation ? 'dialler' : 'listener';
    return link.role === current.role || link.role === preferredRole;
  }
}
