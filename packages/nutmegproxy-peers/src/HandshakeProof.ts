/**
 * Mutual authentication of a link. Each side sends a greeting with a fresh nonce, then an HMAC of
 * both greetings and its role under the shared secret. The secret itself is never sent.
 * The keys for the frames that follow are derived in the same way.
 */

import type {NodeIdentity} from '@nutmegproxy/core';
import type {Greeting} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

import {NONCE_BYTES} from './PeersConstants.ts';

export type LinkRole = 'dialler' | 'listener';

/** Both greetings of a link, in the same order on both sides. */
export interface Transcript {
  readonly dialler: Greeting;
  readonly listener: Greeting;
}

/** Creates this side's greeting with a fresh nonce. */
export function createGreeting(identity: NodeIdentity, peerAddress: string): Greeting {
  return {
    dataCentre: identity.dataCentre,
    incarnation: identity.incarnation,
    kind: 'greeting',
    nonce: randomBytes(NONCE_BYTES).toString('hex'),
    peerAddress,
    region: identity.region,
    vm: identity.vm,
  };
}

/** Returns the identity that a greeting claims; it is not authentic until its proof is verified. */
export function readIdentity(greeting: Greeting): NodeIdentity {
  return {
    dataCentre: brand(greeting.dataCentre),
    incarnation: brand(greeting.incarnation),
    region: brand(greeting.region),
    vm: brand(greeting.vm),
  };
}

function serializeGreeting(greeting: Greeting): string {
  const {dataCentre, incarnation, nonce, peerAddress, region, vm} = greeting;
  return JSON.stringify([dataCentre, incarnation, nonce, peerAddress, region, vm]);
}

function computeMac(secret: string, purpose: string, transcript: Transcript): Buffer {
  const {dialler, listener} = transcript;
  return createHmac('sha256', secret)
    .update(JSON.stringify([purpose, serializeGreeting(dialler), serializeGreeting(listener)]))
    .digest();
}

/** Returns the proof of the side with the given role, as hexadecimal digits. */
export function createProof(secret: string, role: LinkRole, transcript: Transcript): string {
  return computeMac(secret, `proof of ${role}`, transcript).toString('hex');
}

/** Whether `mac` is the proof of the side with the given role. */
export function verifyProof(
  secret: string,
  role: LinkRole,
  transcript: Transcript,
  mac: string,
): boolean {
  const expectedMac = computeMac(secret, `proof of ${role}`, transcript);
  const receivedMac = Buffer.from(mac, 'hex');
  return receivedMac.length === expectedMac.length && timingSafeEqual(receivedMac, expectedMac);
}

/** Derives the key that authenticates the frames sent by the side with the given role. */
export function deriveFrameKey(secret: string, role: LinkRole, transcript: Transcript): Buffer {
  return computeMac(secret, `frames of ${role}`, transcript);
}
