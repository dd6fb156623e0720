/** The HTTP listener for callers: connections, routes, health checks and graceful shutdown. */

import type {EntryNode, Instant, RequestId, Unregister} from '@nutmegproxy/core';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';

import {after, brand, BrokenInvariant} from '@nutmegproxy/core';
import {ResultAsync} from 'neverthrow';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';

import type {Refusal} from './Refusal.ts';

import {sendRefusal} from './Refusal.ts';
import {
  CALLER_HEADERS_TIMEOUT_MS,
  CALLER_IDLE_TIMEOUT_MS,
  DRAIN_POLL_INTERVAL_MS,
  MAX_CALLER_CONNECTIONS,
  MAX_CALLER_HEADER_BYTES,
  MAX_STOP_IDLE_WAIT_MS,
  MAX_STOP_POLLS,
  STOP_IDLE_PERIOD_MS,
  STOP_IDLE_SLICE_MS,
  STOP_POLL_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';

/** One request as passed to a route handler. */
export interface CallerExchange {
  readonly arrivedAt: Instant;
  readonly id: RequestId;
  /** Path and query after the route's prefix. */
  readonly path: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Responds to one request; settles when the response has been written to the connection. */
export type CallerRouteHandler = (exchange: CallerExchange) => Promise<void>;

export interface ListenFailure {
  readonly message: string;
}

/** In the phase `refusing`, new requests get the outcome `not-run`. */
export type ListenerPhase = 'open' | 'refusing' | 'stopping';

const STATUS_LINE_BY_ERROR_CODE: Record<string, string> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

export class CallerListener {
  #inProgressCount = 0;
  readonly #isReady: () => boolean;
  #lastRefusedAt: Instant = 0 as Instant;
  readonly #node: EntryNode;
  #phase: ListenerPhase = 'open';
  readonly #random: () => number;
  #requestCount = 0;
  readonly #routes = new Map<string, CallerRouteHandler>();
  readonly #server: Server;

  constructor(node: EntryNode, isReady: () => boolean, random: () => number) {
    this.#isReady = isReady;
    this.#node = node;
    this.#random = random;
    this.#server = createServer(
      {
        headersTimeout: CALLER_HEADERS_TIMEOUT_MS,
        keepAliveTimeout: CALLER_IDLE_TIMEOUT_MS,
        maxHeaderSize: MAX_CALLER_HEADER_BYTES,
        // Bodies have their own stall timeout, since an entry's deadline may be long.
        requestTimeout: 0,
      },
      (request, response) => {
        void this.#serve(request, response);
      },
    );
    this.#server.maxConnections = MAX_CALLER_CONNECTIONS;
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.#handleClientError(error, socket);
    });
  }

  /** Number of requests whose response is not complete. */
  get inProgressCount(): number {
    return this.#inProgressCount;
  }

  listen(host: string, port: number): ResultAsync<AddressInfo, ListenFailure> {
    this.#server.listen({host, port});
    const listening = once(this.#server, 'listening').then(
      // A listener on an IP address always has an `AddressInfo`.
      () => this.#server.address() as AddressInfo,
    );
    return ResultAsync.fromPromise(listening, (error) => ({message: String(error)}));
  }

  /** Sends a refusal as the response of an exchange. */
  refuse({id, response}: CallerExchange, refusal: Refusal): void {
    const {code, outcome} = refusal;
    const eventName = outcome === 'not-run' ? 'REQUEST_REFUSED' : 'REQUEST_FAILED';
    this.#node.events.record(REQUESTS_EVENTS[eventName], {code, outcome, request: id});
    const close = this.#phase !== 'open';
    sendRefusal(response, refusal, {random: this.#random(), requestId: id, shouldClose: close});
  }

  /** Routes requests below `prefix`, which starts and ends with a slash, to `handler`. */
  registerRoute(prefix: string, handler: CallerRouteHandler): Unregister {
    this.#routes.set(prefix, handler);
    return () => {
      if (this.#routes.get(prefix) === handler) {
        this.#routes.delete(prefix);
      }
    };
  }

  /**
   * Shuts down without interrupting requests: reports not ready, refuses new requests after
   * `delayMs`, and closes when all responses are complete. Further calls wait for the same shutdown.
   */
  async stop(delayMs: number): Promise<void> {
    if (this.#phase === 'open') {
      this.#phase = 'stopping';
      this.#node.events.record(REQUESTS_EVENTS.STOP_STARTED, {delayMs});
    }
    await sleep(delayMs);
    this.#phase = 'refusing';
    this.#node.events.record(REQUESTS_EVENTS.STOP_REFUSING, {inProgress: this.#inProgressCount});
    while (this.#inProgressCount > 0) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    await this.#waitUntilIdle();
    await this.#acceptPending();
    const closeEvent = this.#server.listening ? once(this.#server, 'close') : undefined;
    this.#server.close();
    this.#server.closeIdleConnections();
    await closeEvent;
    this.#node.events.record(REQUESTS_EVENTS.STOP_FINISHED, {});
  }

  /** Closes all connections immediately; requests in progress are interrupted. */
  terminate(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Waits until the process has just polled and found no connection that waits to be accepted: closing would reset it.
   * A poll may accept one of many. Connections that are accepted get their response.
   */
  async #acceptPending(): Promise<void> {
    const {clock} = this.#node;
    let accepted = 0;
    this.#server.on('connection', () => {
      accepted += 1;
    });
    for (let polls = 0; polls < MAX_STOP_POLLS; polls += 1) {
      const before = {accepted, at: clock.monotonic()};
      await setImmediate();
      if (accepted === before.accepted && clock.monotonic() - before.at < STOP_POLL_MS) {
        return;
      }
    }
  }

  #createRequestId(): RequestId {
    this.#requestCount += 1;
    return brand<RequestId>(
      `${this.#node.identity.incarnation}-${this.#requestCount.toString(36)}`,
    );
  }

  #findRoute(path: string): undefined | {handler: CallerRouteHandler; prefix: string} {
    const prefixes = [...this.#routes.keys()].filter((each) => path.startsWith(each));
    const [prefix] = prefixes.sort((a, b) => b.length - a.length);
    const handler = prefix === undefined ? undefined : this.#routes.get(prefix);
    return prefix === undefined || handler === undefined ? undefined : {handler, prefix};
  }

  #handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const code = error.code ?? 'unknown';
    this.#node.events.record(REQUESTS_EVENTS.MALFORMED_REQUEST, {code});
    if (code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status = STATUS_LINE_BY_ERROR_CODE[code] ?? '400 Bad Request';
    const head = `HTTP/1.1 ${status}\r\nconnection: close\r\nnutmegproxy-outcome: not-run`;
    socket.end(`${head}\r\ncontent-length: 0\r\n\r\n`);
  }

  async #route(exchange: CallerExchange): Promise<void> {
    const {path, request, response} = exchange;
    if (path === '/health/live' || path === '/health/ready') {
      const isReady = this.#phase === 'open' && this.#isReady();
      respondToHealthCheck(request, response, path === '/health/live' || isReady);
      return;
    }
    if (this.#phase === 'refusing') {
      this.#lastRefusedAt = exchange.arrivedAt;
      this.refuse(exchange, {code: 'stopping', outcome: 'not-run'});
      return;
    }
    const route = this.#findRoute(path);
    if (route === undefined) {
      this.refuse(exchange, {code: 'unknown-route', outcome: 'not-run'});
      return;
    }
    if (this.#phase === 'stopping') {
      response.setHeader('connection', 'close');
    }
    await route.handler({...exchange, path: path.slice(route.prefix.length)});
  }

  /**
   * Waits until no requests have arrived for a while. Closing would reset a request in transit on
   * an idle connection or on one not yet accepted; until then such requests get a regular refusal.
   */
  async #waitUntilIdle(): Promise<void> {
    const {clock} = this.#node;
    const deadline = after(clock.monotonic(), MAX_STOP_IDLE_WAIT_MS);
    this.#lastRefusedAt = clock.monotonic();
    for (let now = clock.monotonic(); now < deadline; now = clock.monotonic()) {
      const remainingMs = after(this.#lastRefusedAt, STOP_IDLE_PERIOD_MS) - now;
      if (remainingMs <= 0) {
        return;
      }
      const sliceMs = Math.min(remainingMs, STOP_IDLE_SLICE_MS);
      await sleep(sliceMs);
      const overdueMs = clock.monotonic() - now - sliceMs;
      if (overdueMs > STOP_IDLE_SLICE_MS) {
        // Requests that arrived while the process was stalled have not been accepted yet.
        this.#lastRefusedAt = clock.monotonic();
      }
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange: CallerExchange = {
      arrivedAt: this.#node.clock.monotonic(),
      id: this.#createRequestId(),
      path: request.url ?? '/',
      request,
      response,
    };
    this.#inProgressCount += 1;
    // Connection errors are handled through the `close` event.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    response.once('close', () => {
      this.#inProgressCount -= 1;
    });
    try {
      await this.#route(exchange);
    } catch (error) {
      if (error instanceof BrokenInvariant) {
        throw error;
      }
      const fields = {message: String(error), request: exchange.id};
      this.#node.events.record(REQUESTS_EVENTS.REQUEST_INTERNAL_ERROR, fields);
      this.refuse(exchange, {code: 'internal', outcome: 'outcome-unknown'});
    }
  }
}

function respondToHealthCheck(
  request: IncomingMessage,
  response: ServerResponse,
  isHealthy: boolean,
): void {
  const isMethodAllowed = request.method === 'GET' || request.method === 'HEAD';
  const status = isHealthy ? 200 : 503;
  response.writeHead(isMethodAllowed ? status : 405, {'content-type': 'text/plain'});
  response.end(isHealthy ? 'ok\n' : 'not ready\n');
}
