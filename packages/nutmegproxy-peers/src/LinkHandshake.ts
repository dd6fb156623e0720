/** Runs the handshake on a connected socket, as dialler or as listener. */

import type {EntryNode} from '@nutmegproxy/core';
import type {Greeting, Proof} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {WebSocket} from 'ws';

import {validateGreeting, validateProof} from '@nutmegproxy/schema';
import {pack} from 'msgpackr';
import {err, ok} from 'neverthrow';

import type {LinkRole, Transcript} from './HandshakeProof.ts';
import type {LinkParameters} from './PeerLink.ts';

import {tryUnpack} from './FrameCodec.ts';
import {FrameInbox} from './FrameInbox.ts';
import {
  createGreeting,
  createProof,
  deriveFrameKey,
  readIdentity,
  verifyProof,
} from './HandshakeProof.ts';
import {HANDSHAKE_TIMEOUT_MS} from './PeersConstants.ts';

/** Identity and secret that a handshake uses. */
export interface HandshakeContext {
  readonly node: EntryNode;
  readonly peerAddress: string;
  readonly secret: string;
}

export type HandshakeFailure = 'bad greeting' | 'bad proof' | 'closed';

const OPPOSITE_ROLES: Readonly<Record<LinkRole, LinkRole>> = {
  dialler: 'listener',
  listener: 'dialler',
};

async function receive(inbox: FrameInbox): Promise<Result<unknown, HandshakeFailure>> {
  const bytes = await inbox.next();
  return bytes === undefined ? err('closed') : ok(tryUnpack(bytes));
}

function createTranscript(role: LinkRole, own: Greeting, remote: Greeting): Transcript {
  return role === 'dialler' ? {dialler: own, listener: remote} : {dialler: remote, listener: own};
}

async function exchangeProofs(
  context: HandshakeContext,
  socket: WebSocket,
  inbox: FrameInbox,
  role: LinkRole,
): Promise<Result<LinkParameters, HandshakeFailure>> {
  const ownGreeting = createGreeting(context.node.identity, context.peerAddress);
  socket.send(pack(ownGreeting));
  const greeting = await receive(inbox);
  if (greeting.isErr()) {
    return err(greeting.error);
  }
  if (!validateGreeting(greeting.value)) {
    return err('bad greeting');
  }
  const transcript = createTranscript(role, ownGreeting, greeting.value);
  const ownProof: Proof = {kind: 'proof', mac: createProof(context.secret, role, transcript)};
  socket.send(pack(ownProof));
  const proof = await receive(inbox);
  if (proof.isErr()) {
    return err(proof.error);
  }
  const remoteRole = OPPOSITE_ROLES[role];
  const isValid =
    validateProof(proof.value) &&
    verifyProof(context.secret, remoteRole, transcript, proof.value.mac);
  if (!isValid) {
    return err('bad proof');
  }
  return ok({
    identity: readIdentity(greeting.value),
    inbox,
    peerAddress: greeting.value.peerAddress,
    receiveKey: deriveFrameKey(context.secret, remoteRole, transcript),
    role,
    sendKey: deriveFrameKey(context.secret, role, transcript),
    socket,
  });
}

/** Runs the handshake within HANDSHAKE_TIMEOUT_MS; closes the socket if it fails. */
export async function openLink(
  context: HandshakeContext,
  socket: WebSocket,
  role: LinkRole,
  inbox = new FrameInbox(socket),
): Promise<Result<LinkParameters, HandshakeFailure>> {
  const timer = setTimeout(() => {
    socket.terminate();
  }, HANDSHAKE_TIMEOUT_MS);
  const result = await exchangeProofs(context, socket, inbox, role);
  clearTimeout(timer);
  if (result.isErr()) {
    socket.terminate();
  }
  return result;
}
