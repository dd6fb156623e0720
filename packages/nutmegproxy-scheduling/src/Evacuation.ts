/** Moves work off minions that are leaving, so that it is not cut off with them. */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Time in milliseconds that a stop with its checkpoint takes at most, with the orders around it. */
const STOP_ALLOWANCE_MS = 1_200;
/** Time in milliseconds that a leaving minion has left when it does not say. */
const DEFAULT_REMAINING_MS = 2_000;

/** Whether the run is better stopped now than left to be cut off. */
function shouldStop(run: Run, remainingMs: number, estimator: DurationEstimator): boolean {
  const {job, shape} = run.step;
  if (shape.longRunning) {
    return true;
  }
  const workMs = estimator.taskMs(job.request.queue, shape) * (1 - run.percent / 100);
  // Without a checkpoint a stop loses as much as the cut, and the task may still finish.
  return shape.checkpoints && workMs > remainingMs && remainingMs <= STOP_ALLOWANCE_MS;
}

/** Orders stops of the runs on a leaving minion that would not end in time. */
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
    if (run.phase === 'running' && shouldStop(run, remainingMs, estimator)) {
      fleet.stopRun(run, 'evacuated');
    }
  }
}
