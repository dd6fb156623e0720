/** Links to the other entry VMs, as features see them. */

import type {IncarnationId, Instant, NodeIdentity, Unregister, VmId} from '@nutmegproxy/core';
import type {ResultAsync} from 'neverthrow';

/** A message between peers; its body is checked against the schema that its type names. */
export interface PeerMessage {
  readonly body: unknown;
  readonly type: string;
}

export interface Peer {
  readonly identity: NodeIdentity;
  /** When the last message of this incarnation arrived. */
  readonly lastReceivedAt: Instant;
}

/** `unreachable`: certainly not delivered. `unknown`: sent, and no answer came in time. */
export interface PeerFailure {
  readonly kind: 'refused' | 'unknown' | 'unreachable';
  readonly message: string;
}

/** Handles a message of one type; what it returns is the answer to a request. */
export type PeerHandler = (body: unknown, from: NodeIdentity, now: Instant) => unknown;

/** Checks the body of a message type; the generated validators fit. */
export type BodyValidator = (body: unknown) => boolean;

export interface PeerMesh {
  /** Sends to every linked peer; there is no answer. */
  broadcast(message: PeerMessage): void;
  /** Linked peers, of any data centre. */
  peers(): readonly Peer[];
  /** A message whose body fails `check` closes the link that it came over. */
  registerHandler(type: string, handler: PeerHandler, validate?: BodyValidator): Unregister;
  /** Sends and waits for the answer. A message reaches only the incarnation that is named. */
  request(
    to: VmId,
    incarnation: IncarnationId,
    message: PeerMessage,
    timeoutMs: number,
  ): ResultAsync<unknown, PeerFailure>;
  /** Sends without an answer; false when there is no link. */
  send(to: VmId, message: PeerMessage): boolean;
}

/** A mesh that is told which addresses of its own data centre to keep links to. */
export interface TargetedMesh extends PeerMesh {
  setTargets(addresses: readonly string[]): void;
}
