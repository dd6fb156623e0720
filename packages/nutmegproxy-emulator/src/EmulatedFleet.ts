/** Minions of a service within the process, with the faults that orders and listings can have. */

import type {Clock, Instant, MinionId} from '@nutmegproxy/core';
import type {
  HoldOrder,
  MinionChange,
  MinionDirectory,
  MinionOrders,
  MinionSnapshot,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {StoreFailure, Watch} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {err, ok, okAsync, ResultAsync} from 'neverthrow';

import type {EmulatedMinion} from './EmulatedMinion.ts';

/** Time in milliseconds after which an order without an answer fails, as on the platform. */
const ORDER_TIMEOUT_MS = 40;
/** Time in milliseconds that a listing waits; short, so that tests are quick. */
const LISTING_WAIT_MS = 10;

/** What happens to the orders for one minion. */
export interface OrderFaults {
  /** Listings get no answer; other orders do. */
  holdsAreLost: boolean;
  /** Neither orders nor answers arrive. */
  isCutOff: boolean;
  /** Starts are carried out this much later and get no answer, in milliseconds; 0 for none. */
  startsLateMs: number;
}

export class EmulatedFleet implements MinionDirectory, MinionOrders {
  readonly minions = new Map<MinionId, EmulatedMinion>();
  readonly #clock: Clock;
  readonly #faults = new Map<MinionId, OrderFaults>();
  readonly #watchers = new Set<(changes: readonly MinionChange[]) => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(minion: EmulatedMinion): void {
    const {id} = minion.description;
    this.minions.set(id, minion);
    this.#announce([{description: minion.description, id}]);
  }

  faults(id: MinionId): OrderFaults {
    const faults = this.#faults.get(id) ?? {
      holdsAreLost: false,
      isCutOff: false,
      startsLateMs: 0,
    };
    this.#faults.set(id, faults);
    return faults;
  }

  hold(target: MinionTarget, order: HoldOrder): ResultAsync<MinionListing, OrderFailure> {
    return this.#call(target, async (minion) => {
      await sleep(Math.min(order.waitMs, LISTING_WAIT_MS));
      if (this.faults(target.id).holdsAreLost) {
        await sleep(ORDER_TIMEOUT_MS);
        return err(UNANSWERED);
      }
      return minion.hold(order, this.#now());
    });
  }

  list(): ResultAsync<MinionSnapshot, StoreFailure> {
    const minions = [...this.minions.values()].map(({description}) => description);
    return okAsync({minions, revision: 0});
  }

  pace(): ResultAsync<OrderAnswer, OrderFailure> {
    return okAsync({clockMs: this.#now()});
  }

  release(): void {
    // There are no connections to close.
  }

  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    const {startsLateMs} = this.faults(target.id);
    return this.#call(target, async (minion) => {
      if (startsLateMs > 0) {
        setTimeout(() => minion.start(order, this.#now()), startsLateMs);
        await sleep(ORDER_TIMEOUT_MS);
        return err(UNANSWERED);
      }
      return minion.start(order, this.#now());
    });
  }

  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#call(target, (minion) => Promise.resolve(minion.stop(order, this.#now())));
  }

  watch(
    _fromRevision: number,
    handler: {readonly onChanges: (changes: readonly MinionChange[]) => void},
  ): Watch {
    this.#watchers.add(handler.onChanges);
    return {
      close: () => {
        this.#watchers.delete(handler.onChanges);
      },
    };
  }

  #announce(changes: readonly MinionChange[]): void {
    for (const onChanges of this.#watchers) {
      onChanges(changes);
    }
  }

  #call<Answer>(
    target: MinionTarget,
    act: (minion: EmulatedMinion) => Promise<Result<Answer, OrderFailure>>,
  ): ResultAsync<Answer, OrderFailure> {
    return new ResultAsync(this.#deliver(target, act));
  }

  async #deliver<Answer>(
    target: MinionTarget,
    act: (minion: EmulatedMinion) => Promise<Result<Answer, OrderFailure>>,
  ): Promise<Result<Answer, OrderFailure>> {
    const minion = this.minions.get(target.id);
    if (minion === undefined || this.faults(target.id).isCutOff) {
      await sleep(ORDER_TIMEOUT_MS);
      return err(UNANSWERED);
    }
    const answer = await act(minion);
    return this.faults(target.id).isCutOff ? err(UNANSWERED) : answer.andThen((each) => ok(each));
  }

  #now(): Instant {
    return this.#clock.monotonic();
  }
}

const UNANSWERED: OrderFailure = {
  clockMs: undefined,
  kind: 'unanswered',
  message: 'deadline exceeded',
};

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
