/** The core of the store stand-in: keys, revisions, leases and watches, without I/O. */

import type {Instant} from '@nutmegproxy/core';
import type {
  Comparison,
  LeaseId,
  LeaseResponse,
  Operation,
  OperationResponse,
  StoredValue,
  Transaction,
  TransactionResponse,
  WatchEvent,
} from '@nutmegproxy/store';

import {after, brand} from '@nutmegproxy/core';

import {WATCH_BACKLOG_EVENTS} from './StandinsConstants.ts';

/** A stored value with its lease and version. */
export interface EngineValue extends StoredValue {
  readonly lease: LeaseId | undefined;
  readonly version: number;
}

/** A comparison that the engine supports, including those outside the store interface. */
export type EngineComparison =
  | Comparison
  | {readonly createRevision: number; readonly key: string; readonly kind: 'createRevision'}
  | {readonly key: string; readonly kind: 'version'; readonly version: number};

export type EngineOperation =
  | Exclude<Operation, {kind: 'transaction'}>
  | {readonly kind: 'transaction'; readonly transaction: EngineTransaction};

export interface EngineTransaction extends Omit<Transaction, 'compare' | 'otherwise' | 'then'> {
  readonly compare: readonly EngineComparison[];
  readonly otherwise?: readonly EngineOperation[];
  readonly then: readonly EngineOperation[];
}

/** Receives the events of one revision. */
export type EngineListener = (events: readonly WatchEvent[], revision: number) => void;

/** The initial state of a subscription. */
export interface EngineSubscription {
  readonly close: () => void;
  /** Set when the requested revision was compacted. */
  readonly compactedRevision?: number;
  readonly missedEvents: readonly WatchEvent[];
  readonly revision: number;
}

interface Lease {
  expiresAt: Instant;
  readonly keys: Set<string>;
  readonly ttlSeconds: number;
}

interface Listener {
  readonly listener: EngineListener;
  readonly prefix: string;
}

const NO_LEASE = '0';

function eventRevision(event: WatchEvent): number {
  return event.kind === 'put' ? event.stored.modRevision : event.modRevision;
}

function eventKey(event: WatchEvent): string {
  return event.kind === 'put' ? event.stored.key : event.key;
}

type ComparisonCheck = (stored: EngineValue | undefined, comparison: never) => boolean;

const COMPARISON_CHECKS: Record<EngineComparison['kind'], ComparisonCheck> = {
  createRevision: (stored, {createRevision}: {createRevision: number}) =>
    (stored?.createRevision ?? 0) === createRevision,
  modRevision: (stored, {modRevision}: {modRevision: number}) =>
    (stored?.modRevision ?? 0) === modRevision,
  value: (stored, {value}: {value: Buffer}) => stored?.value.equals(value) ?? false,
  version: (stored, {version}: {version: number}) => (stored?.version ?? 0) === version,
};

/** A transaction whose branches are chosen. */
interface Plan {
  readonly steps: readonly PlanStep[];
  readonly succeeded: boolean;
}

type PlanStep =
  Exclude<Operation, {kind: 'transaction'}> | {readonly kind: 'transaction'; readonly plan: Plan};

type StepHandlers = {
  readonly [Kind in PlanStep['kind']]: (step: Extract<PlanStep, {kind: Kind}>) => OperationResponse;
};

