/** The route of catalogue entries: validates a caller's request and passes it to the dispatcher. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryId, EntryNode, TeamId} from '@nutmegproxy/core';
import type {Entry} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {ServerResponse} from 'node:http';

import {after, brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {Call} from './Call.ts';
import type {CallerExchange, CallerListener} from './CallerListener.ts';
import type {KeyedDispatcher} from './KeyedDispatcher.ts';
import type {Refusal, RefusalCode} from './Refusal.ts';
import type {BodyFailure, RequestBody} from './RequestBody.ts';
import type {RequestDispatcher} from './RequestDispatcher.ts';
import type {RequestsMetrics} from './RequestsMetrics.ts';

import {ABORT_CALLER_DISCONNECTED, ABORT_DEADLINE} from './Call.ts';
import {pickForwardedHeaders} from './HeaderUtils.ts';
import {readRequestBody} from './RequestBody.ts';
import {
  CALLER_IDLE_TIMEOUT_MS,
  DEFAULT_BODY_BYTES,
  DEFAULT_TIMEOUT_MS,
  HEADER_IDEMPOTENCY_KEY,
  HEADER_TIMEOUT_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';

/** An entry whose requests go to the minions of a service. */
type RequestEntry = Entry & {readonly service: string};

/** The parsed request line and headers of a caller's request. */
interface RequestTarget {
  readonly entry: RequestEntry;
  /** The caller's idempotency key. */
  readonly key: string | undefined;
  /** Path and query sent to the minion. */
  readonly path: string;
  readonly timeoutMs: number;
}

/** Dependencies of the route. */
export interface EntryRequestsDependencies {
  readonly catalogue: CatalogueSource;
  readonly dispatcher: RequestDispatcher;
  readonly keyed: KeyedDispatcher;
  readonly listener: CallerListener;
  readonly metrics: RequestsMetrics;
  readonly node: EntryNode;
}

const TARGET_PATTERN = /^([a-z0-9][a-z0-9.-]{0,62})(\/[^\s\p{Cc}]*)?(\?[^\s\p{Cc}]*)?$/u;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/;
const KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD']);

export class EntryRequests {
  readonly #dependencies: EntryRequestsDependencies;

  constructor(dependencies: EntryRequestsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Handles one request below `/entries/`. */
  async handle(exchange: CallerExchange): Promise<void> {
    const target = this.#parseTarget(exchange);
    if (target.isErr()) {
      this.#refuse(exchange, {code: target.error, outcome: 'not-run'}, 'none');
      return;
    }
    const abort = new AbortController();
    const timer = setTimeout(() => {
      abort.abort(ABORT_DEADLINE);
    }, target.value.timeoutMs);
    exchange.response.once('close', () => {
      if (!exchange.response.writableFinished) {
        abort.abort(ABORT_CALLER_DISCONNECTED);
      }
    });
    try {
      await this.#run(exchange, target.value, abort);
    } finally {
      clearTimeout(timer);
    }
  }

  #createCall(
    exchange: CallerExchange,
    {entry, path, timeoutMs}: RequestTarget,
    abort: AbortController,
    body: RequestBody,
  ): Call {
    const {arrivedAt, id, request, response} = exchange;
    const method = request.method ?? 'GET';
    return {
      abort,
      body,
      headers: pickForwardedHeaders(request.headers),
      isIdempotent: entry.idempotent === true || IDEMPOTENT_METHODS.has(method),
      method,
      path,
      request: {
        arrivedAt,
        class: entry.class,
        deadline: after(arrivedAt, timeoutMs),
        entry: brand<EntryId>(entry.id),
        id,
        team: brand<TeamId>(entry.owner),
      },
      response,
      service: entry.service,
      triedMinions: new Set(),
    };
  }

