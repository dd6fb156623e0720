/** Where tasks run: the interface between the tasks feature and the placement policies. */

import type {AttemptId, EntryId, Instant, RackId, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Quota, Resources, Usage, WorkClass} from '@nutmegproxy/schema';

/** A worker that may be given tasks. */
export interface WorkerProfile {
  readonly capacity: Resources;
  /** Drained or leaving workers get nothing new. */
  readonly drained: boolean;
  readonly id: WorkerId;
  readonly rack: RackId;
}

/** A task that wants to start. */
export interface PlacementRequest {
  readonly attempt: AttemptId;
  readonly checkpointable: boolean;
  readonly class: WorkClass;
  readonly declared: Resources;
  readonly declaredRunTimeMs: number;
  readonly entry: EntryId;
  readonly queuedAt: Instant;
  readonly team: TeamId;
}

/** An attempt that holds a reservation, also while its outcome is unknown. */
export interface PlacedAttempt extends PlacementRequest {
  readonly reserved: Resources;
  readonly startedAt: Instant;
  readonly worker: WorkerId;
}

/** `evict`: the wish fits on `worker` once the victims have confirmed their stop. */
export type PlacementDecision =
  | {readonly kind: 'evict'; readonly victims: readonly AttemptId[]; readonly worker: WorkerId}
  | {readonly kind: 'impossible'; readonly reason: string}
  | {readonly kind: 'placed'; readonly reserved: Resources; readonly worker: WorkerId}
  | {readonly kind: 'wait'; readonly reason: string};

/** One usage report of one attempt. */
export interface AttemptObservation {
  readonly attempt: AttemptId;
  /** When the usage was measured, on this process's clock: the report's lag is already taken off. */
  readonly measuredAt: Instant;
  /** Share of the work that is done, 0 to 1. */
  readonly progress: number;
  readonly usage: Usage;
}

/** How an attempt ended, for learning. */
export type AttemptOutcome = 'evicted' | 'failed' | 'lost' | 'refused' | 'succeeded';

/** An attempt's processors to be cut to `share` of its reservation. */
export interface Throttle {
  readonly attempt: AttemptId;
  readonly share: number;
}

/**
 * A placement policy with its state, for the cells of one entry VM. The caller is the only one
 * that changes what runs; the policy only remembers and decides. No reservation exceeds a worker's
 * capacity, whatever is learned.
 */
export interface Placement {
  /** Adds a reservation that was made before, as after a takeover. */
  adopt(attempt: PlacedAttempt, now: Instant): void;
  /** Decides on one wish; a `placed` decision makes the reservation at once. */
  decide(request: PlacementRequest, now: Instant): PlacementDecision;
  /** Attempts to evict because their worker turned out to hold more than it can. */
  evictions(now: Instant): readonly AttemptId[];
  /** Learns from a usage report, which lags. */
  observe(observation: AttemptObservation, now: Instant): void;
  /** Ends a reservation: the attempt certainly runs no longer. */
  release(attempt: AttemptId, outcome: AttemptOutcome, now: Instant): void;
  removeWorker(worker: WorkerId, now: Instant): void;
  /** Sets the shares of the teams' quotas that this entry VM may use. */
  setQuotas(shares: ReadonlyMap<TeamId, Quota>, now: Instant): void;
  setWorker(worker: WorkerProfile, now: Instant): void;
  /** Throttles wished at `now`; an attempt that is missing runs unthrottled. */
  throttles(now: Instant): readonly Throttle[];
}
