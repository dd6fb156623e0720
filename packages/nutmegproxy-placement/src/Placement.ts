/** Interface between the tasks feature and the placement policies. */

import type {AttemptId, EntryId, Instant, RackId, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Quota, Resources, Usage, WorkClass} from '@nutmegproxy/schema';

/** A worker that tasks can be placed on. */
export interface WorkerProfile {
  readonly capacity: Resources;
  /** No new tasks are placed on a worker that is draining or leaving the fleet. */
  readonly drained: boolean;
  readonly id: WorkerId;
  readonly rack: RackId;
}

/** A request to place one attempt of a task. */
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

/** An attempt with a reservation; it keeps the reservation while its outcome is unknown. */
export interface PlacedAttempt extends PlacementRequest {
  readonly reserved: Resources;
  readonly startedAt: Instant;
  readonly worker: WorkerId;
}

/**
 * Result of a placement request. With `evict`, the request fits on `worker` once all victims have
 * confirmed that they stopped.
 */
export type PlacementDecision =
  | {readonly kind: 'evict'; readonly victims: readonly AttemptId[]; readonly worker: WorkerId}
  | {readonly kind: 'impossible'; readonly reason: string}
  | {readonly kind: 'placed'; readonly reserved: Resources; readonly worker: WorkerId}
  | {readonly kind: 'wait'; readonly reason: string};

/** A usage report of one attempt. */
export interface AttemptObservation {
  readonly attempt: AttemptId;
  /** When the usage was measured, by this process's clock and corrected for the report's delay. */
  readonly measuredAt: Instant;
  /** Completed share of the work, 0 to 1. */
  readonly progress: number;
  readonly usage: Usage;
}

/** How an attempt ended, as far as the policies learn from it. */
export type AttemptOutcome = 'evicted' | 'failed' | 'lost' | 'refused' | 'succeeded';

/** Limits an attempt to `share` of the processors that it has reserved. */
export interface Throttle {
  readonly attempt: AttemptId;
  readonly share: number;
}

/**
 * A placement policy with its state, for the cells of one entry VM. A policy only keeps state and
 * decides; the caller starts and stops attempts. No reservation exceeds a worker's capacity,
 * regardless of what the policy has learned.
 */
export interface Placement {
  /** Adds an existing reservation, for example after a takeover. */
  adopt(attempt: PlacedAttempt, now: Instant): void;
  /** Decides on one request; a `placed` decision makes the reservation at once. */
  decide(request: PlacementRequest, now: Instant): PlacementDecision;
  /** Returns the attempts to evict, for example from workers that are overcommitted. */
  evictions(now: Instant): readonly AttemptId[];
  /** Learns from a usage report, which may be delayed. */
  observe(observation: AttemptObservation, now: Instant): void;
  /** Releases the reservation of an attempt that is known to have stopped. */
  release(attempt: AttemptId, outcome: AttemptOutcome, now: Instant): void;
  removeWorker(worker: WorkerId, now: Instant): void;
  /** Sets the share of each team's quota that this entry VM may use. */
  setQuotas(shares: ReadonlyMap<TeamId, Quota>, now: Instant): void;
  setWorker(worker: WorkerProfile, now: Instant): void;
  /** Returns the throttles that apply at `now`; attempts not listed run unthrottled. */
  throttles(now: Instant): readonly Throttle[];
}
