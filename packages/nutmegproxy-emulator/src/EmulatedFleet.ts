/** In-process minions of a service, with injected faults of orders and polls. */

import type {Clock, Instant, MinionId} from '@nutmegproxy/core';
import type {
  MinionChange,
  MinionDirectory,
  MinionOrders,
  MinionSnapshot,
  MinionTarget,
  MinionWatch,
  OrderAnswer,
  OrderFailure,
  PollOrder,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {err, ok, okAsync, ResultAsync} from 'neverthrow';

import type {EmulatedMachineList} from './EmulatedMachineList.ts';
import type {EmulatedMinion} from './EmulatedMinion.ts';

/** Time after which an order without a response fails, as on the platform. */
const ORDER_TIMEOUT_MS = 40;
/** Default of the longest time that a poll waits; short, so that tests are quick. */
const MAX_POLL_WAIT_MS = 10;

/** Injected faults of the orders for one minion. */
export interface OrderFaults {
  /** The responses to polls are lost; those to other orders arrive. */
  arePollAnswersLost: boolean;
  /** Neither orders nor their responses arrive. */
  isUnreachable: boolean;
  /** The minion's response to each call, which it does not carry out; undefined for no fault. */
  rejection: OrderFailure | undefined;
  /** Starts are carried out after this delay in milliseconds and get no response; 0 for no fault. */
  startDelayMs: number;
}

type WatchHandler = Parameters<MinionDirectory['watch']>[1];

export class EmulatedFleet implements MinionDirectory, MinionOrders {
  /** Longest time in milliseconds that a poll waits. */
  maxPollWaitMs = MAX_POLL_WAIT_MS;
  /** Whether the calls of watches fail while they are delayed. */
  areWatchesFailing = false;
  /** Undefined for a platform without a list of machines. */
  machineList: EmulatedMachineList | undefined;
  readonly minions = new Map<MinionId, EmulatedMinion>();
  readonly #clock: Clock;
  readonly #faults = new Map<MinionId, OrderFaults>();
  /** Changes that delayed watches have not reported; undefined while they are not delayed. */
  #delayedChanges: MinionChange[] | undefined;
  #delayedSince: Instant | undefined;
  readonly #watchers = new Set<WatchHandler>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(minion: EmulatedMinion): void {
    const {id} = minion.description;
    this.minions.set(id, minion);
    this.#notifyWatchers([{description: minion.description, id}]);
  }

  /** Removes a minion that has left: its runs are over and it no longer responds. */
  remove(id: MinionId): void {
    this.minions.delete(id);
    this.removeEntry(id);
  }

  /** Removes the entry of a minion that still responds. */
  removeEntry(id: MinionId): void {
    this.#notifyWatchers([{description: undefined, id}]);
  }

  /** Replaces a minion that has crashed: another one responds at its address. */
  replace(former: MinionId, minion: EmulatedMinion): void {
    this.faults(former).rejection = {
      clockMs: undefined,
      kind: 'other-life',
      message: 'another minion',
    };
    this.add(minion);
  }

  faults(id: MinionId): OrderFaults {
    const faults = this.#faults.get(id) ?? {
      arePollAnswersLost: false,
      isUnreachable: false,
      rejection: undefined,
      startDelayMs: 0,
    };
    this.#faults.set(id, faults);
    return faults;
  }

  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure> {
    return this.#call(target, async (minion) => {
      await sleep(Math.min(order.waitMs, this.maxPollWaitMs));
      if (this.faults(target.id).arePollAnswersLost) {
        await sleep(ORDER_TIMEOUT_MS);
        return err(TIMED_OUT);
      }
      return minion.poll(order, this.#now());
    });
  }

  list(): ResultAsync<MinionSnapshot, StoreFailure> {
    const minions = [...this.minions.values()].map(({description}) => description);
    return okAsync({minions, revision: 0});
  }

  pace(): ResultAsync<OrderAnswer, OrderFailure> {
    return okAsync({clockMs: this.#now()});
  }

  disconnect(): void {
    // An in-process minion has no connections.
  }

  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    const {startDelayMs} = this.faults(target.id);
    return this.#call(target, async (minion) => {
      if (startDelayMs > 0) {
        // A start that is still delayed must not keep a test's process alive.
        setTimeout(() => minion.start(order, this.#now()), startDelayMs).unref();
        await sleep(ORDER_TIMEOUT_MS);
        return err(TIMED_OUT);
      }
      return minion.start(order, this.#now());
    });
  }

  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#call(target, (minion) => Promise.resolve(minion.stop(order, this.#now())));
  }

  watch(_fromRevision: number, handler: WatchHandler): MinionWatch {
    this.#watchers.add(handler);
    const findCurrentAsOf = (): Instant => this.#delayedSince ?? this.#now();
    const isFailing = (): boolean => this.areWatchesFailing;
    return {
      close: () => {
        this.#watchers.delete(handler);
      },
      get currentAsOf() {
        return findCurrentAsOf();
      },
      get isFailing() {
        return isFailing();
      },
    };
  }

  /** Lets watches report no changes until `resumeWatches` is called. */
  delayWatches(): void {
    this.#delayedChanges ??= [];
    this.#delayedSince ??= this.#now();
  }

  /** Reports the delayed changes. */
  resumeWatches(): void {
    const changes = this.#delayedChanges ?? [];
    this.#delayedChanges = undefined;
    this.#delayedSince = undefined;
    this.areWatchesFailing = false;
    this.#notifyWatchers(changes);
  }

  /** Breaks all watches after a change that they do not report. */
  breakWatches(change: () => void): void {
    const broken = [...this.#watchers];
    this.#watchers.clear();
    change();
    for (const {onBroken} of broken) {
      onBroken({kind: 'unavailable', message: 'the watch broke'});
    }
  }

  #notifyWatchers(changes: readonly MinionChange[]): void {
    if (this.#delayedChanges !== undefined) {
      this.#delayedChanges.push(...changes);
      return;
    }
    for (const {onChanges} of this.#watchers) {
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
    if (minion === undefined || this.faults(target.id).isUnreachable) {
      await sleep(ORDER_TIMEOUT_MS);
      return err(TIMED_OUT);
    }
    const {rejection} = this.faults(target.id);
    if (rejection !== undefined) {
      return err(rejection);
    }
    if (minion.isDown(this.#now())) {
      return err(CLOSED);
    }
    const answer = await act(minion);
    if (this.faults(target.id).isUnreachable) {
      return err(TIMED_OUT);
    }
    return minion.isDown(this.#now()) ? err(CLOSED) : answer.andThen((each) => ok(each));
  }

  #now(): Instant {
    return this.#clock.monotonic();
  }
}

const TIMED_OUT: OrderFailure = {
  clockMs: undefined,
  isTimeout: true,
  kind: 'unanswered',
  message: 'deadline exceeded',
};
/** A minion that crashes closes its connections, and refuses others while it is down. */
const CLOSED: OrderFailure = {
  clockMs: undefined,
  isTimeout: false,
  kind: 'unanswered',
  message: 'other side closed',
};

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
