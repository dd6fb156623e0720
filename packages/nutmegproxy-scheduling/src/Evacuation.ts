/**
 * Stops runs on draining minions before the minions leave, so that the work continues elsewhere.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Maximum time in milliseconds of a stop, including its checkpoint and the calls to the minion. */
const STOP_ALLOWANCE_MS = 1_200;
/** Assumed time in milliseconds until a draining minion leaves when it doesn't report one. */
const DEFAULT_REMAINING_MS = 2_000;

/** Whether stopping the run now loses less work than letting it run until its minion leaves. */
function shouldStop(
  fleet: Fleet,
  run: Run,
  remainingMs: number,
  estimator: DurationEstimator,
): boolean {
  const {shape} = run.step;
  if (shape.longRunning) {
    return true;
  }
  const workMs = estimator.estimateRunMs(fleet, run) * (1 - run.percent / 100);
  // Without a checkpoint, a stop loses as much work as the departure, and the task may still
  // finish.
  return shape.checkpoints && workMs > remainingMs && remainingMs <= STOP_ALLOWANCE_MS;
}

/** Stops the runs on a draining minion that would not end before it leaves. */
export function evacuateMinion(
  fleet: Fleet,
  minion: MinionState,
  estimator: DurationEstimator,
  now: Instant,
): void {
  if (!minion.description.isDraining) {
    return;
  }
  const elapsedMs = now - (minion.drainingSince ?? now);
  const remainingMs = (minion.description.leavesInMs ?? DEFAULT_REMAINING_MS) - elapsedMs;
  for (const run of minion.runs) {
    if (run.phase === 'running' && shouldStop(fleet, run, remainingMs, estimator)) {
      fleet.stopRun(run, 'evacuated');
    }
  }
}
