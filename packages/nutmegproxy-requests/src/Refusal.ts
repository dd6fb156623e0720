/** Answers of the proxy's own, and what they say about whether the request was run. */

import type {RequestId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import {
  HEADER_FIRST_TRY,
  HEADER_OUTCOME,
  HEADER_REQUEST,
  HEADER_RETRY_AFTER_MS,
  RETRY_AFTER_BASE_MS,
  RETRY_AFTER_MAX_MS,
  RETRY_AFTER_SPREAD_MS,
} from './RequestsConstants.ts';

/** `not-run` is said only when no minion has run any part of the request. */
export type Outcome = 'not-run' | 'outcome-unknown';

/** Why the proxy itself answered. */
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
  readonly message: string;
  /** Whether another try may succeed. */
  readonly retry: boolean;
  readonly status: number;
}

const REFUSAL_KINDS: Record<RefusalCode, RefusalKind> = {
  'answer-truncated': {message: 'The answer broke off.', retry: false, status: 502},
  'answer-unframed': {message: 'The answer has no verifiable end.', retry: false, status: 502},
  'body-stalled': {message: 'The request body did not arrive.', retry: false, status: 408},
  'body-too-large': {message: 'The request body is too large.', retry: false, status: 413},
  'deadline-passed': {message: 'The deadline has passed.', retry: true, status: 504},
  'entry-queue-full': {message: 'Too many requests of this entry wait.', retry: true, status: 503},
  internal: {message: 'The proxy failed.', retry: false, status: 500},
  'key-known': {message: 'The key was used before; see the first try.', retry: false, status: 409},
  'key-store-down': {message: 'The key cannot be recorded at present.', retry: true, status: 503},
  malformed: {message: 'The request is malformed.', retry: false, status: 400},
  'minion-failed': {message: 'The minion failed.', retry: false, status: 502},
  'minion-refused': {message: 'The minion refused the request.', retry: true, status: 503},
  'minion-unreachable': {message: 'No minion could be reached.', retry: true, status: 503},
  'no-catalogue': {message: 'This VM knows no catalogue yet.', retry: true, status: 503},
  'no-minion': {message: 'No minion of the service is available.', retry: true, status: 503},
  'no-share': {message: 'This VM has no part of the limit.', retry: true, status: 503},
  'no-tenure': {message: 'This VM may not use its slots at present.', retry: true, status: 503},
  'queue-full': {message: 'Too many requests wait.', retry: true, status: 503},
  stopping: {message: 'This VM is stopping.', retry: true, status: 503},
  'too-late': {message: 'The deadline cannot be met.', retry: true, status: 503},
  'unknown-entry': {message: 'The catalogue has no such request entry.', retry: false, status: 404},
  'unknown-route': {message: 'There is nothing here.', retry: false, status: 404},
};

/** One answer of the proxy's own. */
export interface Refusal {
  readonly code: RefusalCode;
  /** State of the first try with the same idempotency key. */
  readonly firstTry?: string;
  readonly outcome: Outcome;
  /** Least time after which another try makes sense. */
  readonly retryAfterMs?: number;
}

/** Facts about the request that goes unanswered by a minion. */
export interface RefusalContext {
  readonly close: boolean;
  /** 0 to 1; spreads the retries of many callers. */
  readonly random: number;
  readonly request: RequestId;
}

/** Milliseconds after which the caller may try again, spread over callers. */
function spreadRetry(refusal: Refusal, random: number): number {
  const least = RETRY_AFTER_BASE_MS + (refusal.retryAfterMs ?? 0);
  const spread = Math.max(RETRY_AFTER_SPREAD_MS, least) * random;
  return Math.round(Math.min(RETRY_AFTER_MAX_MS, least + spread));
}

/**
 * Sends the proxy's own answer. When part of another answer has gone out, the connection is
 * aborted instead, so that the caller can't take the part for the whole.
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
  const {message, retry, status} = REFUSAL_KINDS[refusal.code];
  const {code, firstTry, outcome} = refusal;
  const body = JSON.stringify({code, firstTry, message, outcome, request: context.request});
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader(HEADER_OUTCOME, outcome);
  response.setHeader(HEADER_REQUEST, context.request);
  if (firstTry !== undefined) {
    response.setHeader(HEADER_FIRST_TRY, firstTry);
  }
  if (retry) {
    const retryAfterMs = spreadRetry(refusal, context.random);
    response.setHeader('retry-after', Math.ceil(retryAfterMs / 1000));
    response.setHeader(HEADER_RETRY_AFTER_MS, retryAfterMs);
  }
  if (context.close || !response.req.complete) {
    response.setHeader('connection', 'close');
  }
  response.end(body);
}
