/** Sends one request as its caller and tells how it ended. */

import type {Dispatcher} from 'undici';

import {SERVICE_TIME_HEADER} from '@nutmegproxy/standins';
import {request} from 'undici';

import type {Arrival} from './Arrivals.ts';
import type {CallEnding} from './LoadFigures.ts';

import {CALLER_GRACE_MS} from './LoadConstants.ts';

/** How a call ended. */
export interface CallEnd {
  readonly ending: CallEnding;
  readonly retryAfter: boolean;
}

/** What a call is sent with. */
export interface CallPlan {
  readonly arrival: Arrival;
  /** Time after which the caller gives up by itself. */
  readonly cancelAfterMs: number | undefined;
  readonly dispatcher: Dispatcher;
  readonly origin: string;
  /** Time that is left of the deadline. */
  readonly timeoutMs: number;
}

const UNCONNECTED = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
const OUTCOME_ENDINGS: Readonly<Record<string, CallEnding>> = {
  'not-run': 'not-run',
  'outcome-unknown': 'unknown',
};

function toEnding(outcome: string | string[] | undefined): CallEnding {
  return outcome === undefined ? 'answered' : (OUTCOME_ENDINGS[String(outcome)] ?? 'unknown');
}

function toFailedEnding(error: unknown, isCancelled: boolean): CallEnding {
  if (isCancelled) {
    return 'cancelled';
  }
  const {code = ''} = error as {code?: string};
  return UNCONNECTED.has(code) ? 'unreachable' : 'unknown';
}

/** Sends a request to an entry VM; never rejects. */
export async function sendCall(plan: CallPlan): Promise<CallEnd> {
  const {arrival, cancelAfterMs, dispatcher, origin, timeoutMs} = plan;
  const limitMs = cancelAfterMs ?? timeoutMs + CALLER_GRACE_MS;
  const signal = AbortSignal.timeout(Math.max(1, Math.ceil(limitMs)));
  try {
    const answer = await request(`${origin}/entries/${arrival.traffic.entry}/run`, {
      body: 'work',
      dispatcher,
      headers: {
        'nutmegproxy-timeout-ms': String(Math.max(1, Math.round(timeoutMs))),
        [SERVICE_TIME_HEADER]: String(arrival.serviceMs),
      },
      method: 'POST',
      signal,
    });
    await answer.body.dump();
    const ending = toEnding(answer.headers['nutmegproxy-outcome']);
    return {ending, retryAfter: answer.headers['retry-after'] !== undefined};
  } catch (error) {
    const isCancelled = cancelAfterMs !== undefined && signal.aborted;
    return {ending: toFailedEnding(error, isCancelled), retryAfter: false};
  }
}
