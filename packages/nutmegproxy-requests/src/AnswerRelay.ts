/** Passes a minion's answer on to the caller, whole or not at all. */

import type {RequestId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import {once} from 'node:events';

import type {MinionAnswer} from './MinionConnection.ts';

import {ABORTED, untilAborted} from './AbortUtils.ts';
import {stripHeaders} from './HeaderUtils.ts';
import {ANSWER_HOLD_BYTES, HEADER_REQUEST} from './RequestsConstants.ts';

/** `started`: whether the caller has been given a part, so that no other answer can follow. */
export type RelayResult =
  | {readonly kind: 'broken'; readonly message: string; readonly started: boolean}
  | {readonly kind: 'unframed'}
  | {readonly kind: 'whole'};

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** The caller's side of one exchange. */
export interface RelayTarget {
  readonly id: RequestId;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
}

/**
 * Whether the end of the answer can be told from a connection that broke off. An answer that ends
 * with its connection can't be verified.
 */
function isFramed({headers, statusCode}: MinionAnswer, method: string | undefined): boolean {
  return (
    method === 'HEAD' ||
    STATUSES_WITHOUT_BODY.has(statusCode) ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Holds short answers back until they are whole; longer ones are passed on as they come. */
class RelayWriter {
  readonly #answer: MinionAnswer;
  readonly #held: Buffer[] = [];
  readonly #holds: boolean;
  started = false;
  readonly #target: RelayTarget;

  constructor(answer: MinionAnswer, target: RelayTarget) {
    const length = Number(answer.headers['content-length'] ?? Infinity);
    this.#answer = answer;
    this.#holds = length <= ANSWER_HOLD_BYTES;
    this.#target = target;
  }

  end(): void {
    this.#start();
    this.#target.response.end();
  }

  async write(chunk: Buffer): Promise<void> {
    if (this.#holds) {
      this.#held.push(chunk);
      return;
    }
    this.#start();
    const {response, signal} = this.#target;
    if (!response.write(chunk)) {
      await once(response, 'drain', {signal});
    }
  }

  #start(): void {
    if (this.started) {
      return;
    }
    this.started = true;
    const {headers, statusCode} = this.#answer;
    const {id, response} = this.#target;
    response.writeHead(statusCode, {...stripHeaders(headers), [HEADER_REQUEST]: id});
    for (const chunk of this.#held) {
      response.write(chunk);
    }
  }
}

/** Reads on without use, so that the end of the minion's connection is seen. */
async function discardRest(chunks: AsyncIterator<Buffer>): Promise<void> {
  try {
    while ((await chunks.next()).done !== true);
  } catch {
    // The connection is closed, which is what this waits for.
  }
}

/**
 * Reads the answer to its verified end. The minion's part is over when this settles, except after
 * `broken` and `unframed`, when its connection has to be closed.
 */
export async function relayAnswer(answer: MinionAnswer, target: RelayTarget): Promise<RelayResult> {
  if (!isFramed(answer, target.response.req.method)) {
    answer.body.on('error', () => undefined);
    answer.body.destroy();
    return {kind: 'unframed'};
  }
  const writer = new RelayWriter(answer, target);
  const chunks = answer.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  try {
    for (;;) {
      const next = await untilAborted(chunks.next(), target.signal);
      if (next === ABORTED) {
        throw new Error('cancelled');
      }
      if (next.done === true) {
        break;
      }
      await writer.write(next.value);
    }
  } catch (error) {
    void discardRest(chunks);
    return {kind: 'broken', message: String(error), started: writer.started};
  }
  writer.end();
  return {kind: 'whole'};
}
