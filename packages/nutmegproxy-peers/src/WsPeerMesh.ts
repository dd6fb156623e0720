/**
 * Links between entry VMs over WebSocket. One listener, one task per link, one task per address
 * that is dialled. Every process has at most one link to each other process.
 */

import type {EntryNode, IncarnationId, NodeIdentity, Unregister, VmId} from '@nutmegproxy/core';
import type {KnownPeer, MessageFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {AddressInfo} from 'node:net';

import {err, ok, ResultAsync} from 'neverthrow';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket, WebSocketServer} from 'ws';

import type {LinkRole} from './Handshake.ts';
import type {HandshakeContext} from './LinkOpener.ts';
import type {
  BodyCheck,
  Peer,
  PeerFailure,
  PeerHandler,
  PeerMessage,
  TargetedMesh,
} from './PeerMesh.ts';

import {FrameInbox} from './FrameInbox.ts';
import {openLink} from './LinkOpener.ts';
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
import {describePeer, TargetBook} from './TargetBook.ts';

export interface WsPeerMeshOptions {
  /** IP number and port to listen on; port 0 lets the system choose. */
  readonly listen: string;
  readonly secret: string;
  readonly seeds: readonly string[];
}

interface Registration {
  readonly check: BodyCheck;
  readonly handler: PeerHandler;
}

const SOCKET_OPTIONS = {maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false};

function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

export class WsPeerMesh implements TargetedMesh {
  readonly #book: TargetBook;
  readonly #dialled = new Set<string>();
  #gossipStart = 0;
  readonly #handlers = new Map<string, Registration>();
  #handshakes = 0;
  readonly #links: LinkTable;
  readonly #metrics: PeersMetrics;
  readonly #node: EntryNode;
  readonly #options: WsPeerMeshOptions;
  #peerAddress = '';
  #server: undefined | WebSocketServer;
  readonly #sockets = new Set<WebSocket>();
  readonly #stop = new AbortController();

  constructor(node: EntryNode, options: WsPeerMeshOptions) {
    this.#node = node;
    this.#options = options;
    this.#book = new TargetBook(node.identity, options.seeds);
    this.#links = new LinkTable(node.identity);
    this.#metrics = new PeersMetrics(node.metrics, () => this.#links.all().length);
  }

