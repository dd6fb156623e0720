/** Sends an HTTP request with a deadline; a failure says whether the request may have been sent. */

import type {Result} from 'neverthrow';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';

import {err, ok, ResultAsync} from 'neverthrow';

/** An HTTP request; it is sent at most once. */
export interface HttpRequest {
  readonly body?: string;
  /**
   * Maximum time in milliseconds between two parts of the response body. When it is set, `timeoutMs`
   * applies only until the response begins, so that the size of a body does not decide whether it
   * can be received over a slow link. When omitted, `timeoutMs` includes the body.
   */
  readonly bodyStallTimeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly maxResponseBytes: number;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly origin: string;
  readonly path: string;
  /** Maximum time in milliseconds for the connection, the request and the response. */
  readonly timeoutMs: number;
}

export interface HttpResponse {
  readonly body: Buffer;
  readonly status: number;
}

/** `not-sent`: no byte of the request left this process. */
export interface HttpFailure {
  /** Whether nothing arrived in time; otherwise the connection was refused or closed. */
  readonly isTimeout: boolean;
  /** Whether the response exceeds `maxResponseBytes`, so that a repetition fails as well. */
  readonly isTooLong: boolean;
  readonly kind: 'not-sent' | 'sent';
  readonly message: string;
  /** Size in bytes of the part of the response body that had arrived. */
  readonly receivedBytes: number;
}

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';
const TOO_LONG = 'the answer is too long';

type HttpOutcome = Result<HttpResponse, HttpFailure>;

/** Collects a response and settles once. */
class ResponseCollector implements Dispatcher.DispatchHandler {
  readonly #bodyStallTimeoutMs: number | undefined;
  readonly #chunks: Buffer[] = [];
  #controller: Dispatcher.DispatchController | undefined;
  readonly #maxBytes: number;
  #receivedBytes = 0;
  readonly #resolve: (outcome: HttpOutcome) => void;
  #settled = false;
  #status = 0;
  #timer: NodeJS.Timeout;

  constructor(request: HttpRequest, resolve: (outcome: HttpOutcome) => void) {
    this.#bodyStallTimeoutMs = request.bodyStallTimeoutMs;
    this.#maxBytes = request.maxResponseBytes;
    this.#resolve = resolve;
    this.#timer = this.#failAfter(request.timeoutMs, 'deadline exceeded');
  }

  fail(message: string, {isTimeout = false, isTooLong = false} = {}): void {
    const kind = this.#controller === undefined ? 'not-sent' : 'sent';
    const receivedBytes = this.#receivedBytes;
    this.#settle(err({isTimeout, isTooLong, kind, message, receivedBytes}));
    this.#controller?.abort(new Error(message));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#settled) {
      // The deadline passed while the request waited for a connection: it must not be sent.
      controller.abort(new Error('deadline exceeded'));
      return;
    }
    if (this.#controller !== undefined) {
      // undici restarts a request after some connection errors; a write must not be sent twice.
      this.fail('the connection was lost');
      controller.abort(new Error('the connection was lost'));
      return;
    }
    this.#controller = controller;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes > this.#maxBytes) {
      this.fail(TOO_LONG, {isTooLong: true});
      return;
    }
    this.#chunks.push(chunk);
    if (this.#bodyStallTimeoutMs !== undefined) {
      this.#timer.refresh();
    }
  }

  onResponseEnd(): void {
    this.#settle(ok({body: Buffer.concat(this.#chunks), status: this.#status}));
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const isTimeout = 'code' in error && error.code === CONNECT_TIMEOUT_CODE;
    this.fail(error.message === '' ? error.name : error.message, {isTimeout});
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.#status = status;
    if (Number(headers['content-length'] ?? 0) > this.#maxBytes) {
      this.fail(TOO_LONG, {isTooLong: true});
      return;
    }
    if (this.#bodyStallTimeoutMs !== undefined) {
      clearTimeout(this.#timer);
      this.#timer = this.#failAfter(this.#bodyStallTimeoutMs, 'the response body stalled');
    }
  }

  #failAfter(ms: number, message: string): NodeJS.Timeout {
    return setTimeout(() => {
      const receivedBytes = this.#receivedBytes;
      const status = this.#status;
      // After a stall of this process, timers run before the data that has arrived meanwhile is read.
      setImmediate(() => {
        const hasProgressed = this.#receivedBytes > receivedBytes || this.#status !== status;
        const isTimerRestarted = hasProgressed && this.#bodyStallTimeoutMs !== undefined;
        if (!this.#settled && !isTimerRestarted) {
          this.fail(message, {isTimeout: true});
        }
      });
    }, ms);
  }

  #settle(outcome: HttpOutcome): void {
    if (this.#settled) {
      return;
    }
    this.#settled = true;
    clearTimeout(this.#timer);
    this.#resolve(outcome);
  }
}

function buildHeaders(request: HttpRequest): Record<string, string> {
  const type = request.body === undefined ? {} : {'content-type': 'application/json'};
  return {...type, ...request.headers};
}

/**
 * Sends a request once and collects the response. Settles within `timeoutMs`, or later while the
 * body arrives if the request has a `bodyStallTimeoutMs`.
 *
 * @example
 * const response = await exchange(pool, {maxResponseBytes: 1024, method: 'GET', origin, path: '/vms', timeoutMs: 500});
 */
export function exchange(
  dispatcher: Dispatcher,
  request: HttpRequest,
): ResultAsync<HttpResponse, HttpFailure> {
  return new ResultAsync(
    new Promise<HttpOutcome>((resolve) => {
      const collector = new ResponseCollector(request, resolve);
      try {
        dispatcher.dispatch(
          {
            body: request.body ?? null,
            headers: buildHeaders(request),
            method: request.method,
            origin: request.origin,
            path: request.path,
          },
          collector,
        );
      } catch (error) {
        collector.fail(String(error));
      }
    }),
  );
}
