/** Interface of the links to the other entry VMs. */

import type {IncarnationId, Instant, NodeIdentity, Unregister, VmId} from '@nutmegproxy/core';
import type {ResultAsync} from 'neverthrow';

/** A message between peers; its body is validated against the schema of its type. */
export interface PeerMessage {
  readonly body: unknown;
  readonly type: string;
}

export interface Peer {
  readonly identity: NodeIdentity;
  /** When the last frame of this incarnation arrived. */
  readonly lastReceivedAt: Instant;
}

/** `unreachable`: not delivered. `unknown`: sent, but no response arrived in time. */
export interface PeerFailure {
  readonly kind: 'refused' | 'unknown' | 'unreachable';
  readonly message: string;
}

/** Handles a message of one type; its return value is the response to a request. */
export type PeerHandler = (body: unknown, from: NodeIdentity, now: Instant) => unknown;

/** Checks the body of a message, such as a generated schema validator. */
export type BodyValidator = (body: unknown) => boolean;

export interface PeerMesh {
  /** Sends to every linked peer without waiting for responses. */
  broadcast(message: PeerMessage): void;
  /** Returns the linked peers of all data centres. */
  peers(): readonly Peer[];
  /** Registers a handler. A message whose body fails `validate` closes the link it arrived on. */
  registerHandler(type: string, handler: PeerHandler, validate?: BodyValidator): Unregister;
  /** Sends a message to one incarnation of a VM only and waits for the response. */
  request(
    to: VmId,
    incarnation: IncarnationId,
    message: PeerMessage,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerFailure>;
  /** Sends without waiting for a response; returns false when there is no link. */
  send(to: VmId, message: PeerMessage): boolean;
}

/** A mesh whose caller sets the addresses of its own data centre to keep links to. */
export interface TargetedMesh extends PeerMesh {
  setTargets(addresses: readonly string[]): void;
}
