/** Moves work off minions that are leaving, so that it is not cut off with them. */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

/** Time in milliseconds that a stop with its checkpoint takes at most, with the orders around it. */
const STOP_ALLOWANCE_MS = 1_200;
/** Time in milliseconds that a leaving minion has left when it does not say. */
const UNTOLD_LEFT_MS = 2_000;

/** Whether the run is better stopped now than left to be cut off. */
function isToMove(run: Run, leftMs: number, estimate: WorkEstimate): boolean {
  const {job, shape} = run.step;
  if (shape.longRunning) {
    return true;
  }
  const workMs = estimate.taskMs(job.request.queue, shape) * (1 - run.percent / 100);
  // Without a checkpoint a stop loses as much as the cut, and the task may still finish.
  return shape.checkpoints && workMs > leftMs && leftMs <= STOP_ALLOWANCE_MS;
}

/** Orders stops of the runs on a leaving minion that would not end in time. */
export function evacuate(
  fleet: Fleet,
  minion: MinionState,
  estimate: WorkEstimate,
  now: Instant,
): void {
  if (!minion.description.isDraining) {
    return;
  }
  const since = now - (minion.drainingSince ?? now);
  const leftMs = (minion.description.leavesInMs ?? UNTOLD_LEFT_MS) - since;
  for (const run of minion.runs) {
    if (run.phase === 'running' && isToMove(run, leftMs, estimate)) {
      fleet.stopRun(run, 'evacuated');
    }
  }
}
