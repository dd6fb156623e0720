/** An owner's view of the minions: orders and responses pass through its VM's event loop, which is charged for them. */

import type {MinionId} from '@nutmegproxy/core';
import type {
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

import {ok, ResultAsync} from 'neverthrow';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {EmulatedLoop} from './EmulatedLoop.ts';
import type {EmulatedVms} from './EmulatedVms.ts';

import {
  ADOPTED_LISTING_MS,
  RECEIVED_LISTING_MS,
  SENT_ORDER_MS,
  SENT_POLL_MS,
  STORE_CALL_MS,
} from './TakeoverCosts.ts';

/** Time in milliseconds from a call to its execution, and from there to the response. */
const ONE_WAY_MS = 1;

export type EmulatedMinions = ReadonlyMap<MinionId, EmulatedMinion>;

interface MinionCall<Answer> {
  readonly execute: (minion: EmulatedMinion, nowMs: number) => Result<Answer, OrderFailure>;
  readonly receiveMs: number;
  readonly sendMs: number;
  /** Time in milliseconds after which the minion responds, beside that of the network. */
  readonly waitMs: number;
}

export class LoopMinions implements MinionDirectory, MinionOrders {
  /** Called before each start is sent. */
  onStart: () => void = () => undefined;
  /** Called when a minion has carried out a start. */
  onStarted: () => void = () => undefined;
  /** Time in milliseconds after which minions carry out a start. */
  startsAfterMs = 0;
  readonly #loop: EmulatedLoop;
  readonly #minions: EmulatedMinions;
  readonly #vms: EmulatedVms;

  constructor(vms: EmulatedVms, loop: EmulatedLoop, minions: EmulatedMinions) {
    this.#loop = loop;
    this.#minions = minions;
    this.#vms = vms;
  }

  disconnect(): void {
    // Connections of emulated minions are not played.
  }

  list(): ResultAsync<MinionSnapshot, StoreFailure> {
    this.#loop.charge(STORE_CALL_MS);
    return new ResultAsync(
      new Promise((resolve) => {
        this.#loop.send(ONE_WAY_MS, () => {
          const minions = [...this.#minions.values()].map(({description}) => description);
          this.#receive(() => {
            resolve(ok({minions, revision: 0}));
          });
        });
      }),
    );
  }

  pace(): ResultAsync<OrderAnswer, OrderFailure> {
    return new ResultAsync(Promise.resolve(ok({clockMs: this.#vms.nowMs})));
  }

  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure> {
    // The lease is renewed as the poll arrives; runs do not end in these plays, so that no response is early.
    const extendLease = (minion: EmulatedMinion, nowMs: number): void => {
      minion.poll(order, nowMs);
    };
    return this.#call(
      target,
      {
        execute: (minion, nowMs) => minion.poll(order, nowMs),
        receiveMs: RECEIVED_LISTING_MS,
        sendMs: SENT_POLL_MS,
        waitMs: order.waitMs,
      },
      extendLease,
    ).map((listing) => this.#chargeAdoption(listing));
  }

  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    this.onStart();
    return this.#call(target, {
      execute: (minion, nowMs) =>
        minion.start(order, nowMs).map((answer) => {
          this.onStarted();
          return answer;
        }),
      receiveMs: 0,
      sendMs: SENT_ORDER_MS,
      waitMs: this.startsAfterMs,
    });
  }

  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#call(target, {
      execute: (minion, nowMs) => minion.stop(order, nowMs),
      receiveMs: 0,
      sendMs: SENT_ORDER_MS,
      waitMs: 0,
    });
  }

  watch(): MinionWatch {
    const loop = this.#loop;
    return {
      close: () => undefined,
      get currentAsOf() {
        return loop.iterationStartedAt;
      },
      isFailing: false,
    };
  }

  #call<Answer>(
    {id}: MinionTarget,
    {execute, receiveMs, sendMs, waitMs}: MinionCall<Answer>,
    onArrival: (minion: EmulatedMinion, nowMs: number) => void = () => undefined,
  ): ResultAsync<Answer, OrderFailure> {
    this.#loop.charge(sendMs);
    return new ResultAsync(
      new Promise((resolve, reject) => {
        const minion = this.#minions.get(id);
        if (minion === undefined) {
          reject(new Error(`no minion ${id}`));
          return;
        }
        const respond = (): void => {
          const answer = execute(minion, this.#vms.nowMs);
          this.#receive(() => {
            this.#loop.charge(receiveMs);
            resolve(answer);
          });
        };
        this.#loop.send(ONE_WAY_MS, () => {
          if (waitMs > 0) {
            onArrival(minion, this.#vms.nowMs);
            this.#vms.schedule(this.#vms.nowMs + waitMs, respond);
          } else {
            respond();
          }
        });
      }),
    );
  }

  /** Returns a listing whose first use charges for its adoption. */
  #chargeAdoption(listing: MinionListing): MinionListing {
    const loop = this.#loop;
    let isCharged = false;
    return {
      ...listing,
      get running() {
        if (!isCharged) {
          isCharged = true;
          loop.charge(ADOPTED_LISTING_MS);
        }
        return listing.running;
      },
    };
  }

  #receive(handle: () => void): void {
    this.#loop.receive(this.#vms.nowMs + ONE_WAY_MS, handle, false);
  }
}
