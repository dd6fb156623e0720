/** Orders from the owner to minions. Each platform's adapter implements this interface. */

import type {Branded, DataCentreId, MinionId, TaskId} from '@nutmegproxy/core';
import type {Checkpoint, RunNumber} from '@nutmegproxy/jobs';
import type {MinionListing, Ticket} from '@nutmegproxy/scheduling';
import type {ResultAsync} from 'neverthrow';

/** Rises with each owner; minions reject orders with a lower token than the highest they received. */
export type OwnershipToken = Branded<number, 'OwnershipToken'>;

/** The minion that an order is sent to. */
export interface MinionTarget {
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly id: MinionId;
}

export interface PollOrder {
  /** Results up to this sequence number are stored; the minion may drop them. */
  readonly ackedThrough: number;
  readonly token: OwnershipToken;
  /** Expiry of the minion lease on the minion's clock; undefined doesn't renew the lease. */
  readonly untilMs: number | undefined;
  /** Time in milliseconds for which the response may wait for a result. */
  readonly waitMs: number;
}

export interface StartOrder {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  readonly payload: string;
  readonly task: TaskId;
  readonly ticket: Ticket | undefined;
  readonly token: OwnershipToken;
  /** Expiry of the minion lease on the minion's clock. */
  readonly untilMs: number;
}

export interface RunOrder {
  readonly number: RunNumber;
  readonly task: TaskId;
  readonly token: OwnershipToken;
}

export interface PaceOrder extends RunOrder {
  /** Share of its full speed at which the run may work, in percent from 0 to 100. */
  readonly share: number;
}

/**
 * Why an order failed. `unanswered`: the minion may have carried it out, or may do so later. For
 * all others the minion did nothing. `fenced`: another owner has a higher token. `other-life`: the
 * address belongs to another minion. `outdated`: the run's number is not above the highest one of
 * that task that was stopped or ended there. `late`: the lease that it grants had expired.
 * `no-room`, `no-ticket`, `unhealthy`, `invalid`: the minion rejects it for that reason.
 */
export type OrderFailureKind =
  | 'fenced'
  | 'invalid'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'other-life'
  | 'outdated'
  | 'unanswered'
  | 'unhealthy';

export interface OrderFailure {
  /** The minion's clock in milliseconds; undefined when the response doesn't contain it. */
  readonly clockMs: number | undefined;
  /** Whether the call timed out; a minion that crashes closes its connections at once. */
  readonly isTimeout?: boolean;
  readonly kind: OrderFailureKind;
  readonly message: string;
}

export interface OrderAnswer {
  /** The minion's clock in milliseconds. */
  readonly clockMs: number;
}

/** Each call is sent once and settles by its own deadline. */
export interface MinionOrders {
  /** Closes the connections to a minion that was removed. */
  disconnect(target: MinionTarget): void;
  pace(target: MinionTarget, order: PaceOrder): ResultAsync<OrderAnswer, OrderFailure>;
  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure>;
  /** Prepares for orders to these minions; resolves within a fraction of a second. */
  prepare?(targets: readonly MinionTarget[]): Promise<void>;
  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure>;
  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure>;
}
