/** Passes orders on to minions, and knows which of them have no response that was handled. */

import type {Clock, EventFields, Instant, MinionId} from '@nutmegproxy/core';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {ResultAsync} from 'neverthrow';

import {after} from '@nutmegproxy/core';

import type {
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  PaceOrder,
  PollOrder,
  RunOrder,
  StartOrder,
} from './MinionOrders.ts';

interface OpenCall {
  /** When the call was sent; for a poll, when the minion has to respond at the latest. */
  readonly dueAt: Instant;
  readonly minion: MinionId;
  readonly name: 'pace' | 'poll' | 'start' | 'stop';
}

/**
 * @example
 * const orders = new TrackedOrders(options.orders, clock);
 * orders.describe(now); // {call: 'start', callMinion: 'm1', callMs: 320, openCalls: 14}
 */
export class TrackedOrders implements MinionOrders {
  readonly #clock: Clock;
  readonly #open = new Set<OpenCall>();
  readonly #orders: MinionOrders;

  constructor(orders: MinionOrders, clock: Clock) {
    this.#clock = clock;
    this.#orders = orders;
  }

  /**
   * Returns the number of open calls as event fields, and of the one that has been due the longest its
   * name, its minion and the time in milliseconds since it was due.
   */
  describe(now: Instant): EventFields {
    let oldest: OpenCall | undefined;
    for (const call of this.#open) {
      oldest = call.dueAt < (oldest?.dueAt ?? Infinity) ? call : oldest;
    }
    return {
      call: oldest?.name,
      callMinion: oldest?.minion,
      callMs: oldest && Math.max(0, Math.round(now - oldest.dueAt)),
      openCalls: this.#open.size,
    };
  }

  disconnect(target: MinionTarget): void {
    this.#orders.disconnect(target);
  }

  pace(target: MinionTarget, order: PaceOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#track('pace', target, this.#orders.pace(target, order));
  }

  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure> {
    return this.#track('poll', target, this.#orders.poll(target, order), order.waitMs);
  }

  async prepare(targets: readonly MinionTarget[]): Promise<void> {
    await this.#orders.prepare?.(targets);
  }

  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#track('start', target, this.#orders.start(target, order));
  }

  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#track('stop', target, this.#orders.stop(target, order));
  }

  #track<Answer>(
    name: OpenCall['name'],
    {id}: MinionTarget,
    answer: ResultAsync<Answer, OrderFailure>,
    waitMs = 0,
  ): ResultAsync<Answer, OrderFailure> {
    const call = {dueAt: after(this.#clock.monotonic(), waitMs), minion: id, name};
    this.#open.add(call);
    const close = (): void => {
      this.#open.delete(call);
    };
    // The caller handles an unexpected error of the call.
    void answer.then(close, close);
    return answer;
  }
}
