/** One request of a caller, from its arrival to its response. */

import type {WaitingRequest} from '@nutmegproxy/admission';
import type {MinionId} from '@nutmegproxy/core';
import type {ServerResponse} from 'node:http';

import type {ForwardedHeaders} from './HeaderUtils.ts';
import type {RequestBody} from './RequestBody.ts';

export interface Call {
  /** Aborts at the deadline or when the caller disconnects; see the reasons below. */
  readonly abort: AbortController;
  readonly body: RequestBody;
  readonly headers: ForwardedHeaders;
  readonly isIdempotent: boolean;
  readonly method: string;
  /** Path and query sent to the minion. */
  readonly path: string;
  readonly request: WaitingRequest;
  readonly response: ServerResponse;
  readonly service: string;
  /** Minions on which this request has been attempted. */
  readonly triedMinions: Set<MinionId>;
}

/** Abort reasons of a call's signal. */
export const ABORT_CALLER_DISCONNECTED = 'caller-gone';
export const ABORT_DEADLINE = 'deadline';
