/**
 * Orders steps for placement when the load exceeds the capacity. Queue priorities are compared
 * first. Within one priority, interrupted long-running tasks are restarted first. Then jobs that
 * can still meet their objective precede those that can only be late, and these precede jobs whose
 * result has no value left. Among equals, the job with the least remaining work is first, so that
 * the most jobs finish in time. Long-running tasks that have not run follow work whose result has
 * value left; among these, the step with the smallest share of its tasks at work is first.
 */

import type {WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';

import {hasInterruptedTask, isInterruptedTask} from './InterruptedTaskStarts.ts';
import {compareArrivals, computeNextShare, countTasksAtWork} from './LongRunningShares.ts';

/** Multiple of its objective after which a job's result has no value left, as the users specify. */
const OVERDUE_OBJECTIVE_RATIO = 3;
/** Wait in milliseconds that halves a job's weight, so that large jobs don't starve. */
const AGING_HALF_WEIGHT_MS = 4_000;

/**
 * Rank of the tasks of long-running jobs that have not run. They precede work whose result has no
 * value left, and follow all other work of their priority, which needs its processors for seconds.
 */
const LONG_RUNNING_RANK = 1.5;

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
  /** Rank within the priority, lowest first. */
  readonly rank: number;
  readonly step: StepState;
  /**
   * Remaining core-milliseconds, or the processors that interrupted long-running work lacks, reduced for the
   * time that the job has waited; for first starts of a long-running step the share that its next task counts at.
   */
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
    a.rank - b.rank ||
    a.weight - b.weight ||
    (a.step.shape.longRunning && b.step.shape.longRunning ? compareArrivals(a.step, b.step) : 0)
  );
}

/** Reduces a weight for the time that a job has waited. */
function ageWeight(weight: number, elapsedMs: number): number {
  return weight / (1 + elapsedMs / AGING_HALF_WEIGHT_MS);
}

/** A long-running job keeps its processors, so that its duration says nothing of what others wait for. */
function describeLongRunning(
  fleet: Fleet,
  step: StepState,
  priority: number,
  elapsedMs: number,
): OrderedStep[] {
  const {shape, waiting} = step;
  const common = {priority, rank: LONG_RUNNING_RANK, step};
  const described: OrderedStep[] = [];
  if (hasInterruptedTask(step)) {
    const weight = ageWeight(waiting.size * shape.resources.cpuMilli, elapsedMs);
    described.push({...common, isInterrupted: true, weight});
  }
  if ([...waiting].some((index) => !isInterruptedTask(step, index))) {
    const weight = computeNextShare(countTasksAtWork(fleet, step), shape.count);
    described.push({...common, isInterrupted: false, weight});
  }
  return described;
}

/**
 * Returns the steps in the order in which their tasks are placed, most urgent first. A long-running step of
 * which some tasks were interrupted and others have not run is there twice, at the place of each kind.
 */
export function orderSteps(
  fleet: Fleet,
  steps: readonly StepState[],
  estimator: DurationEstimator,
  wall: WallTime,
): OrderedStep[] {
  return steps
    .flatMap((step): OrderedStep[] => {
      const {job, occurrence} = step;
      const {priority, stretch, targetDurationMs} = fleet.resolveQueuePolicy(job);
      const elapsedMs = Math.max(0, wall - job.dueAt(occurrence));
      if (step.shape.longRunning) {
        return describeLongRunning(fleet, step, priority, elapsedMs);
      }
      const remaining = estimator.estimateRemaining(job.occurrence(occurrence) ?? []);
      const objectiveMs = stretch * estimator.estimateCriticalPathMs(job) + targetDurationMs;
      const punctuality = classifyPunctuality({
        elapsedMs,
        objectiveMs,
        remainingMs: remaining.criticalPathMs,
      });
      const rank = PUNCTUALITY_RANKS[punctuality];
      const weight = ageWeight(remaining.coreMs, elapsedMs);
      return [{isInterrupted: false, priority, rank, step, weight}];
    })
    .sort(compareSteps);
}
