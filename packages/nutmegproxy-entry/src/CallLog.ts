/**
 * Counts callers' requests on this VM, with and without a response, and logs the counts at a bounded rate. The lines
 * tell a request that was not served in time from one that never reached this VM.
 */

import type {EventSink, Instant, RequestId} from '@nutmegproxy/core';

import {ENTRY_EVENTS} from './EntryEvents.ts';

/** How a request ended. `abandoned`: the caller's connection was closed before the response. */
export type CallOutcome = 'abandoned' | 'refused' | 'served';

/** A request without a response so far. */
export interface OpenCall {
  readonly receivedAt: Instant;
  readonly request: RequestId;
}

interface SlowestCall {
  readonly ms: number;
  readonly request: RequestId | undefined;
}

const NO_CALL: SlowestCall = {ms: 0, request: undefined};

/**
 * @example
 * const call = log.begin(requestId, clock.monotonic());
 * const response = await handle(request);
 * log.end(call, 'served', clock.monotonic());
 */
export class CallLog {
  #connections = 0;
  readonly #counts: Record<CallOutcome, number> = {abandoned: 0, refused: 0, served: 0};
  readonly #events: EventSink;
  /** In the order of their receipt. */
  readonly #open = new Set<OpenCall>();
  #received = 0;
  #slowest = NO_CALL;

  constructor(events: EventSink) {
    this.#events = events;
  }

  /** Number of requests without a response. */
  get openCalls(): number {
    return this.#open.size;
  }

  begin(request: RequestId, now: Instant): OpenCall {
    const call = {receivedAt: now, request};
    this.#open.add(call);
    this.#received += 1;
    return call;
  }

  end(call: OpenCall, outcome: CallOutcome, now: Instant): void {
    this.#open.delete(call);
    this.#counts[outcome] += 1;
    const ms = now - call.receivedAt;
    if (ms >= this.#slowest.ms) {
      this.#slowest = {ms, request: call.request};
    }
  }

  /** Records that a caller has opened a connection. */
  recordConnection(): void {
    this.#connections += 1;
  }

  /** Logs the counts since the last call, if there are any. */
  flush(now: Instant): void {
    const [oldest] = this.#open;
    if (this.#received === 0 && this.#connections === 0 && oldest === undefined) {
      return;
    }
    this.#events.record(ENTRY_EVENTS.CALLS_COUNTED, {
      ...this.#counts,
      connections: this.#connections,
      oldestMs: oldest === undefined ? 0 : Math.round(now - oldest.receivedAt),
      open: this.#open.size,
      received: this.#received,
      slowest: this.#slowest.request,
      slowestMs: Math.round(this.#slowest.ms),
    });
    Object.assign(this.#counts, {abandoned: 0, refused: 0, served: 0});
    this.#connections = 0;
    this.#received = 0;
    this.#slowest = NO_CALL;
  }
}
