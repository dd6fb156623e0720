/** The stand-in for the platform's store: a subset of the etcd v3 JSON gateway, with faults. */

import type {EtcdTransaction, LeaseId, WatchEvent} from '@nutmegproxy/store';
import type {ServerResponse} from 'node:http';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeText, parseMessage} from '@nutmegproxy/store';
import {setTimeout as sleep} from 'node:timers/promises';

import type {HttpExchange, HttpRoutes, Standin} from './HttpListener.ts';
import type {EngineOperation, EngineTransaction} from './StoreEngine.ts';
import type {StoreFaultSettings} from './StoreFaults.ts';

import {listen, parseControl, sendJson} from './HttpListener.ts';
import {LEASE_CHECK_INTERVAL_MS, MAX_OPERATIONS, MAX_VALUE_BYTES} from './StandinsConstants.ts';
import {StoreEngine} from './StoreEngine.ts';
import {StoreFaults} from './StoreFaults.ts';
import {
  decodeTransaction,
  encodeHeader,
  encodeTransactionResponse,
  encodeWatchEvent,
} from './StoreWire.ts';

/** Body of POST /control. */
export interface StoreControl extends StoreFaultSettings {
  /** Compacts the store up to the current revision. */
  readonly compact?: boolean;
  /** Closes the connections of all open watches. */
  readonly cutWatches?: boolean;
  readonly resetCounters?: boolean;
}

/** Calls since the start or the last reset, by kind; an open watch counts as one. */
export type StoreCounters = Record<
  'grant' | 'keepalive' | 'read' | 'revoke' | 'watch' | 'write',
  number
>;

const GRPC_NOT_FOUND = 5;
const GRPC_INVALID_ARGUMENT = 3;

/** An error response with its gRPC code. */
class EtcdError extends Error {
  readonly code: number;

  constructor(code: number, message: string) {
    super(message);
    this.code = code;
  }
}

function createCounters(): StoreCounters {
  return {grant: 0, keepalive: 0, read: 0, revoke: 0, watch: 0, write: 0};
}

function flattenOperations(transaction: EngineTransaction): readonly EngineOperation[] {
  const own = [...transaction.then, ...(transaction.otherwise ?? [])];
  return own.flatMap((operation) =>
    operation.kind === 'transaction'
      ? [operation, ...flattenOperations(operation.transaction)]
      : [operation],
  );
}

/** Returns the keys that a branch of a transaction may put; etcd rejects duplicates. */
function collectPutKeys(operations: readonly EngineOperation[]): readonly string[] {
  const keys = operations.flatMap((operation) => {
    if (operation.kind === 'transaction') {
      const {otherwise, then} = operation.transaction;
      return [...new Set([...collectPutKeys(then), ...collectPutKeys(otherwise ?? [])])];
    }
    return operation.kind === 'put' ? [operation.key] : [];
  });
  if (new Set(keys).size < keys.length) {
    throw new EtcdError(GRPC_INVALID_ARGUMENT, 'etcdserver: duplicate key given in txn request');
  }
  return keys;
}

/** An etcd stand-in that listens after `start`. */
export class StoreServer {
  readonly engine = new StoreEngine();
  readonly faults = new StoreFaults();
  #counters = createCounters();
  readonly #openWatches = new Set<ServerResponse>();

  async start(port = 0): Promise<Standin> {
    const standin = await listen(port, this.#routes());
    const timer = setInterval(() => {
      this.engine.expire(SYSTEM_CLOCK.monotonic());
    }, LEASE_CHECK_INTERVAL_MS);
    return {
      close: () => {
        clearInterval(timer);
        return standin.close();
      },
      port: standin.port,
    };
  }

  control(message: StoreControl): void {
    this.faults.change(message);
    if (message.compact === true) {
      this.engine.compact();
    }
    if (message.resetCounters === true) {
      this.#counters = createCounters();
    }
    if (message.cutWatches === true || message.down === true) {
      this.#closeWatches();
    }
  }

  get counters(): Readonly<StoreCounters> {
    return this.#counters;
  }

  #routes(): HttpRoutes {
    return {
      'GET /counters': ({response}) => {
        sendJson(response, this.#counters);
      },
      'POST /control': ({body, response}) => {
        this.control(parseControl(body) as StoreControl);
        sendJson(response, {});
      },
      'POST /v3/kv/txn': (exchange) => this.#respond(exchange, (body) => this.#commit(body)),
      'POST /v3/lease/grant': (exchange) => this.#respond(exchange, (body) => this.#grant(body)),
      'POST /v3/lease/keepalive': (exchange) =>
        this.#respond(exchange, (body) => this.#keepAlive(body)),
      'POST /v3/lease/revoke': (exchange) => this.#respond(exchange, (body) => this.#revoke(body)),
      'POST /v3/watch': (exchange) => {
        this.#watch(exchange);
      },
    };
  }

  /** Executes one call, subject to the active faults. */
  async #respond(exchange: HttpExchange, execute: (body: unknown) => object): Promise<void> {
    const {body, response} = exchange;
    if (this.faults.delayMs > 0) {
      await sleep(this.faults.delayMs);
    }
    if (this.faults.down) {
      response.destroy();
      return;
    }
    try {
      const result = execute(parseMessage(body.toString()));
      if (this.faults.shouldDropResponse()) {
        response.destroy();
        return;
      }
      sendJson(response, result);
    } catch (error) {
      const code = error instanceof EtcdError ? error.code : GRPC_INVALID_ARGUMENT;
      const message = error instanceof Error ? error.message : String(error);
      sendJson(response, {code, error: message, message}, 400);
    }
  }

