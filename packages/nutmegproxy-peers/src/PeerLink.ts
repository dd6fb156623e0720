/** One authenticated link: sends frames within a bound and reads them in one task. */

import type {EntryNode, Instant, NodeIdentity} from '@nutmegproxy/core';
import type {KnownPeer, MessageFrame, PeerFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {WebSocket} from 'ws';

import type {FrameInbox} from './FrameInbox.ts';
import type {LinkRole} from './Handshake.ts';
import type {PeerFailure, PeerMessage} from './PeerMesh.ts';
import type {PeersMetrics} from './PeersMetrics.ts';

import {FrameCodec} from './FrameCodec.ts';
import {
  GOSSIP_AT_START,
  GOSSIP_LATER,
  HEARTBEAT_MS,
  HEARTBEATS_PER_GOSSIP,
  MAX_BUFFERED_BYTES,
  SILENCE_LIMIT_HEARTBEATS,
} from './PeersConstants.ts';
import {PEERS_EVENTS} from './PeersEvents.ts';
import {PendingRequests} from './PendingRequests.ts';

/** What the mesh does for a link. */
export interface LinkOwner {
  /** Some peers to tell the other side of. */
  chooseGossip(count: number): readonly KnownPeer[];
  /** Handles a message; undefined when its type or body is not valid. */
  handle(message: MessageFrame, from: NodeIdentity): Promise<Result<unknown, string>> | undefined;
  learn(peers: readonly KnownPeer[]): void;
}

/** Everything that a finished handshake gives to a link. */
export interface LinkParts {
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
  lastHeard: Instant;
  readonly peerAddress: string;
  readonly role: LinkRole;
  #beats = 0;
  readonly #decoder: FrameCodec;
  readonly #encoder: FrameCodec;
  readonly #inbox: FrameInbox;
  readonly #metrics: PeersMetrics;
  readonly #node: EntryNode;
  readonly #owner: LinkOwner;
  readonly #pending = new PendingRequests();
  readonly #socket: WebSocket;

  constructor(node: EntryNode, owner: LinkOwner, parts: LinkParts, metrics: PeersMetrics) {
    this.identity = parts.identity;
    this.lastHeard = node.clock.monotonic();
    this.peerAddress = parts.peerAddress;
    this.role = parts.role;
    this.#decoder = new FrameCodec(parts.receiveKey);
    this.#encoder = new FrameCodec(parts.sendKey);
    this.#inbox = parts.inbox;
    this.#metrics = metrics;
    this.#node = node;
    this.#owner = owner;
    this.#socket = parts.socket;
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
    this.#inbox.raiseLimit();
    this.#sendHeartbeat(GOSSIP_AT_START);
    const timer = setInterval(() => {
      this.#beat(this.#node.clock.monotonic());
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

  async #answer(id: number, work: Promise<Result<unknown, string>>): Promise<void> {
    const result = await work;
    this.#sendFrame(
      result.isOk()
        ? {body: result.value, id, kind: 'answer'}
        : {id, kind: 'answer', refused: result.error},
    );
  }

  #beat(now: Instant): void {
    if (now - this.lastHeard > SILENCE_LIMIT_HEARTBEATS * HEARTBEAT_MS) {
      this.#node.events.record(PEERS_EVENTS.PEER_SILENT, {vm: this.identity.vm});
      this.close();
      return;
    }
    this.#beats += 1;
    this.#sendHeartbeat(this.#beats % HEARTBEATS_PER_GOSSIP === 0 ? GOSSIP_LATER : 0);
  }

  /** Acts on one frame; false when it is not valid. */
  #handleFrame(frame: PeerFrame): boolean {
    if (frame.kind === 'heartbeat') {
      this.#owner.learn(frame.known);
      return true;
    }
    if (frame.kind === 'answer') {
      this.#pending.answer(frame.id, frame.body, frame.refused);
      return true;
    }
    const work = this.#owner.handle(frame, this.identity);
    if (work === undefined) {
      return false;
    }
    // The next frame is not held up by a handler that waits, for instance for the store.
    if (frame.id !== undefined) {
      void this.#answer(frame.id, work);
    }
    return true;
  }

  async #readFrames(): Promise<void> {
    for (;;) {
      const bytes = await this.#inbox.next();
      if (bytes === undefined) {
        return;
      }
      this.lastHeard = this.#node.clock.monotonic();
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

  #sendHeartbeat(gossip: number): void {
    this.#sendFrame({kind: 'heartbeat', known: [...this.#owner.chooseGossip(gossip)]});
  }
}
