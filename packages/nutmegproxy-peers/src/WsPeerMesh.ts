/**
 * Links between entry VMs over WebSocket. There is one listener, one loop per link and one loop per
 * dialled address. A process has at most one link to each other process.
 */

import type {EntryNode, IncarnationId, NodeIdentity, Unregister, VmId} from '@nutmegproxy/core';
import type {KnownPeer, MessageFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {AddressInfo} from 'node:net';

import {err, ok, ResultAsync} from 'neverthrow';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket, WebSocketServer} from 'ws';

import type {LinkRole} from './HandshakeProof.ts';
import type {HandshakeContext} from './LinkHandshake.ts';
import type {
  BodyValidator,
  Peer,
  PeerFailure,
  PeerHandler,
  PeerMessage,
  TargetedMesh,
} from './PeerMesh.ts';

import {createKnownPeer, DialTargets} from './DialTargets.ts';
import {FrameInbox} from './FrameInbox.ts';
import {openLink} from './LinkHandshake.ts';
import {LinkTable} from './LinkTable.ts';
import {PeerLink} from './PeerLink.ts';
import {
  DIAL_RETRY_MAX_MS,
  DIAL_RETRY_MIN_MS,
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKES,
} from './PeersConstants.ts';
import {PEERS_EVENTS} from './PeersEvents.ts';
import {PeersMetrics} from './PeersMetrics.ts';

export interface WsPeerMeshOptions {
  /** IP address and port to listen on; the system chooses the port if it is 0. */
  readonly listen: string;
  readonly secret: string;
  readonly seeds: readonly string[];
}

interface HandlerRegistration {
  readonly handler: PeerHandler;
  readonly validate: BodyValidator;
}

const SOCKET_OPTIONS = {maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false};

function parseAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

export class WsPeerMesh implements TargetedMesh {
  readonly #dialTargets: DialTargets;
  readonly #dialledAddresses = new Set<string>();
  #gossipOffset = 0;
  readonly #handlers = new Map<string, HandlerRegistration>();
  #openHandshakes = 0;
  readonly #links: LinkTable;
  readonly #metrics: PeersMetrics;
  readonly #node: EntryNode;
  readonly #options: WsPeerMeshOptions;
  #peerAddress = '';
  #server: undefined | WebSocketServer;
  readonly #sockets = new Set<WebSocket>();
  readonly #stopController = new AbortController();

  constructor(node: EntryNode, options: WsPeerMeshOptions) {
    this.#node = node;
    this.#options = options;
    this.#dialTargets = new DialTargets(node.identity, options.seeds);
    this.#links = new LinkTable(node.identity);
    this.#metrics = new PeersMetrics(node.metrics, () => this.#links.list().length);
  }

  /** Address that this process listens on; empty before `start`. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  broadcast(message: PeerMessage): void {
    for (const link of this.#links.list()) {
      link.send(message);
    }
  }

  peers(): readonly Peer[] {
    return this.#links.list();
  }

  registerHandler(
    type: string,
    handler: PeerHandler,
    validate: BodyValidator = () => true,
  ): Unregister {
    const registration = {handler, validate};
    this.#handlers.set(type, registration);
    return () => {
      if (this.#handlers.get(type) === registration) {
        this.#handlers.delete(type);
      }
    };
  }

  request(
    to: VmId,
    incarnation: IncarnationId,
    message: PeerMessage,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerFailure> {
    const link = this.#links.findByIncarnation(incarnation);
    const response =
      link?.identity.vm === to
        ? link.request(message, timeoutMs)
        : Promise.resolve(err({kind: 'unreachable' as const, message: 'no link to this process'}));
    return new ResultAsync(response);
  }

  send(to: VmId, message: PeerMessage): boolean {
    return this.#links.findByVm(to)?.send(message) ?? false;
  }

  setTargets(addresses: readonly string[]): void {
    this.#dialTargets.setTargets(addresses);
    this.#dialMissing();
  }

  /** Opens the listener and starts dialling. */
  async start(): Promise<void> {
    const server = new WebSocketServer({
      ...parseAddress(this.#options.listen),
      ...SOCKET_OPTIONS,
    });
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    const {address, port} = server.address() as AddressInfo;
    this.#peerAddress = address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
    server.on('error', () => undefined);
    server.on('connection', (socket) => {
      this.#accept(socket);
    });
    this.#dialMissing();
  }

  /** Closes the listener and all links. */
  async stop(): Promise<void> {
    this.#stopController.abort();
    for (const socket of this.#sockets) {
      socket.terminate();
    }
    await new Promise<void>((resolve) => {
      if (this.#server === undefined) {
        resolve();
        return;
      }
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: WebSocket): void {
    if (this.#openHandshakes >= MAX_HANDSHAKES || this.#stopController.signal.aborted) {
      socket.on('error', () => undefined);
      socket.terminate();
      return;
    }
    this.#openHandshakes += 1;
    void this.#serveSocket(socket, 'listener', new FrameInbox(socket), () => {
      this.#openHandshakes -= 1;
    });
  }

  #chooseGossipPeers(maxCount: number): readonly KnownPeer[] {
    const links = this.#links.list();
    this.#gossipOffset += 1;
    const count = Math.min(maxCount, links.length);
    return Array.from(
      {length: count},
      (_, offset) => links[(this.#gossipOffset + offset) % links.length],
    )
      .filter((link) => link !== undefined)
      .map((link) => createKnownPeer(link.identity, link.peerAddress));
  }

  /** Starts a dial loop for each address that has none yet. */
  #dialMissing(): void {
    if (this.#peerAddress === '' || this.#stopController.signal.aborted) {
      return;
    }
    for (const address of this.#dialTargets.addresses()) {
      if (address !== this.#peerAddress && !this.#dialledAddresses.has(address)) {
        this.#dialledAddresses.add(address);
        void this.#maintainLink(address).finally(() => this.#dialledAddresses.delete(address));
      }
    }
  }

  async #dialOnce(address: string): Promise<boolean> {
    const socket = new WebSocket(`ws://${address}`, {
      ...SOCKET_OPTIONS,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    // Created before the connection opens, so that no early frame is missed.
    const inbox = new FrameInbox(socket);
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once('open', () => {
        resolve(true);
      });
      socket.once('close', () => {
        resolve(false);
      });
    });
    return isOpen && this.#serveSocket(socket, 'dialler', inbox, () => undefined);
  }

