/** The route of catalogue entries: checks a caller's request and hands it to the dispatcher. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryId, EntryNode, TeamId} from '@nutmegproxy/core';
import type {Entry} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';
import type {ServerResponse} from 'node:http';

import {after, brand} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {Call} from './Call.ts';
import type {CallerExchange, CallerListener} from './CallerListener.ts';
import type {KeyedDispatch} from './KeyedDispatch.ts';
import type {Refusal, RefusalCode} from './Refusal.ts';
import type {BodyFailure, RequestBody} from './RequestBody.ts';
import type {RequestDispatcher} from './RequestDispatcher.ts';
import type {RequestsMetrics} from './RequestsMetrics.ts';

import {ABORT_CALLER_GONE, ABORT_DEADLINE} from './Call.ts';
import {stripHeaders} from './HeaderUtils.ts';
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

/** What a caller asks for, after the checks that need no body. */
interface Target {
  readonly entry: RequestEntry;
  /** Idempotency key of the caller. */
  readonly key: string | undefined;
  /** Path and query for the minion. */
  readonly path: string;
  readonly timeoutMs: number;
}

/** What the route works with. */
export interface EntryRequestsParts {
  readonly catalogue: CatalogueSource;
  readonly dispatcher: RequestDispatcher;
  readonly keyed: KeyedDispatch;
  readonly listener: CallerListener;
  readonly metrics: RequestsMetrics;
  readonly node: EntryNode;
}

const TARGET_PATTERN = /^([a-z0-9][a-z0-9.-]{0,62})(\/[^\s\p{Cc}]*)?(\?[^\s\p{Cc}]*)?$/u;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/;
const KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD']);

export class EntryRequests {
  readonly #parts: EntryRequestsParts;

  constructor(parts: EntryRequestsParts) {
    this.#parts = parts;
  }

  /** Answers one request below `/entries/`. */
  async handle(exchange: CallerExchange): Promise<void> {
    const target = this.#findTarget(exchange);
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
        abort.abort(ABORT_CALLER_GONE);
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
    {entry, path, timeoutMs}: Target,
    abort: AbortController,
    body: RequestBody,
  ): Call {
    const {arrivedAt, id, request, response} = exchange;
    const method = request.method ?? 'GET';
    return {
      abort,
      body,
      headers: stripHeaders(request.headers),
      idempotent: entry.idempotent === true || IDEMPOTENT_METHODS.has(method),
      method,
      path,
      response,
      service: entry.service,
      tried: new Set(),
      waiting: {
        arrivedAt,
        class: entry.class,
        deadline: after(arrivedAt, timeoutMs),
        entry: brand<EntryId>(entry.id),
        id,
        team: brand<TeamId>(entry.owner),
      },
    };
  }

  #findTarget({path, request}: CallerExchange): Result<Target, RefusalCode> {
    const match = TARGET_PATTERN.exec(path);
    if (match === null) {
      return err('malformed');
    }
    const [, id = '', rest = '/', query = ''] = match;
    const view = this.#parts.catalogue.current();
    if (view.revision === 0) {
      return err('no-catalogue');
    }
    const entry = view.entries.get(brand<EntryId>(id));
    if (entry === undefined || !isRequestEntry(entry)) {
      return err('unknown-entry');
    }
    const wished = request.headers[HEADER_TIMEOUT_MS];
    if (wished !== undefined && (typeof wished !== 'string' || !TIMEOUT_PATTERN.test(wished))) {
      return err('malformed');
    }
    const key = request.headers[HEADER_IDEMPOTENCY_KEY];
    if (key !== undefined && (typeof key !== 'string' || !KEY_PATTERN.test(key))) {
      return err('malformed');
    }
    const limitMs = entry.limits.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const timeoutMs = Math.min(limitMs, Number(wished ?? limitMs));
    return ok({entry, key, path: `${rest}${query}`, timeoutMs});
  }

  #finish(exchange: CallerExchange, entry: RequestEntry): void {
    const {metrics, node} = this.#parts;
    metrics.answers.inc({class: entry.class, code: 'answered'});
    const elapsedMs = node.clock.monotonic() - exchange.arrivedAt;
    metrics.duration.observe({class: entry.class}, elapsedMs / 1000);
    boundSending(exchange.response);
  }

  #refuse(exchange: CallerExchange, refusal: Refusal, workClass: string): void {
    this.#parts.metrics.answers.inc({class: workClass, code: refusal.code});
    this.#parts.listener.refuse(exchange, refusal);
    boundSending(exchange.response);
  }

  /** Answers a request whose body was not read; nothing has gone to a minion. */
  #refuseBody(exchange: CallerExchange, failure: BodyFailure, entry: RequestEntry): void {
    if (failure === 'caller-gone') {
      this.#reportGone(exchange, 'not-run');
      return;
    }
    this.#refuse(exchange, {code: failure, outcome: 'not-run'}, entry.class);
  }

  #reportGone(exchange: CallerExchange, outcome: string): void {
    const fields = {outcome, request: exchange.id};
    this.#parts.node.events.record(REQUESTS_EVENTS.CALLER_GONE, fields);
    exchange.response.destroy();
  }

  async #run(exchange: CallerExchange, target: Target, abort: AbortController): Promise<void> {
    const {entry, key} = target;
    const limitBytes = entry.limits.bodyBytes ?? DEFAULT_BODY_BYTES;
    const body = await readRequestBody(exchange.request, limitBytes, abort.signal);
    if (body.isErr()) {
      this.#refuseBody(exchange, body.error, entry);
      return;
    }
    const call = this.#createCall(exchange, target, abort, body.value);
    const {dispatcher, keyed} = this.#parts;
    const end = await (call.idempotent || key === undefined
      ? dispatcher.run(call)
      : keyed.run(call, key));
    if (end.kind === 'answered') {
      this.#finish(exchange, entry);
      return;
    }
    if (abort.signal.reason === ABORT_CALLER_GONE) {
      this.#reportGone(exchange, end.refusal.outcome);
      return;
    }
    if (exchange.response.headersSent) {
      const fields = {code: end.refusal.code, request: exchange.id};
      this.#parts.node.events.record(REQUESTS_EVENTS.ANSWER_TRUNCATED, fields);
    }
    this.#refuse(exchange, end.refusal, entry.class);
  }
}

/** Ends the connection of a caller that doesn't read its answer. */
function boundSending(response: ServerResponse): void {
  if (!response.writableFinished) {
    response.setTimeout(CALLER_IDLE_TIMEOUT_MS, () => response.destroy());
  }
}

function isRequestEntry(entry: Entry): entry is RequestEntry {
  return entry.kind === 'request' && entry.service !== undefined;
}
