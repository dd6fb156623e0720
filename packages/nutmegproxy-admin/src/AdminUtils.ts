/** Authentication and body parsing for the administration API. */

import type {Result} from 'neverthrow';
import type {IncomingMessage} from 'node:http';

import {err, ok} from 'neverthrow';
import {createHash, timingSafeEqual} from 'node:crypto';

import type {AdminError} from './AdminResponse.ts';

import {MAX_BODY_BYTES} from './AdminConstants.ts';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Compares an `authorization` header with the expected bearer token in constant time.
 *
 * @example
 * hasToken(request.headers.authorization, token);
 */
export function hasToken(header: string | undefined, token: string): boolean {
  return timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`));
}

function parseBody(text: string): Result<unknown, AdminError> {
  if (text === '') {
    return ok(undefined);
  }
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err({code: 'invalid', message: 'the request body is not valid JSON'});
  }
}

/** Reads and parses a JSON body; fails if it exceeds `MAX_BODY_BYTES`. */
export async function readBody(request: IncomingMessage): Promise<Result<unknown, AdminError>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_BODY_BYTES) {
      return err({code: 'too-large', message: `the request body exceeds ${MAX_BODY_BYTES} bytes`});
    }
    chunks.push(chunk);
  }
  return parseBody(Buffer.concat(chunks).toString('utf8'));
}
