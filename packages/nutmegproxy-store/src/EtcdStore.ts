/** Client of the platform's key-value store over the etcd v3 JSON gateway. */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {ResultAsync} from 'neverthrow';
import type {Registry} from 'prom-client';

import {err, errAsync, ok} from 'neverthrow';
import {Agent} from 'undici';

import type {EtcdLeaseResponse, EtcdTransactionResponse} from './EtcdJson.ts';
import type {HttpFailure, HttpResponse} from './HttpExchange.ts';
import type {
  LeaseId,
  LeaseResponse,
  PlatformStore,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
  WatchHandler,
} from './PlatformStore.ts';
import type {StoreCallKind, StoreMetrics} from './StoreMetrics.ts';

import {EtcdEndpoints} from './EtcdEndpoints.ts';
import {
  decodeLeaseResponse,
  decodeTransactionResponse,
  encodeTransaction,
  parseMessage,
} from './EtcdJson.ts';
import {EtcdWatch} from './EtcdWatch.ts';
import {exchange} from './HttpExchange.ts';
import {
  BODY_STALL_TIMEOUT_MS,
  CONNECT_TIMEOUT_MS,
  CONNECTIONS_PER_URL,
  DEFAULT_CALL_TIMEOUT_MS,
  MAX_RESPONSE_BYTES,
} from './StoreConstants.ts';
import {STORE_EVENTS} from './StoreEvents.ts';
import {createStoreMetrics} from './StoreMetrics.ts';
import {isWrite} from './StoreUtils.ts';

/** Options of an `EtcdStore`. */
export interface EtcdStoreOptions {
  readonly baseUrls: readonly string[];
  readonly clock: Clock;
  readonly events: EventSink;
  readonly metrics: Registry;
  readonly timeoutMs?: number;
  /** Time in milliseconds without a message after which a watch is reopened. */
  readonly watchIdleTimeoutMs?: number;
}

interface StoreCall {
  readonly body: unknown;
  readonly kind: StoreCallKind;
  readonly path: string;
}

/** gRPC status codes of calls that the store rejected without any effect. */
const REJECTION_CODES = new Set([3, 5, 6, 7, 8, 9, 11, 12, 16]);
/** Kinds of calls whose repetition or loss changes nothing that a caller relies on. */
const READ_KINDS: ReadonlySet<StoreCallKind> = new Set(['read']);

function createFailure(kind: StoreFailure['kind'], message: string): StoreFailure {
  return {kind, message};
}

/** Creates the failure of a call that may have reached the store. */
function createUnansweredFailure(call: StoreCall, message: string): StoreFailure {
  return createFailure(READ_KINDS.has(call.kind) ? 'unavailable' : 'unknown', message);
}

function classifyFailure(call: StoreCall, failure: HttpFailure): StoreFailure {
  return failure.kind === 'not-sent'
    ? createFailure('unavailable', failure.message)
    : createUnansweredFailure(call, failure.message);
}