/** Keys with revisions as in etcd; every method is synchronous. */
export class StoreEngine {
  readonly #backlog: WatchEvent[] = [];
  #compactedRevision = 0;
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<Listener>();
  #nextLease = 1;
  readonly #stepHandlers: StepHandlers = {
    delete: ({key, prefix}) => ({deleted: this.#delete(key, prefix ?? false), kind: 'delete'}),
    get: (operation) => ({kind: 'get', values: this.#get(operation)}),
    put: ({key, lease, value}) => this.#put(key, value, lease),
    transaction: ({plan}) => ({kind: 'transaction', response: this.#execute(plan)}),
  };
  #pending: WatchEvent[] = [];
  #revision = 1;
  readonly #values = new Map<string, EngineValue>();

  get revision(): number {
    return this.#revision;
  }

  commit(transaction: EngineTransaction, now: Instant): TransactionResponse {
    this.expire(now);
    const response = this.#execute(this.#plan(transaction));
    this.#publish();
    return this.#withRevision(response);
  }

  /** Drops the events up to the current revision, so that watches from older revisions fail. */
  compact(): void {
    this.#backlog.length = 0;
    this.#compactedRevision = this.#revision;
  }

  /** Removes the leases that have expired at `now`, with their keys. */
  expire(now: Instant): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) {
        this.#removeLease(id, lease);
      }
    }
  }

  grantLease(ttlSeconds: number, now: Instant): LeaseResponse {
    const id = String(this.#nextLease);
    this.#nextLease += 1;
    const expiresAt = after(now, ttlSeconds * 1000);
    this.#leases.set(id, {expiresAt, keys: new Set(), ttlSeconds});
    return {lease: brand<LeaseId>(id), ttlSeconds};
  }

  hasLease(id: string, now: Instant): boolean {
    this.expire(now);
    return id === NO_LEASE || this.#leases.has(id);
  }

  keepLeaseAlive(id: LeaseId, now: Instant): LeaseResponse {
    this.expire(now);
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return {lease: id, ttlSeconds: 0};
    }
    lease.expiresAt = after(now, lease.ttlSeconds * 1000);
    return {lease: id, ttlSeconds: lease.ttlSeconds};
  }

  /** Returns whether the lease existed. */
  revokeLease(id: LeaseId, now: Instant): boolean {
    this.expire(now);
    const lease = this.#leases.get(id);
    if (lease !== undefined) {
      this.#removeLease(id, lease);
    }
    return lease !== undefined;
  }

  subscribe(prefix: string, fromRevision: number, listener: EngineListener): EngineSubscription {
    const compacted = fromRevision !== 0 && fromRevision <= this.#compactedRevision;
    if (compacted) {
      const compactedRevision = this.#compactedRevision;
      return {
        close: () => undefined,
        compactedRevision,
        missedEvents: [],
        revision: this.#revision,
      };
    }
    const entry = {listener, prefix};
    this.#listeners.add(entry);
    const missedEvents = this.#backlog.filter(
      (event) =>
        fromRevision !== 0 &&
        eventRevision(event) >= fromRevision &&
        eventKey(event).startsWith(prefix),
    );
    return {
      close: () => this.#listeners.delete(entry),
      missedEvents: missedEvents,
      revision: this.#revision,
    };
  }

  /** Returns all stored values, for tests. */
  values(): readonly EngineValue[] {
    return [...this.#values.values()];
  }

  /** Chooses the branches of all nested transactions first, since etcd compares before any operation. */
  #plan(transaction: EngineTransaction): Plan {
    const succeeded = transaction.compare.every((comparison) => this.#matches(comparison));
    const operations = succeeded ? transaction.then : (transaction.otherwise ?? []);
    return {
      steps: operations.map((operation) =>
        operation.kind === 'transaction'
          ? {kind: 'transaction', plan: this.#plan(operation.transaction)}
          : operation,
      ),
      succeeded,
    };
  }

  #execute(plan: Plan): TransactionResponse {
    const responses = plan.steps.map((step) => this.#executeStep(step));
    return {responses, revision: 0, succeeded: plan.succeeded};
  }

  #matches(comparison: EngineComparison): boolean {
    const check = COMPARISON_CHECKS[comparison.kind] as (
      stored: EngineValue | undefined,
      each: EngineComparison,
    ) => boolean;
    return check(this.#values.get(comparison.key), comparison);
  }

  #executeStep(step: PlanStep): OperationResponse {
    const handle = this.#stepHandlers[step.kind] as (each: PlanStep) => OperationResponse;
    return handle(step);
  }

  #find(key: string, prefix: boolean): EngineValue[] {
    if (!prefix) {
      const value = this.#values.get(key);
      return value === undefined ? [] : [value];
    }
    const found = [...this.#values.values()].filter((value) => value.key.startsWith(key));
    return found.sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
  }

  #get(operation: Extract<Operation, {kind: 'get'}>): readonly EngineValue[] {
    const found = this.#find(operation.key, operation.prefix ?? false);
    const limit = operation.limit ?? 0;
    return limit === 0 ? found : found.slice(0, limit);
  }

  #put(key: string, value: Buffer, lease: LeaseId | undefined): OperationResponse {
    const previous = this.#values.get(key);
    const modRevision = this.#revision + 1;
    const attached = lease === NO_LEASE ? undefined : lease;
    const stored: EngineValue = {
      createRevision: previous?.createRevision ?? modRevision,
      key,
      lease: attached,
      modRevision,
      value,
      version: (previous?.version ?? 0) + 1,
    };
    this.#leases.get(previous?.lease ?? NO_LEASE)?.keys.delete(key);
    this.#leases.get(attached ?? NO_LEASE)?.keys.add(key);
    this.#values.set(key, stored);
    this.#pending.push({kind: 'put', stored});
    return {kind: 'put'};
  }

  #delete(key: string, prefix: boolean): number {
    const found = this.#find(key, prefix);
    for (const value of found) {
      this.#values.delete(value.key);
      this.#leases.get(value.lease ?? NO_LEASE)?.keys.delete(value.key);
      this.#pending.push({key: value.key, kind: 'delete', modRevision: this.#revision + 1});
    }
    return found.length;
  }

  #removeLease(id: string, lease: Lease): void {
    this.#leases.delete(id);
    for (const key of lease.keys) {
      this.#delete(key, false);
    }
    this.#publish();
  }

  /** Completes the current revision, if anything changed, and notifies the listeners. */
  #publish(): void {
    if (this.#pending.length === 0) {
      return;
    }
    const events = this.#pending;
    this.#pending = [];
    this.#revision += 1;
    this.#backlog.push(...events);
    this.#trimBacklog();
    for (const {listener, prefix} of [...this.#listeners]) {
      const matching = events.filter((event) => eventKey(event).startsWith(prefix));
      if (matching.length > 0) {
        listener(matching, this.#revision);
      }
    }
  }

  #trimBacklog(): void {
    if (this.#backlog.length <= WATCH_BACKLOG_EVENTS) {
      return;
    }
    const removed = this.#backlog.splice(0, this.#backlog.length - WATCH_BACKLOG_EVENTS / 2);
    const last = removed.at(-1);
    this.#compactedRevision = last === undefined ? this.#compactedRevision : eventRevision(last);
  }

  #withRevision(response: TransactionResponse): TransactionResponse {
    return {
      ...response,
      responses: response.responses.map((each) =>
        each.kind === 'transaction' ? {...each, response: this.#withRevision(each.response)} : each,
      ),
      revision: this.#revision,
    };
  }
}
