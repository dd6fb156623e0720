/** Messages between an owner and a relay: orders in one direction, their outcomes in the other. */

import type {
  MinionTarget,
  OrderFailure,
  PaceOrder,
  PollOrder,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionListing} from '@nutmegproxy/scheduling';
import type {Validator} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {validateOrderBatch, validateOutcomeBatch} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';

import type {RelayEncoding} from './RelayEncoding.ts';
import type {NumberedPayload} from './RelayPayloads.ts';

import {PACKRS} from './RelayEncoding.ts';

/** The orders that are relayed, by kind. */
export interface OrderByKind {
  readonly pace: PaceOrder;
  readonly poll: PollOrder;
  readonly start: StartOrder;
  readonly stop: RunOrder;
}

export type OrderKind = keyof OrderByKind;

/** An order of one kind; its id is unique on its link. */
export interface OrderOfKind<Kind extends OrderKind> {
  readonly id: number;
  readonly kind: Kind;
  readonly order: OrderByKind[Kind];
  readonly target: MinionTarget;
}

export type RelayedOrder = {[Kind in OrderKind]: OrderOfKind<Kind>}[OrderKind];

export interface OrderBatch {
  readonly orders: readonly RelayedOrder[];
  /** Payloads that starts name by their numbers; absent where no new one is named. */
  readonly payloads?: readonly NumberedPayload[];
  /** When the first of the orders was issued, in milliseconds of the owner's wall clock. */
  readonly sentAt: number;
}

/** What a minion responded: a failure, a listing to a poll, or its clock to any other order. */
export interface RelayedOutcome {
  readonly clockMs?: number;
  readonly failure?: OrderFailure;
  readonly id: number;
  readonly listing?: MinionListing;
}

export interface OutcomeBatch {
  /** Empty in a message that only shows that the relay is up. */
  readonly outcomes: readonly RelayedOutcome[];
}

/** Encodes a batch of either direction as MessagePack. */
export function encodeBatch(batch: OrderBatch | OutcomeBatch, encoding: RelayEncoding): Buffer {
  return PACKRS[encoding].pack(batch);
}

function decode<Batch>(
  bytes: Buffer,
  encoding: RelayEncoding,
  isValid: Validator<unknown>,
): Result<Batch, string> {
  let batch: unknown;
  try {
    batch = PACKRS[encoding].unpack(bytes);
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
  // The schema describes the same shapes without branded ids.
  return isValid(batch) ? ok(batch as Batch) : err(isValid.errors?.[0]?.instancePath ?? 'shape');
}

/** Decodes a message of an owner; the error says what is malformed. */
export function decodeOrders(bytes: Buffer, encoding: RelayEncoding): Result<OrderBatch, string> {
  return decode(bytes, encoding, validateOrderBatch);
}

/** Decodes a message of a relay; the error says what is malformed. */
export function decodeOutcomes(
  bytes: Buffer,
  encoding: RelayEncoding,
): Result<OutcomeBatch, string> {
  return decode(bytes, encoding, validateOutcomeBatch);
}
