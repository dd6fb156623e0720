/**
 * Orders steps for placement when the load exceeds the capacity. Queue priorities are compared
 * first. Within one priority, interrupted long-running tasks are restarted first. Then jobs that
 * can still meet their objective precede those that can only be late, and these precede jobs whose
 * result has no value left. Among equals, the job with the least remaining work is first, so that
 * the most jobs finish in time.
 */

import type {WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';

/** Multiple of its objective after which a job's result has no value left, as the users specify. */
const OVERDUE_OBJECTIVE_RATIO = 3;
/** Wait in milliseconds that halves a job's weight, so that large jobs don't starve. */
const AGING_HALF_WEIGHT_MS = 4_000;

/** `on-time`: meets the objective. `late`: the result has value left. `overdue`: it has none. */
export type Punctuality = 'late' | 'on-time' | 'overdue';

const PUNCTUALITY_RANKS: Readonly<Record<Punctuality, number>> = {
  late: 1,
  'on-time': 0,
  overdue: 2,
};

export interface OrderedStep {
  /** Whether tasks of a long-running job were interrupted, so that its users lack them. */
  readonly isInterrupted: boolean;
  readonly priority: number;
  readonly punctuality: Punctuality;
  readonly step: StepState;
  /** Remaining core-milliseconds, reduced for the time that the job has waited. */
  readonly weight: number;
}

/**
 * Classifies a job by its expected end, which is `remainingMs` from now. All times are in
 * milliseconds.
 *
 * @example
 * classifyPunctuality({elapsedMs: 500, objectiveMs: 2000, remainingMs: 1000}); // 'on-time'
 */
export function classifyPunctuality(job: {
  readonly elapsedMs: number;
  readonly objectiveMs: number;
  readonly remainingMs: number;
}): Punctuality {
  const endMs = job.elapsedMs + job.remainingMs;
  if (endMs <= job.objectiveMs) {
    return 'on-time';
  }
  return endMs <= job.objectiveMs * OVERDUE_OBJECTIVE_RATIO ? 'late' : 'overdue';
}

function compareSteps(a: OrderedStep, b: OrderedStep): number {
  return (
    a.priority - b.priority ||
    Number(b.isInterrupted) - Number(a.isInterrupted) ||
    PUNCTUALITY_RANKS[a.punctuality] - PUNCTUALITY_RANKS[b.punctuality] ||
    a.weight - b.weight
  );
}

/** Returns the steps in the order in which their tasks are placed, most urgent first. */
export function orderSteps(
  fleet: Fleet,
  steps: readonly StepState[],
  estimator: DurationEstimator,
  wall: WallTime,
): OrderedStep[] {
  return steps
    .map((step): OrderedStep => {
      const {job, occurrence} = step;
      const {priority, stretch, targetDurationMs} = fleet.resolveQueuePolicy(job);
      const elapsedMs = Math.max(0, wall - job.dueAt(occurrence));
      const remaining = estimator.estimateRemaining(job.occurrence(occurrence) ?? []);
      const objectiveMs = stretch * estimator.estimateCriticalPathMs(job) + targetDurationMs;
      return {
        isInterrupted: step.shape.longRunning && job.hasStarted,
        priority,
        punctuality: classifyPunctuality({
          elapsedMs,
          objectiveMs,
          remainingMs: remaining.criticalPathMs,
        }),
        step,
        weight: remaining.coreMs / (1 + elapsedMs / AGING_HALF_WEIGHT_MS),
      };
    })
    .sort(compareSteps);
}
