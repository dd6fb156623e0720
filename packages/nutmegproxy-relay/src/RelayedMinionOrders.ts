/**
 * Sends the orders of an owner. In a large fleet, other entry VMs carry them out, so that the owner's
 * process has time to plan. A recent order whose link is lost is sent again by the owner itself:
 * minions carry out the same order once.
 */

import type {Clock, EventSink, VmId} from '@nutmegproxy/core';
import type {
  MinionOrders,
  MinionTarget,
  OrderAnswer,
  OrderFailure,
  PaceOrder,
  PollOrder,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {Result} from 'neverthrow';

import {delay} from '@nutmegproxy/core';
import {err, ok, ResultAsync} from 'neverthrow';

import type {UnsentOrder} from './RelayLink.ts';
import type {RelayedOutcome} from './RelayMessages.ts';
import type {Relay, RelayCandidate} from './RelayRoutes.ts';

import {
  LINK_PREPARATION_MS,
  MAX_RESENT_AGE_MS,
  RELAYED_ORDER_TIMEOUT_MS,
} from './RelayConstants.ts';
import {RelayLink} from './RelayLink.ts';
import {RelayRoutes} from './RelayRoutes.ts';

const LINK_LOST: OrderFailure = {
  clockMs: undefined,
  // The minion has not closed its connections, so that it need not have crashed.
  isTimeout: true,
  kind: 'unanswered',
  message: 'the link was lost',
};

export interface RelayedMinionOrdersOptions {
  /** See `RelayRoutesOptions`. */
  readonly candidates: () => readonly RelayCandidate[];
  readonly clock: Clock;
  /** Sends orders without a relay. */
  readonly direct: MinionOrders;
  readonly events: EventSink;
  /** See `RelayRoutesOptions`. */
  readonly ownCores: number;
  /** See `RelayRoutesOptions`. */
  readonly owners?: () => ReadonlySet<VmId>;
}

export class RelayedMinionOrders implements MinionOrders {
  readonly #links = new Map<VmId, RelayLink>();
  readonly #options: RelayedMinionOrdersOptions;
  readonly #routes: RelayRoutes;

  constructor(options: RelayedMinionOrdersOptions) {
    this.#options = options;
    this.#routes = new RelayRoutes(options);
  }

  disconnect(target: MinionTarget): void {
    this.#routes.removeMinion(target.id);
    this.#options.direct.disconnect(target);
    if (this.#routes.isEmpty) {
      this.#closeLinks();
    }
  }

  pace(target: MinionTarget, order: PaceOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#send({kind: 'pace', order, target}, readAnswer, () =>
      this.#options.direct.pace(target, order),
    );
  }

  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure> {
    return this.#send(
      {kind: 'poll', order, target},
      ({listing}) => listing,
      () => this.#options.direct.poll(target, order),
      order.waitMs,
    );
  }

  /** Opens the links to the relays of these minions; resolves when they are open or lost. */
  async prepare(targets: readonly MinionTarget[]): Promise<void> {
    const now = this.#options.clock.monotonic();
    for (const target of targets) {
      this.#routes.addMinion(target);
    }
    for (const target of targets) {
      const relay = this.#routes.find(target, now);
      if (relay !== undefined) {
        this.#findLink(relay);
      }
    }
    const opened = [...this.#links.values()].map((link) => link.opened);
    if (opened.length > 0) {
      await Promise.race([Promise.all(opened), delay(LINK_PREPARATION_MS)]);
    }
  }

  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#send({kind: 'start', order, target}, readAnswer, () =>
      this.#options.direct.start(target, order),
    );
  }

  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure> {
    return this.#send({kind: 'stop', order, target}, readAnswer, () =>
      this.#options.direct.stop(target, order),
    );
  }

  #closeLinks(): void {
    for (const link of this.#links.values()) {
      link.close();
    }
  }

  #send<Answer>(
    order: UnsentOrder,
    read: (outcome: RelayedOutcome) => Answer | undefined,
    sendDirectly: () => ResultAsync<Answer, OrderFailure>,
    waitMs = 0,
  ): ResultAsync<Answer, OrderFailure> {
    const relay = this.#routes.find(order.target, this.#options.clock.monotonic());
    const link = relay === undefined ? undefined : this.#findLink(relay);
    if (relay === undefined || link === undefined) {
      return sendDirectly();
    }
    const {clock} = this.#options;
    const issuedAt = clock.wall();
    const relayed = async (): Promise<Result<Answer, OrderFailure>> => {
      const outcome = await link.send(order, waitMs + RELAYED_ORDER_TIMEOUT_MS);
      const answer = outcome === undefined ? undefined : read(outcome);
      if (answer !== undefined) {
        return ok(answer);
      }
      if (outcome?.failure === undefined && clock.wall() - issuedAt <= waitMs + MAX_RESENT_AGE_MS) {
        return sendDirectly();
      }
      const {message, ...failure} = outcome?.failure ?? LINK_LOST;
      return err({...failure, message: `${message}, relayed by ${relay.vm}`});
    };
    return new ResultAsync(relayed());
  }

  /** Returns the open link to a relay; opens one when there is none, for later orders. */
  #findLink(relay: Relay): RelayLink | undefined {
    const existing = this.#links.get(relay.vm);
    if (existing !== undefined) {
      return existing.isOpen ? existing : undefined;
    }
    const {clock, events} = this.#options;
    const link = new RelayLink({
      clock,
      events,
      onLost: () => {
        this.#links.delete(relay.vm);
        this.#routes.recordLoss(relay.vm, clock.monotonic());
      },
      relay,
    });
    this.#links.set(relay.vm, link);
    return undefined;
  }
}

function readAnswer({clockMs}: RelayedOutcome): OrderAnswer | undefined {
  return clockMs === undefined ? undefined : {clockMs};
}
