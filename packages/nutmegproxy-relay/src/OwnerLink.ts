/** A relay's side of its link to an owner. */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';
import type {WebSocket} from 'ws';

import type {RelayEncoding} from './RelayEncoding.ts';
import type {OrderBatch, RelayedOrder, RelayedOutcome} from './RelayMessages.ts';

import {
  MAX_BATCH_DELAY_MS,
  MAX_BUFFERED_BYTES,
  OUTCOME_DELAY_MS,
  RELAY_HEARTBEAT_MS,
} from './RelayConstants.ts';
import {RELAY_EVENTS} from './RelayEvents.ts';
import {decodeOrders, encodeBatch} from './RelayMessages.ts';
import {ReceivedPayloads} from './RelayPayloads.ts';

export interface OwnerLinkOptions {
  /** IP address of the owner. */
  readonly address: string;
  readonly clock: Clock;
  readonly encoding: RelayEncoding;
  readonly events: EventSink;
  /** Carries out an order; never rejects. */
  readonly execute: (order: RelayedOrder) => Promise<RelayedOutcome>;
  readonly onClosed: () => void;
  readonly socket: WebSocket;
}

export class OwnerLink {
  #heartbeatTimer: NodeJS.Timeout | undefined;
  readonly #options: OwnerLinkOptions;
  /** Smallest difference between this VM's clock at the receipt of a batch and the owner's at its sending. */
  #leastDelayMs = Infinity;
  #outcomes: RelayedOutcome[] = [];
  readonly #payloads = new ReceivedPayloads();

  constructor(options: OwnerLinkOptions) {
    this.#options = options;
    const {address, events, onClosed, socket} = options;
    events.record(RELAY_EVENTS.OWNER_LINKED, {address});
    socket.on('message', (data) => {
      this.#receive(data as Buffer);
    });
    // A close event follows each error.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(this.#heartbeatTimer);
      events.record(RELAY_EVENTS.OWNER_UNLINKED, {address});
      onClosed();
    });
    this.#awaitHeartbeat();
  }

  close(): void {
    this.#options.socket.terminate();
  }

  /** Sends the next message that shows that the relay is up, unless outcomes are sent before. */
  #awaitHeartbeat(): void {
    clearTimeout(this.#heartbeatTimer);
    this.#heartbeatTimer = setTimeout(() => {
      this.#flush();
    }, RELAY_HEARTBEAT_MS);
    this.#heartbeatTimer.unref();
  }

  #decode(bytes: Buffer): Result<OrderBatch, string> {
    const {encoding} = this.#options;
    const batch = decodeOrders(bytes, encoding);
    return encoding === 'inline' ? batch : batch.andThen((each) => this.#payloads.restore(each));
  }

  #flush(): void {
    const {encoding, socket} = this.#options;
    if (socket.readyState !== socket.OPEN) {
      return;
    }
    const outcomes = this.#outcomes;
    this.#outcomes = [];
    socket.send(encodeBatch({outcomes}, encoding));
    this.#awaitHeartbeat();
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.close();
    }
  }

  /**
   * Whether a batch was held up. The clocks of two VMs differ, so its delay is compared with that of
   * the fastest batch. This process may have been suspended since the batch arrived.
   */
  #isLate({sentAt}: OrderBatch): boolean {
    const delayMs = this.#options.clock.wall() - sentAt;
    this.#leastDelayMs = Math.min(this.#leastDelayMs, delayMs);
    return delayMs - this.#leastDelayMs > MAX_BATCH_DELAY_MS;
  }

  #receive(bytes: Buffer): void {
    const {address, events, execute} = this.#options;
    const batch = this.#decode(bytes);
    if (batch.isErr()) {
      events.record(RELAY_EVENTS.MESSAGE_MALFORMED, {address, message: batch.error});
      this.close();
      return;
    }
    if (this.#isLate(batch.value)) {
      const {orders, sentAt} = batch.value;
      events.record(RELAY_EVENTS.BATCH_LATE, {address, orders: orders.length, sentAt});
      this.close();
      return;
    }
    for (const order of batch.value.orders) {
      void execute(order).then((outcome) => {
        this.#report(outcome);
      });
    }
  }

  #report(outcome: RelayedOutcome): void {
    if (this.#outcomes.length === 0) {
      setTimeout(() => {
        this.#flush();
      }, OUTCOME_DELAY_MS);
    }
    this.#outcomes.push(outcome);
  }
}
