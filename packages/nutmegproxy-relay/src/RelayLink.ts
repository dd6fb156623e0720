/** The owner's link to one relay: sends orders in batches and matches their outcomes. */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {OrderFailure} from '@nutmegproxy/owner';

import {invariant} from '@nutmegproxy/core';
import {WebSocket} from 'ws';

import type {RelayEncoding} from './RelayEncoding.ts';
import type {RelayedOrder, RelayedOutcome} from './RelayMessages.ts';
import type {Relay} from './RelayRoutes.ts';

import {
  LINK_CHECK_INTERVAL_MS,
  LINK_CONNECT_TIMEOUT_MS,
  MAX_BUFFERED_BYTES,
  MAX_LINK_SILENCE_MS,
  MAX_MESSAGE_BYTES,
  OUTCOME_MARGIN_MS,
} from './RelayConstants.ts';
import {ENCODING_HEADER, PREFERRED_ENCODING, readEncoding} from './RelayEncoding.ts';
import {RELAY_EVENTS} from './RelayEvents.ts';
import {decodeOutcomes, encodeBatch} from './RelayMessages.ts';
import {SentPayloads} from './RelayPayloads.ts';

export interface RelayLinkOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  /** Called once, when the link is lost or could not be opened. */
  readonly onLost: () => void;
  readonly relay: Relay;
}

interface PendingOrder {
  readonly deadline: Instant;
  readonly settle: (outcome: RelayedOutcome | undefined) => void;
}

/** An order without the id that its link gives it. */
export type UnsentOrder = RelayedOrder extends infer Order
  ? Order extends RelayedOrder
    ? Omit<Order, 'id'>
    : never
  : never;

export class RelayLink {
  #batch: RelayedOrder[] = [];
  #batchStartedAt = 0;
  #checkedAt: Instant;
  #encoding: RelayEncoding = 'inline';
  #isLost = false;
  #lastId = 0;
  /** Resolves when the link is open or lost. */
  readonly opened: Promise<void>;
  readonly #options: RelayLinkOptions;
  readonly #payloads = new SentPayloads();
  readonly #pending = new Map<number, PendingOrder>();
  #receivedAt: Instant;
  readonly #socket: WebSocket;
  readonly #timer: NodeJS.Timeout;

  constructor(options: RelayLinkOptions) {
    this.#options = options;
    const {clock, relay} = options;
    this.#receivedAt = clock.monotonic();
    this.#checkedAt = this.#receivedAt;
    this.#socket = new WebSocket(`ws://${relay.relayAddress}`, {
      handshakeTimeout: LINK_CONNECT_TIMEOUT_MS,
      headers: {[ENCODING_HEADER]: PREFERRED_ENCODING},
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#socket.on('upgrade', ({headers}) => {
      this.#encoding = readEncoding(headers);
    });
    this.opened = new Promise((resolve) => {
      this.#socket.on('open', () => {
        this.#receivedAt = clock.monotonic();
        options.events.record(RELAY_EVENTS.LINK_OPEN, {
          ...this.#fields,
          encoding: this.#encoding,
        });
        resolve();
      });
      this.#socket.on('close', () => {
        this.#lose('closed');
        resolve();
      });
    });
    this.#socket.on('message', (data) => {
      this.#receive(data as Buffer);
    });
    this.#socket.on('error', ({message}) => {
      this.#lose(message);
    });
    this.#timer = setInterval(() => {
      this.#check(clock.monotonic());
    }, LINK_CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  get isOpen(): boolean {
    return !this.#isLost && this.#socket.readyState === WebSocket.OPEN;
  }

  /** Closes the link for good; its open orders fail. */
  close(): void {
    const failure = {
      clockMs: undefined,
      isTimeout: true,
      kind: 'unanswered',
      message: 'the link was closed',
    } as const;
    this.#lose('no longer used', failure);
  }

  /**
   * Sends an order that its minion responds to within `timeoutMs`. Resolves to undefined when the
   * link was lost, so that the order may have been carried out.
   */
  send(order: UnsentOrder, timeoutMs: number): Promise<RelayedOutcome | undefined> {
    invariant(this.isOpen, 'an order is sent on a link that is not open');
    const {clock} = this.#options;
    this.#lastId += 1;
    const id = this.#lastId;
    if (this.#batch.length === 0) {
      this.#batchStartedAt = clock.wall();
      setImmediate(() => {
        this.#flush();
      });
    }
    this.#batch.push({...order, id});
    const deadline = (clock.monotonic() + timeoutMs + OUTCOME_MARGIN_MS) as Instant;
    return new Promise((settle) => {
      this.#pending.set(id, {deadline, settle});
    });
  }

  get #fields(): {address: string; vm: string} {
    const {relayAddress, vm} = this.#options.relay;
    return {address: relayAddress, vm};
  }

  #check(now: Instant): void {
    // After a stall of this process, messages may have arrived that it has not read yet.
    const hasStalled = now - this.#checkedAt > 2 * LINK_CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    if (hasStalled) {
      return;
    }
    if (now - this.#receivedAt > MAX_LINK_SILENCE_MS) {
      this.#lose('silent');
      return;
    }
    const [oldest] = this.#pending.values();
    if (oldest !== undefined && now > oldest.deadline) {
      this.#lose('an order got no outcome');
    }
  }

  #flush(): void {
    if (!this.isOpen) {
      return;
    }
    const batch = {orders: this.#batch, sentAt: this.#batchStartedAt};
    this.#batch = [];
    const isNumbered = this.#encoding !== 'inline';
    const message = isNumbered ? this.#payloads.number(batch) : batch;
    this.#socket.send(encodeBatch(message, this.#encoding));
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.#lose('does not read');
    }
  }

  #receive(bytes: Buffer): void {
    const batch = decodeOutcomes(bytes, this.#encoding);
    if (batch.isErr()) {
      const {events} = this.#options;
      events.record(RELAY_EVENTS.MESSAGE_MALFORMED, {...this.#fields, message: batch.error});
      this.#lose('malformed message');
      return;
    }
    this.#receivedAt = this.#options.clock.monotonic();
    for (const outcome of batch.value.outcomes) {
      this.#pending.get(outcome.id)?.settle(outcome);
      this.#pending.delete(outcome.id);
    }
  }

  #lose(reason: string, failure?: OrderFailure): void {
    if (this.#isLost) {
      return;
    }
    this.#isLost = true;
    clearInterval(this.#timer);
    const {events, onLost} = this.#options;
    events.record(RELAY_EVENTS.LINK_LOST, {...this.#fields, orders: this.#pending.size, reason});
    this.#socket.terminate();
    onLost();
    const pending = [...this.#pending];
    this.#pending.clear();
    for (const [id, {settle}] of pending) {
      settle(failure === undefined ? undefined : {failure, id});
    }
  }
}