  #commit(body: unknown): object {
    const transaction = decodeTransaction(body as EtcdTransaction);
    const now = SYSTEM_CLOCK.monotonic();
    const operations = flattenOperations(transaction);
    const writes = operations.some(({kind}) => kind === 'put' || kind === 'delete');
    this.#counters[writes ? 'write' : 'read'] += 1;
    for (const operation of operations) {
      this.#checkOperation(operation);
    }
    collectPutKeys(transaction.then);
    collectPutKeys(transaction.otherwise ?? []);
    if (transaction.then.length > MAX_OPERATIONS) {
      throw new EtcdError(GRPC_INVALID_ARGUMENT, 'etcdserver: too many operations in txn request');
    }
    return encodeTransactionResponse(this.engine.commit(transaction, now));
  }

  #checkOperation(operation: EngineOperation): void {
    if (operation.kind !== 'put') {
      return;
    }
    if (operation.value.length > MAX_VALUE_BYTES) {
      throw new EtcdError(GRPC_INVALID_ARGUMENT, 'etcdserver: request is too large');
    }
    if (!this.engine.hasLease(operation.lease ?? '0', SYSTEM_CLOCK.monotonic())) {
      throw new EtcdError(GRPC_NOT_FOUND, 'etcdserver: requested lease not found');
    }
  }

  #grant(body: unknown): object {
    this.#counters.grant += 1;
    const {TTL} = body as {TTL?: string};
    const granted = this.engine.grantLease(Number(TTL ?? 0), SYSTEM_CLOCK.monotonic());
    return {
      header: encodeHeader(this.engine.revision),
      ID: granted.lease,
      TTL: String(granted.ttlSeconds),
    };
  }

  #keepAlive(body: unknown): object {
    this.#counters.keepalive += 1;
    const {ID} = body as {ID?: string};
    const lease = brand<LeaseId>(ID ?? '0');
    const renewed = this.engine.keepLeaseAlive(lease, SYSTEM_CLOCK.monotonic());
    const ttl = renewed.ttlSeconds === 0 ? {} : {TTL: String(renewed.ttlSeconds)};
    return {result: {header: encodeHeader(this.engine.revision), ID: lease, ...ttl}};
  }

  #revoke(body: unknown): object {
    this.#counters.revoke += 1;
    const {ID} = body as {ID?: string};
    if (!this.engine.revokeLease(brand<LeaseId>(ID ?? '0'), SYSTEM_CLOCK.monotonic())) {
      throw new EtcdError(GRPC_NOT_FOUND, 'etcdserver: requested lease not found');
    }
    return {header: encodeHeader(this.engine.revision)};
  }

  #watch({body, response}: HttpExchange): void {
    this.#counters.watch += 1;
    if (this.faults.down) {
      response.destroy();
      return;
    }
    const {createRequest} = parseMessage(body.toString()) as {
      createRequest: {key: string; startRevision?: string};
    };
    const send = (result: object): void => {
      response.write(`${JSON.stringify({result})}\n`);
    };
    const sendEvents = (events: readonly WatchEvent[], revision: number): void => {
      send({events: events.map(encodeWatchEvent), header: encodeHeader(revision)});
    };
    const fromRevision = Number(createRequest.startRevision ?? 0);
    const prefix = decodeText(createRequest.key);
    const subscription = this.engine.subscribe(prefix, fromRevision, sendEvents);
    const header = encodeHeader(subscription.revision);
    response.writeHead(200, {'content-type': 'application/json'});
    send({created: true, header});
    if (subscription.compactedRevision !== undefined) {
      const compact_revision = String(subscription.compactedRevision);
      send({canceled: true, compact_revision, header});
    }
    if (subscription.missedEvents.length > 0) {
      sendEvents(subscription.missedEvents, subscription.revision);
    }
    this.#openWatches.add(response);
    response.on('close', () => {
      this.#openWatches.delete(response);
      subscription.close();
    });
  }

  #closeWatches(): void {
    for (const response of this.#openWatches) {
      response.destroy();
    }
  }
}