  /** Address that this process listens on; known after `start`. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  broadcast(message: PeerMessage): void {
    for (const link of this.#links.all()) {
      link.send(message);
    }
  }

  peers(): readonly Peer[] {
    return this.#links.all();
  }

  registerHandler(type: string, handler: PeerHandler, check: BodyCheck = () => true): Unregister {
    const registration = {check, handler};
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
    const link = this.#links.byIncarnation(incarnation);
    const answer =
      link?.identity.vm === to
        ? link.request(message, timeoutMs)
        : Promise.resolve(err({kind: 'unreachable' as const, message: 'no link to this process'}));
    return new ResultAsync(answer);
  }

  send(to: VmId, message: PeerMessage): boolean {
    return this.#links.byVm(to)?.send(message) ?? false;
  }

  setTargets(addresses: readonly string[]): void {
    this.#book.setTargets(addresses);
    this.#dialMissing();
  }

  /** Opens the listener and begins to dial. */
  async start(): Promise<void> {
    const server = new WebSocketServer({
      ...splitAddress(this.#options.listen),
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
    this.#stop.abort();
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
    if (this.#handshakes >= MAX_HANDSHAKES || this.#stop.signal.aborted) {
      socket.on('error', () => undefined);
      socket.terminate();
      return;
    }
    this.#handshakes += 1;
    void this.#serve(socket, 'listener', new FrameInbox(socket), () => {
      this.#handshakes -= 1;
    });
  }

  #chooseGossip(wanted: number): readonly KnownPeer[] {
    const links = this.#links.all();
    this.#gossipStart += 1;
    const count = Math.min(wanted, links.length);
    return Array.from(
      {length: count},
      (_, offset) => links[(this.#gossipStart + offset) % links.length],
    )
      .filter((link) => link !== undefined)
      .map((link) => describePeer(link.identity, link.peerAddress));
  }

  /** Starts one task for each address that has none yet. */
  #dialMissing(): void {
    if (this.#peerAddress === '' || this.#stop.signal.aborted) {
      return;
    }
    for (const address of this.#book.addresses()) {
      if (address !== this.#peerAddress && !this.#dialled.has(address)) {
        this.#dialled.add(address);
        void this.#keepDialling(address).finally(() => this.#dialled.delete(address));
      }
    }
  }

  async #dialOnce(address: string): Promise<boolean> {
    const socket = new WebSocket(`ws://${address}`, {
      ...SOCKET_OPTIONS,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    // Made before the connection opens, so that no early frame is missed.
    const inbox = new FrameInbox(socket);
    const opened = await new Promise<boolean>((resolve) => {
      socket.once('open', () => {
        resolve(true);
      });
      socket.once('close', () => {
        resolve(false);
      });
    });
    return opened && this.#serve(socket, 'dialler', inbox, () => undefined);
  }

  #handle(frame: MessageFrame, from: NodeIdentity): Promise<Result<unknown, string>> | undefined {
    const registration = this.#handlers.get(frame.type);
    if (registration === undefined) {
      return Promise.resolve(err('no handler for this type'));
    }
    this.#metrics.countMessage('in', frame.type);
    if (!registration.check(frame.body)) {
      return undefined;
    }
    const now = this.#node.clock.monotonic();
    return Promise.resolve(registration.handler(frame.body, from, now)).then((body) => ok(body));
  }

  /** Keeps a link to one address for as long as it is wanted. */
  async #keepDialling(address: string): Promise<void> {
    let delayMs = DIAL_RETRY_MIN_MS;
    while (!this.#stop.signal.aborted && this.#book.addresses().has(address)) {
      if (!this.#links.hasAddress(address)) {
        const linked = await this.#dialOnce(address);
        delayMs = linked ? DIAL_RETRY_MIN_MS : Math.min(delayMs * 2, DIAL_RETRY_MAX_MS);
        if (delayMs === DIAL_RETRY_MAX_MS) {
          // Another peer of that data centre takes its place until it is heard of again.
          this.#book.forget(address);
        }
      }
      // Jitter keeps two processes from dialling each other in step.
      const waitMs = delayMs * (0.5 + Math.random());
      await sleep(waitMs, undefined, {signal: this.#stop.signal}).catch(() => undefined);
    }
  }

  #learn(peers: readonly KnownPeer[]): void {
    for (const peer of peers) {
      this.#book.learn(peer);
    }
    this.#dialMissing();
  }

  async #runLink(link: PeerLink): Promise<void> {
    const fields = {address: link.peerAddress, role: link.role, vm: link.identity.vm};
    this.#metrics.countLinkOpened();
    this.#node.events.record(PEERS_EVENTS.LINK_OPEN, fields);
    this.#learn([describePeer(link.identity, link.peerAddress)]);
    await link.run();
    this.#links.remove(link);
    this.#node.events.record(PEERS_EVENTS.LINK_CLOSED, fields);
  }

  /** Runs a connected socket until it closes; returns whether it became a link. */
  async #serve(
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
    const parts = await openLink(context, socket, role, inbox);
    onHandshakeEnd();
    if (parts.isErr()) {
      this.#node.events.record(PEERS_EVENTS.PEER_REFUSED, {reason: parts.error, role});
      return false;
    }
    const link = new PeerLink(
      this.#node,
      {
        chooseGossip: (count) => this.#chooseGossip(count),
        handle: (frame, from) => this.#handle(frame, from),
        learn: (peers) => {
          this.#learn(peers);
        },
      },
      parts.value,
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
