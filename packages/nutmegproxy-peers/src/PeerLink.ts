/** One authenticated link: sends frames up to a buffer limit and reads them in one loop. */

import type {EntryNode, Instant, NodeIdentity} from '@nutmegproxy/core';
import type {KnownPeer, MessageFrame, PeerFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {WebSocket} from 'ws';

import type {FrameInbox} from './FrameInbox.ts';
import type {LinkRole} from './HandshakeProof.ts';
import type {PeerFailure, PeerMessage} from './PeerMesh.ts';
import type {PeersMetrics} from './PeersMetrics.ts';

import {FrameCodec} from './FrameCodec.ts';
import {
  HEARTBEAT_MS,
  HEARTBEATS_PER_GOSSIP,
  INITIAL_GOSSIP_PEERS,
  MAX_BUFFERED_BYTES,
  MAX_SILENT_HEARTBEATS,
  PERIODIC_GOSSIP_PEERS,
} from './PeersConstants.ts';
import {PEERS_EVENTS} from './PeersEvents.ts';
import {PendingRequests} from './PendingRequests.ts';

/** Operations of the mesh that a link calls. */
export interface LinkDelegate {
  addKnownPeers(peers: readonly KnownPeer[]): void;
  /** Selects up to `count` peers to announce to the other side. */
  chooseGossipPeers(count: number): readonly KnownPeer[];
  /** Handles a message; returns undefined when its body is not valid. */
  handle(message: MessageFrame, from: NodeIdentity): Promise<Result<unknown, string>> | undefined;
}

/** Result of a successful handshake, from which a link is created. */
export interface LinkParameters {
  readonly identity: NodeIdentity;
  readonly inbox: FrameInbox;
  readonly peerAddress: string;
  readonly receiveKey: Buffer;
  readonly role: LinkRole;
  readonly sendKey: Buffer;
  readonly socket: WebSocket;
}

export class PeerLink {
  readonly identity: NodeIdentity;
  lastReceivedAt: Instant;
  readonly peerAddress: string;
  readonly role: LinkRole;
  #heartbeatCount = 0;
  readonly #decoder: FrameCodec;
  readonly #encoder: FrameCodec;
  readonly #inbox: FrameInbox;
  readonly #metrics: PeersMetrics;
  readonly #node: EntryNode;
  readonly #delegate: LinkDelegate;
  readonly #pending = new PendingRequests();
  readonly #socket: WebSocket;

  constructor(
    node: EntryNode,
    owner: LinkDelegate,
    parameters: LinkParameters,
    metrics: PeersMetrics,
  ) {
    this.identity = parameters.identity;
    this.lastReceivedAt = node.clock.monotonic();
    this.peerAddress = parameters.peerAddress;
    this.role = parameters.role;
    this.#decoder = new FrameCodec(parameters.receiveKey);
    this.#encoder = new FrameCodec(parameters.sendKey);
    this.#inbox = parameters.inbox;
    this.#metrics = metrics;
    this.#node = node;
    this.#delegate = owner;
    this.#socket = parameters.socket;
  }

  close(): void {
    this.#socket.terminate();
  }

  request(message: PeerMessage, timeoutMs: number): Promise<Result<unknown, PeerFailure>> {
    return this.#pending.start(timeoutMs, (id) =>
      this.#sendFrame({kind: 'message', ...message, id}),
    );
  }

  /** Reads frames until the link closes. */
  async run(): Promise<void> {
    this.#inbox.raiseByteLimit();
    this.#sendHeartbeat(INITIAL_GOSSIP_PEERS);
    const timer = setInterval(() => {
      this.#checkAndSendHeartbeat(this.#node.clock.monotonic());
    }, HEARTBEAT_MS);
    try {
      await this.#readFrames();
    } finally {
      clearInterval(timer);
      this.close();
      this.#pending.failAll();
    }
  }

  send(message: PeerMessage): boolean {
    return this.#sendFrame({kind: 'message', ...message});
  }

  async #sendResponse(id: number, pendingResult: Promise<Result<unknown, string>>): Promise<void> {
    const result = await pendingResult;
    this.#sendFrame(
      result.isOk()
        ? {body: result.value, id, kind: 'answer'}
        : {id, kind: 'answer', refused: result.error},
    );
  }

  #checkAndSendHeartbeat(now: Instant): void {
    if (now - this.lastReceivedAt > MAX_SILENT_HEARTBEATS * HEARTBEAT_MS) {
      this.#node.events.record(PEERS_EVENTS.PEER_SILENT, {vm: this.identity.vm});
      this.close();
      return;
    }
    this.#heartbeatCount += 1;
    this.#sendHeartbeat(
      this.#heartbeatCount % HEARTBEATS_PER_GOSSIP === 0 ? PERIODIC_GOSSIP_PEERS : 0,
    );
  }

  /** Processes one frame; returns false when it is not valid. */
  #handleFrame(frame: PeerFrame): boolean {
    if (frame.kind === 'heartbeat') {
      this.#delegate.addKnownPeers(frame.known);
      return true;
    }
    if (frame.kind === 'answer') {
      this.#pending.settle(frame.id, frame.body, frame.refused);
      return true;
    }
    const pendingResult = this.#delegate.handle(frame, this.identity);
    if (pendingResult === undefined) {
      return false;
    }
    // Not awaited, so that a handler that waits, such as for the store, does not delay frames.
    if (frame.id !== undefined) {
      void this.#sendResponse(frame.id, pendingResult);
    }
    return true;
  }

  async #readFrames(): Promise<void> {
    for (;;) {
      const bytes = await this.#inbox.next();
      if (bytes === undefined) {
        return;
      }
      this.lastReceivedAt = this.#node.clock.monotonic();
      this.#metrics.countBytes('in', bytes.length);
      const frame = this.#decoder.decode(bytes);
      if (frame.isErr() || !this.#handleFrame(frame.value)) {
        const reason = frame.isErr() ? frame.error : 'unknown type or body';
        this.#node.events.record(PEERS_EVENTS.PEER_MALFORMED, {reason, vm: this.identity.vm});
        return;
      }
    }
  }

  #sendFrame(frame: PeerFrame): boolean {
    if (this.#socket.readyState !== this.#socket.OPEN) {
      return false;
    }
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.#node.events.record(PEERS_EVENTS.PEER_SLOW, {vm: this.identity.vm});
      this.close();
      return false;
    }
    const bytes = this.#encoder.encode(frame);
    this.#socket.send(bytes);
    this.#metrics.countBytes('out', bytes.length);
    if (frame.kind === 'message') {
      this.#metrics.countMessage('out', frame.type);
    }
    return true;
  }

  #sendHeartbeat(gossipCount: number): void {
    this.#sendFrame({kind: 'heartbeat', known: [...this.#delegate.chooseGossipPeers(gossipCount)]});
  }
}
