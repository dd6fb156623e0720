/**
 * The order in which steps get room, for loads that exceed it. Priorities of queues come first.
 * Within one priority, interrupted long-running tasks come back first. Then jobs that can still meet their objective go before those that can only be
 * late, and these before those whose result is no longer awaited; among equals the one with the
 * least work left goes first, which finishes the most jobs in time.
 */

import type {WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

/** Multiple of its objective after which a job's result has no value left, from the users' rules. */
const LATE_OBJECTIVES = 3;
/** Wait in milliseconds that halves a job's work in the comparison, so that large jobs move up. */
const AGING_MS = 4_000;

/** `on-time`: can meet the objective. `late`: has some value left. `overdue`: has none. */
export type Punctuality = 'late' | 'on-time' | 'overdue';

const PUNCTUALITY_RANK: Readonly<Record<Punctuality, number>> = {late: 1, 'on-time': 0, overdue: 2};

export interface OrderedStep {
  /** Whether tasks of a long-running job were interrupted, so that its users are without them. */
  readonly isInterrupted: boolean;
  readonly priority: number;
  readonly punctuality: Punctuality;
  readonly step: StepState;
  /** Core-milliseconds left, lessened by the time that the job has waited. */
  readonly weight: number;
}

/**
 * Tells whether work that takes `remainingMs` more is still in time.
 *
 * @example
 * judgePunctuality({elapsedMs: 500, objectiveMs: 2000, remainingMs: 1000}); // 'on-time'
 */
export function judgePunctuality(job: {
  readonly elapsedMs: number;
  readonly objectiveMs: number;
  readonly remainingMs: number;
}): Punctuality {
  const endMs = job.elapsedMs + job.remainingMs;
  if (endMs <= job.objectiveMs) {
    return 'on-time';
  }
  return endMs <= job.objectiveMs * LATE_OBJECTIVES ? 'late' : 'overdue';
}

function compare(a: OrderedStep, b: OrderedStep): number {
  return (
    a.priority - b.priority ||
    Number(b.isInterrupted) - Number(a.isInterrupted) ||
    PUNCTUALITY_RANK[a.punctuality] - PUNCTUALITY_RANK[b.punctuality] ||
    a.weight - b.weight
  );
}

/** The steps that have tasks to place, most urgent first. */
export function orderSteps(
  fleet: Fleet,
  steps: readonly StepState[],
  estimate: WorkEstimate,
  wall: WallTime,
): OrderedStep[] {
  return steps
    .map((step): OrderedStep => {
      const {job, occurrence} = step;
      const {priority, stretch, targetDurationMs} = fleet.policy(job);
      const elapsedMs = Math.max(0, wall - job.dueAt(occurrence));
      const left = estimate.remaining(job.occurrence(occurrence) ?? []);
      const objectiveMs = stretch * estimate.chainMs(job) + targetDurationMs;
      return {
        isInterrupted: step.shape.longRunning && job.hasStarted,
        priority,
        punctuality: judgePunctuality({elapsedMs, objectiveMs, remainingMs: left.chainMs}),
        step,
        weight: left.coreMs / (1 + elapsedMs / AGING_MS),
      };
    })
    .sort(compare);
}
