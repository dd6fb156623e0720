/** Encodes frames with a MAC that covers their sequence number, against changes and replays. */

import type {PeerFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {validatePeerFrame} from '@nutmegproxy/schema';
import {pack, unpack} from 'msgpackr';
import {err, ok} from 'neverthrow';
import {createHmac, timingSafeEqual} from 'node:crypto';

import {FRAME_MAC_BYTES} from './PeersConstants.ts';

/** Why a frame was rejected. */
export type DecodeFailure = 'malformed' | 'not authentic';

/** Decodes untrusted bytes; returns undefined when they are not valid MessagePack. */
export function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}

/** Encodes or decodes the frames of one direction of a link; both ends count them. */
export class FrameCodec {
  readonly #key: Buffer;
  #sequence = 0;

  constructor(key: Buffer) {
    this.#key = key;
  }

  decode(bytes: Buffer): Result<PeerFrame, DecodeFailure> {
    const payload = bytes.subarray(FRAME_MAC_BYTES);
    const expectedMac = this.#computeMac(payload);
    const receivedMac = bytes.subarray(0, FRAME_MAC_BYTES);
    if (receivedMac.length !== expectedMac.length || !timingSafeEqual(receivedMac, expectedMac)) {
      return err('not authentic');
    }
    const frame = tryUnpack(payload);
    return validatePeerFrame(frame) ? ok(frame) : err('malformed');
  }

  encode(frame: PeerFrame): Buffer {
    const payload = pack(frame);
    return Buffer.concat([this.#computeMac(payload), payload]);
  }

  #computeMac(payload: Buffer): Buffer {
    const sequenceBytes = Buffer.alloc(8);
    sequenceBytes.writeBigUInt64BE(BigInt(this.#sequence));
    this.#sequence += 1;
    const mac = createHmac('sha256', this.#key).update(sequenceBytes).update(payload).digest();
    return mac.subarray(0, FRAME_MAC_BYTES);
  }
}
