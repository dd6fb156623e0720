/** Bodies of callers' requests: small ones are held, large ones are streamed. */

import type {Result} from 'neverthrow';
import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import {Readable} from 'node:stream';

import {BODY_HOLD_BYTES, BODY_STALL_MS} from './RequestsConstants.ts';

export type BodyFailure = 'body-stalled' | 'body-too-large' | 'caller-gone' | 'deadline-passed';

class BodyError extends Error {
  override readonly name = 'BodyError';
  readonly failure: BodyFailure;

  constructor(failure: BodyFailure) {
    super(`request body: ${failure}`);
    this.failure = failure;
  }
}

/** Gives the chunks of a body; fails when it stalls, breaks off or grows too large. */
class BodyReader {
  readonly #chunks: AsyncIterator<Buffer>;
  readonly #limitBytes: number;
  #readBytes = 0;

  constructor(request: IncomingMessage, limitBytes: number) {
    // The caller's connection outlives a body that is given up: it still gets an answer.
    this.#chunks = request.iterator({destroyOnReturn: false}) as AsyncIterator<Buffer>;
    this.#limitBytes = limitBytes;
  }

  /** The next chunk, or undefined at the end. */
  async next(): Promise<Buffer | undefined> {
    const result = await stallGuard(this.#chunks.next());
    if (result.done === true) {
      return undefined;
    }
    this.#readBytes += result.value.length;
    if (this.#readBytes > this.#limitBytes) {
      throw new BodyError('body-too-large');
    }
    return result.value;
  }
}

async function stallGuard<Value>(work: Promise<Value>): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const stalled = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      reject(new BodyError('body-stalled'));
    }, BODY_STALL_MS);
  });
  try {
    return await Promise.race([work, stalled]);
  } catch (error) {
    throw error instanceof BodyError ? error : new BodyError('caller-gone');
  } finally {
    clearTimeout(timer);
  }
}

/** A request body that is ready to be sent to a minion. */
export class RequestBody {
  /** Why the rest of a streamed body could not be read. */
  failure: BodyFailure | undefined;
  readonly #held: Buffer;
  readonly #rest: BodyReader | undefined;
  #streamed = false;

  constructor(held: Buffer, rest: BodyReader | undefined) {
    this.#held = held;
    this.#rest = rest;
  }

  /** What a minion is sent; a streamed body can be asked for only once. */
  payload(): Buffer | null | Readable {
    if (this.#rest === undefined) {
      return this.#held.length === 0 ? null : this.#held;
    }
    return Readable.from(this.#stream(this.#rest), {objectMode: false});
  }

  /** Whether the body can be sent from its first byte on. */
  get sendable(): boolean {
    return !this.#streamed;
  }

  async *#stream(rest: BodyReader): AsyncGenerator<Buffer> {
    this.#streamed = true;
    yield this.#held;
    try {
      for (let chunk = await rest.next(); chunk !== undefined; chunk = await rest.next()) {
        yield chunk;
      }
    } catch (error) {
      this.failure = error instanceof BodyError ? error.failure : 'caller-gone';
      throw error;
    }
  }
}

/**
 * Reads a body up to the size that is held; the rest is read while it is sent.
 *
 * @example
 * const body = await readRequestBody(request, DEFAULT_BODY_BYTES, signal);
 */
export async function readRequestBody(
  request: IncomingMessage,
  limitBytes: number,
  deadline: AbortSignal,
): Promise<Result<RequestBody, BodyFailure>> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return err('body-too-large');
  }
  const reader = new BodyReader(request, limitBytes);
  const held: Buffer[] = [];
  let heldBytes = 0;
  try {
    while (heldBytes < BODY_HOLD_BYTES) {
      const chunk = await reader.next();
      if (chunk === undefined) {
        return ok(new RequestBody(Buffer.concat(held), undefined));
      }
      if (deadline.aborted) {
        return err('deadline-passed');
      }
      held.push(chunk);
      heldBytes += chunk.length;
    }
  } catch (error) {
    return err(error instanceof BodyError ? error.failure : 'caller-gone');
  }
  return ok(new RequestBody(Buffer.concat(held), reader));
}
