/** Orders to minions, as the owner gives them. The adapter of a platform implements this. */

import type {Branded, MinionId, TaskId} from '@nutmegproxy/core';
import type {Checkpoint, RunNumber} from '@nutmegproxy/jobs';
import type {MinionListing, Ticket} from '@nutmegproxy/scheduling';
import type {ResultAsync} from 'neverthrow';

/** Rises with each owner; minions ignore orders with a lower one than the highest they saw. */
export type FencingToken = Branded<number, 'OwnerToken'>;

/** Which minion an order is for. */
export interface MinionTarget {
  /** IP number and port. */
  readonly address: string;
  readonly id: MinionId;
}

export interface PollOrder {
  /** Ends up to this sequence number are recorded and may be forgotten. */
  readonly ackedThrough: number;
  readonly token: FencingToken;
  /** Everything on the minion may live until then, on its own clock; undefined leaves it as it is. */
  readonly untilMs: number | undefined;
  /** Time in milliseconds that the answer may wait for an end. */
  readonly waitMs: number;
}

export interface StartOrder {
  readonly checkpoint: Checkpoint | undefined;
  readonly number: RunNumber;
  readonly payload: string;
  readonly task: TaskId;
  readonly ticket: Ticket | undefined;
  readonly token: FencingToken;
  /** Everything on the minion may live until then, on its own clock. */
  readonly untilMs: number;
}

export interface RunOrder {
  readonly number: RunNumber;
  readonly task: TaskId;
  readonly token: FencingToken;
}

export interface PaceOrder extends RunOrder {
  /** Share of its speed that the run may work at, 0 to 100. */
  readonly share: number;
}

/**
 * Why an order was not carried out. `unanswered`: it may be carried out, also later. All others:
 * the minion did nothing. `fenced`: another owner has a higher token. `other-life`: the address
 * belongs to another minion. `outdated`: the run's number is not above one that was stopped or
 * ended there. `late`: its hold had passed. `no-room`, `no-ticket`, `unhealthy`, `invalid`: the
 * minion does not take it.
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
  /** The minion's clock in milliseconds, when it answered with it. */
  readonly clockMs: number | undefined;
  readonly kind: OrderFailureKind;
  readonly message: string;
}

export interface OrderAnswer {
  /** The minion's clock in milliseconds. */
  readonly clockMs: number;
}

/** Every call has a deadline of its own, is sent once and settles by then. */
export interface MinionOrders {
  /** Closes the connections to a minion that is gone. */
  disconnect(target: MinionTarget): void;
  pace(target: MinionTarget, order: PaceOrder): ResultAsync<OrderAnswer, OrderFailure>;
  poll(target: MinionTarget, order: PollOrder): ResultAsync<MinionListing, OrderFailure>;
  start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure>;
  stop(target: MinionTarget, order: RunOrder): ResultAsync<OrderAnswer, OrderFailure>;
}
