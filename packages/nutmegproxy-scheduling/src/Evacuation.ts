/**
 * Stops runs on draining minions before the minions leave, so that the work continues elsewhere.
 */

import type {Instant, PlatformBounds} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Time in milliseconds before a minion leaves at which its runs are stopped, unless a stop takes longer. */
const MIN_STOP_ALLOWANCE_MS = 1_200;
/** Time in milliseconds that the calls of a stop add to it. */
const STOP_CALLS_MS = 300;

type EvacuationBounds = Pick<PlatformBounds, 'drainMs' | 'stopTimeoutMs'>;

/** Whether stopping the run now loses less work than letting it run until its minion leaves. */
function shouldStop(
  fleet: Fleet,
  run: Run,
  remainingMs: number,
  estimator: DurationEstimator,
  {stopTimeoutMs}: EvacuationBounds,
): boolean {
  const {shape} = run.step;
  if (shape.longRunning) {
    return true;
  }
  const workMs = estimator.estimateRunMs(fleet, run) * (1 - run.percent / 100);
  // Without a checkpoint, a stop loses as much work as the departure, and the task may still
  // finish.
  const allowanceMs = Math.max(MIN_STOP_ALLOWANCE_MS, stopTimeoutMs + STOP_CALLS_MS);
  return shape.checkpoints && workMs > remainingMs && remainingMs <= allowanceMs;
}

/**
 * Returns the time in milliseconds until a minion that drains leaves, negative once it has passed; undefined when it
 * does not drain. The time that it reports counts, `drainMs` without one.
 */
export function findLeavesInMs(
  {description, drainingSince}: MinionState,
  {drainMs}: Pick<PlatformBounds, 'drainMs'>,
  now: Instant,
): number | undefined {
  const {isDraining, leavesInMs = drainMs} = description;
  return isDraining ? leavesInMs - (now - (drainingSince ?? now)) : undefined;
}

/**
 * Stops the runs on a draining minion that would not end before it leaves.
 *
 * @example
 * evacuateMinion(fleet, drainingMinion, estimator, bounds, now);
 */
export function evacuateMinion(
  fleet: Fleet,
  minion: MinionState,
  estimator: DurationEstimator,
  bounds: EvacuationBounds,
  now: Instant,
): void {
  const remainingMs = findLeavesInMs(minion, bounds, now);
  if (remainingMs === undefined) {
    return;
  }
  for (const run of minion.runs) {
    if (run.phase === 'running' && shouldStop(fleet, run, remainingMs, estimator, bounds)) {
      fleet.stopRun(run, 'evacuated');
    }
  }
}
