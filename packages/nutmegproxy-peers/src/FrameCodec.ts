/** Packs frames, numbers them and authenticates them, so that none can be changed or replayed. */

import type {PeerFrame} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {validatePeerFrame} from '@nutmegproxy/schema';
import {pack, unpack} from 'msgpackr';
import {err, ok} from 'neverthrow';
import {createHmac, timingSafeEqual} from 'node:crypto';

import {FRAME_MAC_BYTES} from './PeersConstants.ts';

/** Why a frame was not taken. */
export type FrameFailure = 'malformed' | 'not authentic';

/** Unpacks bytes that may be anything; undefined when they are no message pack. */
export function unpackSafely(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}

/** One direction of a link; both ends count its frames. */
export class FrameCodec {
  readonly #key: Buffer;
  #sequence = 0;

  constructor(key: Buffer) {
    this.#key = key;
  }

  decode(bytes: Buffer): Result<PeerFrame, FrameFailure> {
    const payload = bytes.subarray(FRAME_MAC_BYTES);
    const expected = this.#authenticate(payload);
    const given = bytes.subarray(0, FRAME_MAC_BYTES);
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
      return err('not authentic');
    }
    const frame = unpackSafely(payload);
    return validatePeerFrame(frame) ? ok(frame) : err('malformed');
  }

  encode(frame: PeerFrame): Buffer {
    const payload = pack(frame);
    return Buffer.concat([this.#authenticate(payload), payload]);
  }

  #authenticate(payload: Buffer): Buffer {
    const number = Buffer.alloc(8);
    number.writeBigUInt64BE(BigInt(this.#sequence));
    this.#sequence += 1;
    const mac = createHmac('sha256', this.#key).update(number).update(payload).digest();
    return mac.subarray(0, FRAME_MAC_BYTES);
  }
}
