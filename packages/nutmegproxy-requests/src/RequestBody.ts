/** Bodies of callers' requests: small bodies are buffered, large ones are streamed. */

import type {Result} from 'neverthrow';
import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import {Readable} from 'node:stream';

import {BODY_STALL_TIMEOUT_MS, MAX_BUFFERED_BODY_BYTES} from './RequestsConstants.ts';

export type BodyFailure = 'body-stalled' | 'body-too-large' | 'caller-gone' | 'deadline-passed';

class BodyError extends Error {
  override readonly name = 'BodyError';
  readonly failure: BodyFailure;

  constructor(failure: BodyFailure) {
    super(`request body: ${failure}`);
    this.failure = failure;
  }
}

/** Reads the chunks of a body; throws if it stalls, is truncated or exceeds the size limit. */
class BodyReader {
  readonly #chunks: AsyncIterator<Buffer>;
  readonly #maxBytes: number;
  #readBytes = 0;

  constructor(request: IncomingMessage, maxBytes: number) {
    // The connection must stay open after reading stops, so that the caller gets a response.
    this.#chunks = request.iterator({destroyOnReturn: false}) as AsyncIterator<Buffer>;
    this.#maxBytes = maxBytes;
  }

  /** Returns the next chunk, or undefined at the end. */
  async next(): Promise<Buffer | undefined> {
    const result = await withStallTimeout(this.#chunks.next());
    if (result.done === true) {
      return undefined;
    }
    this.#readBytes += result.value.length;
    if (this.#readBytes > this.#maxBytes) {
      throw new BodyError('body-too-large');
    }
    return result.value;
  }
}

async function withStallTimeout<Value>(promise: Promise<Value>): Promise<Value> {
  let timer: NodeJS.Timeout | undefined;
  const stalled = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      reject(new BodyError('body-stalled'));
    }, BODY_STALL_TIMEOUT_MS);
  });
  try {
    return await Promise.race([promise, stalled]);
  } catch (error) {
    throw error instanceof BodyError ? error : new BodyError('caller-gone');
  } finally {
    clearTimeout(timer);
  }
}

/** A request body that is ready to be sent to a minion. */
export class RequestBody {
  /** Why the remainder of a streamed body could not be read. */
  failure: BodyFailure | undefined;
  readonly #buffered: Buffer;
  #hasStreamed = false;
  readonly #remainder: BodyReader | undefined;

  constructor(buffered: Buffer, remainder: BodyReader | undefined) {
    this.#buffered = buffered;
    this.#remainder = remainder;
  }

  /** Returns the body to send to a minion; a streamed body can be sent only once. */
  createPayload(): Buffer | null | Readable {
    if (this.#remainder === undefined) {
      return this.#buffered.length === 0 ? null : this.#buffered;
    }
    return Readable.from(this.#stream(this.#remainder), {objectMode: false});
  }

  /** Whether the whole body is still available to send. */
  get canSend(): boolean {
    return !this.#hasStreamed;
  }

  async *#stream(remainder: BodyReader): AsyncGenerator<Buffer> {
    this.#hasStreamed = true;
    yield this.#buffered;
    try {
      for (
        let chunk = await remainder.next();
        chunk !== undefined;
        chunk = await remainder.next()
      ) {
        yield chunk;
      }
    } catch (error) {
      this.failure = error instanceof BodyError ? error.failure : 'caller-gone';
      throw error;
    }
  }
}

/**
 * Buffers a body up to `MAX_BUFFERED_BODY_BYTES`; the remainder is read while the body is sent.
 *
 * @example
 * const body = await readRequestBody(request, DEFAULT_BODY_BYTES, signal);
 */
export async function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Result<RequestBody, BodyFailure>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return err('body-too-large');
  }
  const reader = new BodyReader(request, maxBytes);
  const buffered: Buffer[] = [];
  let bufferedBytes = 0;
  try {
    while (bufferedBytes < MAX_BUFFERED_BODY_BYTES) {
      const chunk = await reader.next();
      if (chunk === undefined) {
        return ok(new RequestBody(Buffer.concat(buffered), undefined));
      }
      if (signal.aborted) {
        return err('deadline-passed');
      }
      buffered.push(chunk);
      bufferedBytes += chunk.length;
    }
  } catch (error) {
    return err(error instanceof BodyError ? error.failure : 'caller-gone');
  }
  return ok(new RequestBody(Buffer.concat(buffered), reader));
}
