/** Exchanges applied revisions with peers and fetches missing ones from them. */

import type {EntryNode, NodeIdentity, TeamId, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {AppliedList, CataloguePage, CatalogueQuery, TeamPart} from '@nutmegproxy/schema';

import {brand, mergeUnregister} from '@nutmegproxy/core';
import {
  validateAppliedList,
  validateAppliedRevision,
  validateCataloguePage,
  validateCatalogueQuery,
} from '@nutmegproxy/schema';

import type {CatalogueDelta, CatalogueSnapshot} from './CatalogueSnapshot.ts';
import type {CatalogueState} from './CatalogueState.ts';

import {AppliedRevisions} from './AppliedRevisions.ts';
import {MAX_PAGES, PAGE_BYTES, PEER_TIMEOUT_MS} from './CatalogueConstants.ts';
import {CATALOGUE_EVENTS} from './CatalogueEvents.ts';

export const APPLIED_MESSAGE_TYPE = 'catalogue.applied';
export const APPLIED_QUERY_MESSAGE_TYPE = 'catalogue.appliedQuery';
export const PAGE_MESSAGE_TYPE = 'catalogue.page';

function selectPage(teams: readonly TeamPart[]): readonly TeamPart[] {
  const page: TeamPart[] = [];
  let bytes = 0;
  for (const part of teams) {
    bytes += JSON.stringify(part).length;
    if (page.length > 0 && bytes > PAGE_BYTES) {
      break;
    }
    page.push(part);
  }
  return page;
}

/**
 * Builds the page of a snapshot that a query requests. A query that continues a revision other than
 * the snapshot's gets the first page of the snapshot's revision.
 */
export function buildPage(snapshot: CatalogueSnapshot, query: CatalogueQuery): CataloguePage {
  const delta = snapshot.deltaSince(query.since);
  const resumeAfter = query.revision === snapshot.revision ? query.after : undefined;
  const sorted = [...delta.teams].sort((a, b) => (a.team.id < b.team.id ? -1 : 1));
  const remaining =
    resumeAfter === undefined ? sorted : sorted.filter(({team}) => team.id > resumeAfter);
  const teams = selectPage(remaining);
  const last = teams.at(-1)?.team.id;
  return {
    record: delta.record,
    removed: [...delta.removed],
    since: delta.since,
    teams: [...teams],
    ...(delta.plans === undefined ? {} : {plans: delta.plans}),
    ...(last !== undefined && teams.length < remaining.length ? {next: last} : {}),
  };
}

function mergePages(pages: readonly CataloguePage[]): CatalogueDelta | undefined {
  const last = pages.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const {plans, record, removed, since} = last;
  return {
    record,
    removed: removed.map((team) => brand<TeamId>(team)),
    since,
    teams: pages.flatMap((page) => page.teams),
    ...(plans === undefined ? {} : {plans}),
  };
}

/** Announces revisions to peers, fetches newer ones from them and handles their queries. */
export class CatalogueExchange {
  readonly applied = new AppliedRevisions();
  #isFetching = false;
  readonly #members: () => readonly NodeIdentity[];
  readonly #mesh: PeerMesh;
  readonly #node: EntryNode;
  #nextPeer = 0;
  readonly #state: CatalogueState;

  constructor(
    node: EntryNode,
    mesh: PeerMesh,
    state: CatalogueState,
    members: () => readonly NodeIdentity[],
  ) {
    this.#members = members;
    this.#mesh = mesh;
    this.#node = node;
    this.#state = state;
    this.applied.record(node.identity, 0);
  }

  /** Announces this process's applied revision to all linked peers. */
  announce(): void {
    const {revision} = this.#state.current();
    this.applied.record(this.#node.identity, revision);
    this.#mesh.broadcast({body: {revision}, type: APPLIED_MESSAGE_TYPE});
  }

  /** Announces the applied revision to one linked peer in turn, in case an announcement was lost. */
  announceToNextPeer(): void {
    const peers = this.#mesh.peers();
    const peer = peers[this.#nextPeer % Math.max(1, peers.length)];
    this.#nextPeer += 1;
    if (peer !== undefined) {
      const {revision} = this.#state.current();
      this.#mesh.send(peer.identity.vm, {body: {revision}, type: APPLIED_MESSAGE_TYPE});
    }
  }

  /** Queries a peer for the applied revisions in its data centre; undefined if that fails. */
  async queryApplied(peer: NodeIdentity): Promise<AppliedList | undefined> {
    const message = {body: {}, type: APPLIED_QUERY_MESSAGE_TYPE};
    const response = await this.#mesh.request(peer.vm, peer.incarnation, message, PEER_TIMEOUT_MS);
    const body = response.unwrapOr(undefined);
    return validateAppliedList(body) ? body : undefined;
  }

  /** Lists the applied revisions of this process and of this data centre's linked VMs and members. */
  listApplied(): AppliedList {
    const {dataCentre} = this.#node.identity;
    const linked = this.#mesh.peers().map(({identity}) => identity);
    const local = linked.filter((each) => each.dataCentre === dataCentre);
    const known = [this.#node.identity, ...local, ...this.#members()];
    const processes = new Map(known.map((each) => [each.incarnation, each]));
    return {dataCentre, vms: this.applied.listFor([...processes.values()])};
  }

  register(): Unregister {
    return mergeUnregister(
      this.#mesh.registerHandler(APPLIED_MESSAGE_TYPE, (body, from) => {
        this.#receiveRevision(body, from);
      }),
      this.#mesh.registerHandler(APPLIED_QUERY_MESSAGE_TYPE, () => this.listApplied()),
      this.#mesh.registerHandler(PAGE_MESSAGE_TYPE, (body) =>
        validateCatalogueQuery(body) ? buildPage(this.#state.current(), body) : undefined,
      ),
    );
  }

  /** Fetches the missing revisions from a peer and installs them. */
  async #fetch(from: NodeIdentity): Promise<void> {
    const {revision: since} = this.#state.current();
    let pages: CataloguePage[] = [];
    let query: CatalogueQuery = {since};
    for (let count = 0; count < MAX_PAGES; count += 1) {
      const message = {body: query, type: PAGE_MESSAGE_TYPE};
      const response = await this.#mesh.request(
        from.vm,
        from.incarnation,
        message,
        PEER_TIMEOUT_MS,
      );
      const page = response.unwrapOr(undefined);
      if (!validateCataloguePage(page)) {
        this.#reportMalformed(page, from);
        return;
      }
      const {next, record} = page;
      const isSameRevision = pages[0]?.record.revision === record.revision;
      pages = isSameRevision ? [...pages, page] : [page];
      if (next === undefined) {
        break;
      }
      query = {after: next, revision: record.revision, since};
    }
    const delta = pages.at(-1)?.next === undefined ? mergePages(pages) : undefined;
    if (delta !== undefined) {
      this.#state.install(delta, 'peer');
    }
  }

  async #fetchOnce(from: NodeIdentity): Promise<void> {
    if (this.#isFetching) {
      return;
    }
    this.#isFetching = true;
    await this.#fetch(from);
    this.#isFetching = false;
  }

  #receiveRevision(body: unknown, from: NodeIdentity): void {
    if (!validateAppliedRevision(body)) {
      this.#reportMalformed(body, from);
      return;
    }
    if (from.dataCentre === this.#node.identity.dataCentre) {
      this.applied.record(from, body.revision);
    }
    const {revision} = this.#state.current();
    if (body.revision > revision) {
      void this.#fetchOnce(from);
    } else if (body.revision < revision) {
      this.#mesh.send(from.vm, {body: {revision}, type: APPLIED_MESSAGE_TYPE});
    }
  }

  #reportMalformed(body: unknown, from: NodeIdentity): void {
    // Undefined means that the request failed; it is repeated at the peer's next announcement.
    if (body !== undefined) {
      this.#node.events.record(CATALOGUE_EVENTS.MALFORMED, {vm: from.vm});
    }
  }
}
