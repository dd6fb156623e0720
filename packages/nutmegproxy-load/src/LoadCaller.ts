/** Sends one request as a caller and returns its outcome. */

import type {Dispatcher} from 'undici';

import {SERVICE_TIME_HEADER} from '@nutmegproxy/standins';
import {request} from 'undici';

import type {Arrival} from './Arrivals.ts';
import type {CallOutcome} from './LoadFigures.ts';

import {CALLER_GRACE_MS} from './LoadConstants.ts';

/** The result of a call. */
export interface CallResult {
  readonly outcome: CallOutcome;
  readonly retryAfter: boolean;
}

/** Options of a call. */
export interface CallOptions {
  readonly arrival: Arrival;
  /** Time after which the caller cancels the request; undefined for never. */
  readonly cancelAfterMs: number | undefined;
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  /** Time left until the deadline. */
  readonly timeoutMs: number;
}

const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
const CALL_OUTCOMES: Readonly<Record<string, CallOutcome>> = {
  'not-run': 'not-run',
  'outcome-unknown': 'unknown',
};

function toCallOutcome(header: string | string[] | undefined): CallOutcome {
  return header === undefined ? 'answered' : (CALL_OUTCOMES[String(header)] ?? 'unknown');
}

function toFailedOutcome(error: unknown, isCancelled: boolean): CallOutcome {
  if (isCancelled) {
    return 'cancelled';
  }
  const {code = ''} = error as {code?: string};
  return CONNECT_ERROR_CODES.has(code) ? 'unreachable' : 'unknown';
}

/** Sends a request to an entry VM; never rejects. */
export async function sendCall(options: CallOptions): Promise<CallResult> {
  const {arrival, cancelAfterMs, dispatcher, origin, timeoutMs} = options;
  const limitMs = cancelAfterMs ?? timeoutMs + CALLER_GRACE_MS;
  const signal = AbortSignal.timeout(Math.max(1, Math.ceil(limitMs)));
  try {
    const response = await request(`${origin}/entries/${arrival.traffic.entry}/run`, {
      body: 'work',
      dispatcher,
      headers: {
        'nutmegproxy-timeout-ms': String(Math.max(1, Math.round(timeoutMs))),
        [SERVICE_TIME_HEADER]: String(arrival.serviceMs),
      },
      method: 'POST',
      signal,
    });
    await response.body.dump();
    const outcome = toCallOutcome(response.headers['nutmegproxy-outcome']);
    return {outcome: outcome, retryAfter: response.headers['retry-after'] !== undefined};
  } catch (error) {
    const isCancelled = cancelAfterMs !== undefined && signal.aborted;
    return {outcome: toFailedOutcome(error, isCancelled), retryAfter: false};
  }
}
