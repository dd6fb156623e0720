/** A peer of a mesh whose dials and handshakes happen when its test calls for them. */

import type {EntryNode, NodeIdentity} from '@nutmegproxy/core';
import type {MessageFrame, PeerFrame} from '@nutmegproxy/schema';
import type {AddressInfo} from 'node:net';

import assert from 'node:assert/strict';
import {once} from 'node:events';
import {WebSocket, WebSocketServer} from 'ws';

import type {LinkRole} from '../../HandshakeProof.ts';
import type {LinkParameters} from '../../PeerLink.ts';

import {FrameCodec} from '../../FrameCodec.ts';
import {FrameInbox} from '../../FrameInbox.ts';
import {openLink} from '../../LinkHandshake.ts';

export class ScriptedLink {
  /** Resolves when the link is closed. */
  readonly closed: Promise<unknown>;
  readonly #decoder: FrameCodec;
  readonly #encoder: FrameCodec;
  readonly #inbox: FrameInbox;
  readonly #socket: WebSocket;

  constructor({inbox, receiveKey, sendKey, socket}: LinkParameters) {
    this.#decoder = new FrameCodec(receiveKey);
    this.#encoder = new FrameCodec(sendKey);
    this.#inbox = inbox;
    this.#socket = socket;
    this.closed =
      socket.readyState === WebSocket.CLOSED ? Promise.resolve() : once(socket, 'close');
  }

  /** Returns the next message; heartbeats are skipped. */
  async receive(): Promise<MessageFrame> {
    for (;;) {
      const bytes = await this.#inbox.next();
      assert.ok(bytes !== undefined, 'the link closed before a message arrived');
      const frame = this.#decoder.decode(bytes)._unsafeUnwrap();
      if (frame.kind === 'message') {
        return frame;
      }
    }
  }

  send(frame: PeerFrame): void {
    this.#socket.send(this.#encoder.encode(frame));
  }

  sendMalformed(): void {
    this.#socket.send(Buffer.from([0]));
  }
}

/** A connection whose handshake has not begun. */
export interface HeldConnection {
  readonly inbox: FrameInbox;
  readonly socket: WebSocket;
}

export class ScriptedPeer {
  readonly #held: HeldConnection[] = [];
  readonly #node: EntryNode;
  readonly #secret: string;
  readonly #server = new WebSocketServer({host: '127.0.0.1', port: 0});
  readonly #sockets = new Set<WebSocket>();

  constructor(node: EntryNode, secret: string) {
    this.#node = node;
    this.#secret = secret;
    this.#server.on('connection', (socket) => {
      this.#held.push(this.#hold(socket));
      this.#server.emit('held');
    });
  }

  get identity(): NodeIdentity {
    return this.#node.identity;
  }

  get peerAddress(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.terminate();
    }
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  async dial(address: string): Promise<ScriptedLink> {
    const socket = new WebSocket(`ws://${address}`);
    const held = this.#hold(socket);
    await once(socket, 'open');
    return this.shakeHands(held, 'dialler');
  }

  /** Waits until the mesh has dialled, and keeps the connection without a handshake. */
  async hold(): Promise<HeldConnection> {
    while (this.#held.length === 0) {
      await once(this.#server, 'held');
    }
    const held = this.#held.shift();
    assert.ok(held !== undefined);
    return held;
  }

  async listen(): Promise<void> {
    if (this.#server.address() === null) {
      await once(this.#server, 'listening');
    }
  }

  async shakeHands(
    {inbox, socket}: HeldConnection,
    role: LinkRole = 'listener',
  ): Promise<ScriptedLink> {
    const context = {node: this.#node, peerAddress: this.peerAddress, secret: this.#secret};
    const parameters = await openLink(context, socket, role, inbox);
    return new ScriptedLink(parameters._unsafeUnwrap());
  }

  #hold(socket: WebSocket): HeldConnection {
    this.#sockets.add(socket);
    return {inbox: new FrameInbox(socket), socket};
  }
}