  #dispatch(frame: MessageFrame, from: NodeIdentity): Promise<Result<unknown, string>> | undefined {
    const registration = this.#handlers.get(frame.type);
    if (registration === undefined) {
      return Promise.resolve(err('no handler for this type'));
    }
    this.#metrics.countMessage('in', frame.type);
    if (!registration.validate(frame.body)) {
      return undefined;
    }
    const now = this.#node.clock.monotonic();
    return Promise.resolve(registration.handler(frame.body, from, now)).then((body) => ok(body));
  }

  /** Keeps a link to one address for as long as it is a target. */
  async #maintainLink(address: string): Promise<void> {
    let delayMs = DIAL_RETRY_MIN_MS;
    while (!this.#stopController.signal.aborted && this.#dialTargets.addresses().has(address)) {
      if (!this.#links.hasAddress(address)) {
        const isLinked = await this.#dialOnce(address);
        delayMs = isLinked ? DIAL_RETRY_MIN_MS : Math.min(delayMs * 2, DIAL_RETRY_MAX_MS);
        if (delayMs === DIAL_RETRY_MAX_MS) {
          // Another peer of that data centre replaces it until gossip announces it again.
          this.#dialTargets.remove(address);
        }
      }
      // The jitter prevents two processes from dialling each other at the same time repeatedly.
      const waitMs = delayMs * (0.5 + Math.random());
      await sleep(waitMs, undefined, {signal: this.#stopController.signal}).catch(() => undefined);
    }
  }

  #addKnownPeers(peers: readonly KnownPeer[]): void {
    for (const peer of peers) {
      this.#dialTargets.add(peer);
    }
    this.#dialMissing();
  }

  async #runLink(link: PeerLink): Promise<void> {
    const fields = {address: link.peerAddress, role: link.role, vm: link.identity.vm};
    this.#metrics.countLinkOpened();
    this.#node.events.record(PEERS_EVENTS.LINK_OPEN, fields);
    this.#addKnownPeers([createKnownPeer(link.identity, link.peerAddress)]);
    await link.run();
    this.#links.remove(link);
    this.#node.events.record(PEERS_EVENTS.LINK_CLOSED, fields);
  }

  /** Serves a connected socket until it closes; returns whether it became a link. */
  async #serveSocket(
    socket: WebSocket,
    role: LinkRole,
    inbox: FrameInbox,
    onHandshakeEnd: () => void,
  ): Promise<boolean> {
    const context: HandshakeContext = {
      node: this.#node,
      peerAddress: this.#peerAddress,
      secret: this.#options.secret,
    };
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    const parameters = await openLink(context, socket, role, inbox);
    onHandshakeEnd();
    if (parameters.isErr()) {
      this.#node.events.record(PEERS_EVENTS.PEER_REFUSED, {reason: parameters.error, role});
      return false;
    }
    const link = new PeerLink(
      this.#node,
      {
        addKnownPeers: (peers) => {
          this.#addKnownPeers(peers);
        },
        chooseGossipPeers: (count) => this.#chooseGossipPeers(count),
        handle: (frame, from) => this.#dispatch(frame, from),
      },
      parameters.value,
      this.#metrics,
    );
    if (!this.#links.add(link)) {
      link.close();
      return false;
    }
    await this.#runLink(link);
    return true;
  }
}