  #parseTarget({path, request}: CallerExchange): Result<RequestTarget, RefusalCode> {
    const match = TARGET_PATTERN.exec(path);
    if (match === null) {
      return err('malformed');
    }
    const [, id = '', subpath = '/', query = ''] = match;
    const catalogue = this.#dependencies.catalogue.current();
    if (catalogue.revision === 0) {
      return err('no-catalogue');
    }
    const entry = catalogue.entries.get(brand<EntryId>(id));
    if (entry === undefined || !isRequestEntry(entry)) {
      return err('unknown-entry');
    }
    const requestedTimeout = request.headers[HEADER_TIMEOUT_MS];
    if (
      requestedTimeout !== undefined &&
      (typeof requestedTimeout !== 'string' || !TIMEOUT_PATTERN.test(requestedTimeout))
    ) {
      return err('malformed');
    }
    const key = request.headers[HEADER_IDEMPOTENCY_KEY];
    if (key !== undefined && (typeof key !== 'string' || !KEY_PATTERN.test(key))) {
      return err('malformed');
    }
    const maxTimeoutMs = entry.limits.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const timeoutMs = Math.min(maxTimeoutMs, Number(requestedTimeout ?? maxTimeoutMs));
    return ok({entry, key, path: `${subpath}${query}`, timeoutMs});
  }

  #recordResponse(exchange: CallerExchange, entry: RequestEntry): void {
    const {metrics, node} = this.#dependencies;
    metrics.responses.inc({class: entry.class, code: 'answered'});
    const elapsedMs = node.clock.monotonic() - exchange.arrivedAt;
    metrics.duration.observe({class: entry.class}, elapsedMs / 1000);
    limitSendTime(exchange.response);
  }

  #refuse(exchange: CallerExchange, refusal: Refusal, workClass: string): void {
    this.#dependencies.metrics.responses.inc({class: workClass, code: refusal.code});
    this.#dependencies.listener.refuse(exchange, refusal);
    limitSendTime(exchange.response);
  }

  /** Refuses a request whose body could not be read; nothing was sent to a minion. */
  #refuseBody(exchange: CallerExchange, failure: BodyFailure, entry: RequestEntry): void {
    if (failure === 'caller-gone') {
      this.#handleCallerDisconnect(exchange, 'not-run');
      return;
    }
    this.#refuse(exchange, {code: failure, outcome: 'not-run'}, entry.class);
  }

  #handleCallerDisconnect(exchange: CallerExchange, outcome: string): void {
    const fields = {outcome, request: exchange.id};
    this.#dependencies.node.events.record(REQUESTS_EVENTS.CALLER_DISCONNECTED, fields);
    exchange.response.destroy();
  }

  async #run(
    exchange: CallerExchange,
    target: RequestTarget,
    abort: AbortController,
  ): Promise<void> {
    const {entry, key} = target;
    const maxBodyBytes = entry.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readRequestBody(exchange.request, maxBodyBytes, abort.signal);
    if (body.isErr()) {
      this.#refuseBody(exchange, body.error, entry);
      return;
    }
    const call = this.#createCall(exchange, target, abort, body.value);
    const {dispatcher, keyed} = this.#dependencies;
    const result = await (call.isIdempotent || key === undefined
      ? dispatcher.run(call)
      : keyed.run(call, key));
    if (result.kind === 'answered') {
      this.#recordResponse(exchange, entry);
      return;
    }
    if (abort.signal.reason === ABORT_CALLER_DISCONNECTED) {
      this.#handleCallerDisconnect(exchange, result.refusal.outcome);
      return;
    }
    if (exchange.response.headersSent) {
      const fields = {code: result.refusal.code, request: exchange.id};
      this.#dependencies.node.events.record(REQUESTS_EVENTS.RESPONSE_TRUNCATED, fields);
    }
    this.#refuse(exchange, result.refusal, entry.class);
  }
}

/** Closes the connection of a caller that stops reading its response. */
function limitSendTime(response: ServerResponse): void {
  if (!response.writableFinished) {
    response.setTimeout(CALLER_IDLE_TIMEOUT_MS, () => response.destroy());
  }
}

function isRequestEntry(entry: Entry): entry is RequestEntry {
  return entry.kind === 'request' && entry.service !== undefined;
}
