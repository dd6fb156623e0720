/**
 * The payloads of jobs on a link. All tasks of a job have the same one, so it is sent with the first of them, and
 * starts name it by its number. Both sides drop all payloads before the same message.
 */

import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';

import type {OrderBatch, RelayedOrder} from './RelayMessages.ts';

/** Characters of payloads on a link above which they are dropped before the next message. */
const MAX_CHARACTERS = 1024 * 1024;

/** A payload that starts of this message and of later ones name by its number. */
export interface NumberedPayload {
  readonly number: number;
  readonly text: string;
}

function replacePayload(order: RelayedOrder, payload: string): RelayedOrder {
  return order.kind === 'start' ? {...order, order: {...order.order, payload}} : order;
}

/**
 * The owner's side of a link.
 *
 * @example
 * const sent = new SentPayloads();
 * sent.number({orders: [start], sentAt}); // {orders: [start with payload '1'], payloads: [{number: 1, text}], sentAt}
 */
export class SentPayloads {
  #characters = 0;
  #lastNumber = 0;
  readonly #numbers = new Map<string, number>();

  /** Returns the batch with numbers in place of payloads, and the payloads that are new. */
  number({orders, sentAt}: OrderBatch): OrderBatch {
    if (this.#characters > MAX_CHARACTERS) {
      this.#characters = 0;
      this.#numbers.clear();
    }
    const payloads: NumberedPayload[] = [];
    const numbered = orders.map((order) => {
      if (order.kind !== 'start') {
        return order;
      }
      const text = order.order.payload;
      const number = this.#numbers.get(text) ?? this.#add(text, payloads);
      return replacePayload(order, String(number));
    });
    return payloads.length === 0
      ? {orders: numbered, sentAt}
      : {orders: numbered, payloads, sentAt};
  }

  #add(text: string, payloads: NumberedPayload[]): number {
    this.#lastNumber += 1;
    this.#characters += text.length;
    this.#numbers.set(text, this.#lastNumber);
    payloads.push({number: this.#lastNumber, text});
    return this.#lastNumber;
  }
}

/**
 * The relay's side of a link.
 *
 * @example
 * received.restore(batch).map(({orders}) => orders);
 */
export class ReceivedPayloads {
  #characters = 0;
  readonly #texts = new Map<string, string>();

  /** Returns the batch with the payloads that its starts name; the error names a number without one. */
  restore({orders, payloads = [], sentAt}: OrderBatch): Result<OrderBatch, string> {
    if (this.#characters > MAX_CHARACTERS) {
      this.#characters = 0;
      this.#texts.clear();
    }
    for (const {number, text} of payloads) {
      this.#characters += text.length;
      this.#texts.set(String(number), text);
    }
    const restored: RelayedOrder[] = [];
    for (const order of orders) {
      const payload = order.kind === 'start' ? this.#texts.get(order.order.payload) : '';
      if (payload === undefined) {
        return err(`no payload for order ${order.id}`);
      }
      restored.push(replacePayload(order, payload));
    }
    return ok({orders: restored, sentAt});
  }
}
