/** One request of a caller, from its arrival to its answer. */

import type {WaitingRequest} from '@nutmegproxy/admission';
import type {MinionId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import type {ForwardedHeaders} from './HeaderUtils.ts';
import type {RequestBody} from './RequestBody.ts';

export interface Call {
  /** Aborts at the deadline, or when the caller goes away; see the reasons below. */
  readonly abort: AbortController;
  readonly body: RequestBody;
  readonly headers: ForwardedHeaders;
  readonly isIdempotent: boolean;
  readonly method: string;
  /** Path and query for the minion. */
  readonly path: string;
  readonly request: WaitingRequest;
  readonly response: ServerResponse;
  readonly service: string;
  /** Minions that this request was tried on. */
  readonly triedMinions: Set<MinionId>;
}

/** Reasons with which a call's signal aborts. */
export const ABORT_CALLER_DISCONNECTED = 'caller-gone';
export const ABORT_DEADLINE = 'deadline';