function parseBody(body: Buffer): Record<string, unknown> | undefined {
  try {
    // Streaming calls return one message per line; the first one is the response.
    const parsed = parseMessage(body.toString().trim().split('\n')[0] ?? '');
    return typeof parsed === 'object' && parsed !== null
      ? (parsed as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}

interface GatewayError {
  readonly code?: number;
  readonly message?: string;
}

/**
 * Returns the error of a message. Streaming calls nest it under `error`; in other calls the message
 * itself is the error, and its `error` is a string.
 */
function readError(message: Record<string, unknown> | undefined): GatewayError | undefined {
  const nested = message?.error;
  return typeof nested === 'object' && nested !== null ? nested : message;
}

function parseResponse(call: StoreCall, response: HttpResponse) {
  const message = parseBody(response.body);
  const error = readError(message);
  const isFailed = response.status !== 200 || message?.error !== undefined;
  if (isFailed && REJECTION_CODES.has(error?.code ?? -1)) {
    return err(createFailure('rejected', error?.message ?? 'rejected'));
  }
  if (isFailed || message === undefined) {
    return err(createUnansweredFailure(call, error?.message ?? `status ${response.status}`));
  }
  return ok(message.result ?? message);
}

/**
 * Sends calls to one of several base URLs. A call that certainly had no effect is retried at the
 * next one.
 */
export class EtcdStore implements PlatformStore {
  readonly #agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections: CONNECTIONS_PER_URL,
    pipelining: 1,
  });
  readonly #clock: Clock;
  readonly #endpoints: EtcdEndpoints;
  readonly #events: EventSink;
  #isHealthy = true;
  readonly #metrics: StoreMetrics;
  readonly #options: EtcdStoreOptions;
  readonly #watches = new Set<EtcdWatch>();

  constructor(options: EtcdStoreOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#endpoints = new EtcdEndpoints(options.baseUrls);
    this.#metrics = createStoreMetrics(options.metrics);
  }

  async close(): Promise<void> {
    for (const watch of this.#watches) {
      watch.close();
    }
    await this.#agent.destroy();
  }

  commit(transaction: Transaction): ResultAsync<TransactionResponse, StoreFailure> {
    const kind = isWrite(transaction) ? 'write' : 'read';
    const body = encodeTransaction(transaction);
    return this.#call({body, kind, path: '/v3/kv/txn'}).map((response) =>
      decodeTransactionResponse(response as EtcdTransactionResponse),
    );
  }

  grantLease(ttlSeconds: number): ResultAsync<LeaseResponse, StoreFailure> {
    const body = {TTL: String(ttlSeconds)};
    return this.#call({body, kind: 'grant', path: '/v3/lease/grant'}).map((response) =>
      decodeLeaseResponse(response as EtcdLeaseResponse),
    );
  }

  keepLeaseAlive(lease: LeaseId): ResultAsync<LeaseResponse, StoreFailure> {
    const call: StoreCall = {body: {ID: lease}, kind: 'keepalive', path: '/v3/lease/keepalive'};
    return this.#call(call).map((response) => ({
      ...decodeLeaseResponse(response as EtcdLeaseResponse),
      lease,
    }));
  }

  revokeLease(lease: LeaseId): ResultAsync<void, StoreFailure> {
    const call: StoreCall = {body: {ID: lease}, kind: 'revoke', path: '/v3/lease/revoke'};
    return this.#call(call).map(() => undefined);
  }

  watch(prefix: string, fromRevision: number, handler: WatchHandler): Watch {
    const dependencies = {
      endpoints: this.#endpoints,
      events: this.#events,
      metrics: this.#metrics,
      ...(this.#options.watchIdleTimeoutMs === undefined
        ? {}
        : {idleTimeoutMs: this.#options.watchIdleTimeoutMs}),
    };
    const watch = new EtcdWatch(dependencies, prefix, fromRevision, handler);
    this.#watches.add(watch);
    return {
      close: () => {
        this.#watches.delete(watch);
        watch.close();
      },
    };
  }

  #call(call: StoreCall): ResultAsync<unknown, StoreFailure> {
    const startedAt = this.#clock.monotonic();
    const deadline = startedAt + (this.#options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS);
    const outcome = this.#tryEndpoints(call, deadline, this.#endpoints.count);
    const finish = (result: 'ok' | StoreFailure['kind']): void => {
      this.#metrics.countCall(call.kind, result, this.#clock.monotonic() - startedAt);
      this.#updateHealth(result === 'ok' || result === 'rejected');
    };
    return outcome
      .andTee(() => {
        finish('ok');
      })
      .orTee((failure) => {
        finish(failure.kind);
      });
  }

  #tryEndpoints(
    call: StoreCall,
    deadline: number,
    attemptsLeft: number,
  ): ResultAsync<unknown, StoreFailure> {
    const baseUrl = this.#endpoints.current();
    return this.#callEndpoint(call, baseUrl, deadline).orElse((failure) => {
      if (failure.kind === 'rejected') {
        return errAsync(failure);
      }
      this.#endpoints.switchFrom(baseUrl);
      const isRetryable = failure.kind === 'unavailable' && attemptsLeft > 1;
      const isInTime = this.#clock.monotonic() < deadline;
      return isRetryable && isInTime
        ? this.#tryEndpoints(call, deadline, attemptsLeft - 1)
        : errAsync(failure);
    });
  }

  #callEndpoint(
    call: StoreCall,
    baseUrl: string,
    deadline: number,
  ): ResultAsync<unknown, StoreFailure> {
    const url = new URL(baseUrl);
    return exchange(this.#agent, {
      ...(READ_KINDS.has(call.kind) ? {bodyStallTimeoutMs: BODY_STALL_TIMEOUT_MS} : {}),
      body: JSON.stringify(call.body),
      maxResponseBytes: MAX_RESPONSE_BYTES,
      method: 'POST',
      origin: url.origin,
      path: `${url.pathname.replace(/\/$/, '')}${call.path}`,
      timeoutMs: Math.max(1, deadline - this.#clock.monotonic()),
    })
      .mapErr((failure) => classifyFailure(call, failure))
      .andThen((response) => parseResponse(call, response));
  }

  #updateHealth(isHealthy: boolean): void {
    if (isHealthy === this.#isHealthy) {
      return;
    }
    this.#isHealthy = isHealthy;
    const kind = isHealthy ? STORE_EVENTS.CALL_RECOVERED : STORE_EVENTS.CALL_FAILED;
    this.#events.record(kind, {endpoint: this.#endpoints.current()});
  }
}
