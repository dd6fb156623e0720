/** Forwards a minion's response to the caller and never presents a truncated one as complete. */

import type {RequestId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import {once} from 'node:events';

import type {MinionResponse} from './MinionConnection.ts';

import {ABORTED, raceAbort} from './AbortUtils.ts';
import {pickForwardedHeaders} from './HeaderUtils.ts';
import {HEADER_REQUEST_ID, MAX_BUFFERED_RESPONSE_BYTES} from './RequestsConstants.ts';

/** `hasStarted`: whether part of the response was sent, so that no other response can follow. */
export type RelayResult =
  | {readonly kind: 'broken'; readonly message: string; readonly hasStarted: boolean}
  | {readonly kind: 'unframed'}
  | {readonly kind: 'whole'};

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** The caller's side of one exchange. */
export interface RelayTarget {
  readonly requestId: RequestId;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
}

/**
 * Whether the message framing shows the end of the response. If the end is marked only by the close
 * of the connection, truncation cannot be detected.
 */
function isFramed(
  {headers, statusCode}: MinionResponse,
  requestMethod: string | undefined,
): boolean {
  return (
    requestMethod === 'HEAD' ||
    STATUSES_WITHOUT_BODY.has(statusCode) ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Buffers short responses until they are complete; streams longer ones. */
class RelayWriter {
  readonly #buffered: Buffer[] = [];
  hasStarted = false;
  readonly #minionResponse: MinionResponse;
  readonly #shouldBuffer: boolean;
  readonly #target: RelayTarget;

  constructor(minionResponse: MinionResponse, target: RelayTarget) {
    const contentLength = Number(minionResponse.headers['content-length'] ?? Infinity);
    this.#minionResponse = minionResponse;
    this.#shouldBuffer = contentLength <= MAX_BUFFERED_RESPONSE_BYTES;
    this.#target = target;
  }

  end(): void {
    this.#start();
    this.#target.response.end();
  }

  async write(chunk: Buffer): Promise<void> {
    if (this.#shouldBuffer) {
      this.#buffered.push(chunk);
      return;
    }
    this.#start();
    const {response, signal} = this.#target;
    if (!response.write(chunk)) {
      await once(response, 'drain', {signal});
    }
  }

  #start(): void {
    if (this.hasStarted) {
      return;
    }
    this.hasStarted = true;
    const {headers, statusCode} = this.#minionResponse;
    const {requestId, response} = this.#target;
    response.writeHead(statusCode, {
      ...pickForwardedHeaders(headers),
      [HEADER_REQUEST_ID]: requestId,
    });
    for (const chunk of this.#buffered) {
      response.write(chunk);
    }
  }
}

/** Reads and discards the remainder, so that the end of the minion's connection is detected. */
async function drainRemainder(chunks: AsyncIterator<Buffer>): Promise<void> {
  try {
    while ((await chunks.next()).done !== true);
  } catch {
    // The connection has closed, as expected.
  }
}

/**
 * Forwards the response up to its verified end. When this settles, the minion has finished, except
 * after `broken` and `unframed`, when the connection must be closed.
 */
export async function relayResponse(
  minionResponse: MinionResponse,
  target: RelayTarget,
): Promise<RelayResult> {
  if (!isFramed(minionResponse, target.response.req.method)) {
    minionResponse.body.on('error', () => undefined);
    minionResponse.body.destroy();
    return {kind: 'unframed'};
  }
  const writer = new RelayWriter(minionResponse, target);
  const chunks = minionResponse.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  try {
    for (;;) {
      const result = await raceAbort(chunks.next(), target.signal);
      if (result === ABORTED) {
        throw new Error('cancelled');
      }
      if (result.done === true) {
        break;
      }
      await writer.write(result.value);
    }
  } catch (error) {
    void drainRemainder(chunks);
    return {hasStarted: writer.hasStarted, kind: 'broken', message: String(error)};
  }
  writer.end();
  return {kind: 'whole'};
}
