/**
 * Carries out the orders of the fleet's owner on this VM. It decides nothing: each order names its
 * minion and has the owner's token, so that minions reject it once there is another owner.
 */

import type {Clock, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {MinionOrders, MinionTarget, OrderAnswer, OrderFailure} from '@nutmegproxy/owner';
import type {IncomingMessage} from 'node:http';
import type {WebSocket} from 'ws';

import {ResultAsync} from 'neverthrow';
import {WebSocketServer} from 'ws';

import type {OrderByKind, OrderKind, RelayedOrder, RelayedOutcome} from './RelayMessages.ts';

import {OwnerLink} from './OwnerLink.ts';
import {IDLE_MINION_MS, MAX_MESSAGE_BYTES} from './RelayConstants.ts';
import {ENCODING_HEADER, PREFERRED_ENCODING, readEncoding} from './RelayEncoding.ts';
import {RELAY_EVENTS} from './RelayEvents.ts';

type OutcomeFields = Omit<RelayedOutcome, 'id'>;
type OrderHandler<Kind extends OrderKind> = (
  orders: MinionOrders,
  target: MinionTarget,
  order: OrderByKind[Kind],
) => ResultAsync<OutcomeFields, OrderFailure>;

function toFields({clockMs}: OrderAnswer): OutcomeFields {
  return {clockMs};
}

const ORDER_HANDLERS: {readonly [Kind in OrderKind]: OrderHandler<Kind>} = {
  pace: (orders, target, order) => orders.pace(target, order).map(toFields),
  poll: (orders, target, order) => orders.poll(target, order).map((listing) => ({listing})),
  start: (orders, target, order) => orders.start(target, order).map(toFields),
  stop: (orders, target, order) => orders.stop(target, order).map(toFields),
};

export interface RelayServerOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  /** IP address to listen on. */
  readonly host: string;
  readonly orders: MinionOrders;
  /** Port to listen on; 0 for any. */
  readonly port: number;
}

export class RelayServer {
  readonly #links = new Set<OwnerLink>();
  readonly #options: RelayServerOptions;
  #server: undefined | WebSocketServer;
  #sweepTimer: NodeJS.Timeout | undefined;
  readonly #usedAt = new Map<MinionId, {at: Instant; target: MinionTarget}>();

  constructor(options: RelayServerOptions) {
    this.#options = options;
  }

  /** Port that the relay listens on; undefined before `start`. */
  get port(): number | undefined {
    const address = this.#server?.address();
    return typeof address === 'object' ? address?.port : undefined;
  }

  /** Closes the listener and all links; owners then send their orders themselves. */
  close(): void {
    clearInterval(this.#sweepTimer);
    this.#server?.close();
    for (const link of [...this.#links]) {
      link.close();
    }
  }

  /** Opens the listener; the error says why that failed. */
  start(): ResultAsync<void, string> {
    const {events, host, port} = this.#options;
    const server = new WebSocketServer({
      host,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
      port,
    });
    this.#server = server;
    server.on('headers', (headers, request) => {
      if (readEncoding(request.headers) === PREFERRED_ENCODING) {
        headers.push(`${ENCODING_HEADER}: ${PREFERRED_ENCODING}`);
      }
    });
    server.on('connection', (socket, request) => {
      this.#accept(socket, request);
    });
    this.#sweepTimer = setInterval(() => {
      this.#disconnectIdle(this.#options.clock.monotonic());
    }, IDLE_MINION_MS);
    this.#sweepTimer.unref();
    const opened = new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    return ResultAsync.fromPromise(opened, String).map(() => {
      server.on('error', ({message}) => {
        events.record(RELAY_EVENTS.LISTENER_FAILED, {message});
      });
    });
  }

  #accept(socket: WebSocket, request: IncomingMessage): void {
    const {clock, events} = this.#options;
    const link = new OwnerLink({
      address: request.socket.remoteAddress ?? '',
      clock,
      encoding: readEncoding(request.headers),
      events,
      execute: (order) => this.#execute(order),
      onClosed: () => {
        this.#links.delete(link);
      },
      socket,
    });
    this.#links.add(link);
  }

  #disconnectIdle(now: Instant): void {
    for (const [id, {at, target}] of this.#usedAt) {
      if (now - at > IDLE_MINION_MS) {
        this.#usedAt.delete(id);
        this.#options.orders.disconnect(target);
      }
    }
  }

  async #execute({id, kind, order, target}: RelayedOrder): Promise<RelayedOutcome> {
    const {clock, orders} = this.#options;
    this.#usedAt.set(target.id, {at: clock.monotonic(), target});
    // The kind decides the type of the order, which the compiler can't follow through the table.
    const handle = ORDER_HANDLERS[kind] as OrderHandler<typeof kind>;
    const answer = await handle(orders, target, order);
    return answer.match(
      (fields) => ({...fields, id}),
      (failure) => ({failure, id}),
    );
  }
}
