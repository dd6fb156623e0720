/** Error responses of the proxy, which state whether the request was run. */

import type {RequestId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import {
  HEADER_FIRST_TRY,
  HEADER_OUTCOME,
  HEADER_REQUEST_ID,
  HEADER_RETRY_AFTER_MS,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER_MS,
} from './RequestsConstants.ts';

/** `not-run` guarantees that no minion has run any part of the request. */
export type Outcome = 'not-run' | 'outcome-unknown';

/** Why the proxy refused or failed a request. */
export type RefusalCode =
  | 'answer-truncated'
  | 'answer-unframed'
  | 'body-stalled'
  | 'body-too-large'
  | 'deadline-passed'
  | 'entry-queue-full'
  | 'internal'
  | 'key-known'
  | 'key-store-down'
  | 'malformed'
  | 'minion-failed'
  | 'minion-refused'
  | 'minion-unreachable'
  | 'no-catalogue'
  | 'no-minion'
  | 'no-share'
  | 'no-tenure'
  | 'queue-full'
  | 'stopping'
  | 'too-late'
  | 'unknown-entry'
  | 'unknown-route';

interface RefusalKind {
  /** Whether a retry may succeed. */
  readonly isRetryable: boolean;
  readonly message: string;
  readonly status: number;
}

const REFUSAL_KIND_BY_CODE: Record<RefusalCode, RefusalKind> = {
  'answer-truncated': {isRetryable: false, message: 'The answer broke off.', status: 502},
  'answer-unframed': {
    isRetryable: false,
    message: 'The answer has no verifiable end.',
    status: 502,
  },
  'body-stalled': {isRetryable: false, message: 'The request body did not arrive.', status: 408},
  'body-too-large': {isRetryable: false, message: 'The request body is too large.', status: 413},
  'deadline-passed': {isRetryable: true, message: 'The deadline has passed.', status: 504},
  'entry-queue-full': {
    isRetryable: true,
    message: 'Too many requests of this entry wait.',
    status: 503,
  },
  internal: {isRetryable: false, message: 'The proxy failed.', status: 500},
  'key-known': {
    isRetryable: false,
    message: 'The key was used before; see the first try.',
    status: 409,
  },
  'key-store-down': {
    isRetryable: true,
    message: 'The key cannot be recorded at present.',
    status: 503,
  },
  malformed: {isRetryable: false, message: 'The request is malformed.', status: 400},
  'minion-failed': {isRetryable: false, message: 'The minion failed.', status: 502},
  'minion-refused': {isRetryable: true, message: 'The minion refused the request.', status: 503},
  'minion-unreachable': {isRetryable: true, message: 'No minion could be reached.', status: 503},
  'no-catalogue': {isRetryable: true, message: 'This VM knows no catalogue yet.', status: 503},
  'no-minion': {isRetryable: true, message: 'No minion of the service is available.', status: 503},
  'no-share': {isRetryable: true, message: 'This VM has no part of the limit.', status: 503},
  'no-tenure': {
    isRetryable: true,
    message: 'This VM may not use its slots at present.',
    status: 503,
  },
  'queue-full': {isRetryable: true, message: 'Too many requests wait.', status: 503},
  stopping: {isRetryable: true, message: 'This VM is stopping.', status: 503},
  'too-late': {isRetryable: true, message: 'The deadline cannot be met.', status: 503},
  'unknown-entry': {
    isRetryable: false,
    message: 'The catalogue has no such request entry.',
    status: 404,
  },
  'unknown-route': {isRetryable: false, message: 'There is nothing here.', status: 404},
};

/** An error response of the proxy. */
export interface Refusal {
  readonly code: RefusalCode;
  /** State of the first request with the same idempotency key. */
  readonly firstTry?: string;
  readonly outcome: Outcome;
  /** Minimum delay before a retry may succeed. */
  readonly retryAfterMs?: number;
}

/** Properties of the refused request and its connection. */
export interface RefusalContext {
  /** 0 to 1; adds jitter to the retry delay. */
  readonly random: number;
  readonly requestId: RequestId;
  readonly shouldClose: boolean;
}

/** Returns the delay in milliseconds before the caller may retry, with jitter. */
function computeRetryAfterMs(refusal: Refusal, random: number): number {
  const minimumMs = MIN_RETRY_AFTER_MS + (refusal.retryAfterMs ?? 0);
  const jitterMs = Math.max(RETRY_AFTER_JITTER_MS, minimumMs) * random;
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, minimumMs + jitterMs));
}

/**
 * Sends an error response. If part of a minion's response was already sent, the connection is
 * aborted instead, so that the caller cannot mistake the truncated response for a complete one.
 */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  context: RefusalContext,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const {isRetryable, message, status} = REFUSAL_KIND_BY_CODE[refusal.code];
  const {code, firstTry, outcome} = refusal;
  const body = JSON.stringify({code, firstTry, message, outcome, request: context.requestId});
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader(HEADER_OUTCOME, outcome);
  response.setHeader(HEADER_REQUEST_ID, context.requestId);
  if (firstTry !== undefined) {
    response.setHeader(HEADER_FIRST_TRY, firstTry);
  }
  if (isRetryable) {
    const retryAfterMs = computeRetryAfterMs(refusal, context.random);
    response.setHeader('retry-after', Math.ceil(retryAfterMs / 1000));
    response.setHeader(HEADER_RETRY_AFTER_MS, retryAfterMs);
  }
  if (context.shouldClose || !response.req.complete) {
    response.setHeader('connection', 'close');
  }
  response.end(body);
}
