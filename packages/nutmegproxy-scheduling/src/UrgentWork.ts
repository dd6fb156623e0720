/** Says whether callers wait for work that deferrable starts may delay. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

import {isReady} from './ReadySteps.ts';
import {isUrgent} from './StartBudget.ts';

/** Time in milliseconds for which an urgent step that waits asks for a process that is not full. */
const MAX_WAIT_MS = 2_000;

/**
 * Whether something of a step runs, or its turn came a short time ago or is not noted yet. Long-running tasks wait for room,
 * if at all, and a step whose turn has not come for those before it.
 */
function isAwaited(step: StepState, siblings: readonly StepState[], now: Instant): boolean {
  const {hasLiveRuns, isDone, readyAt, shape} = step;
  if (shape.longRunning || isDone) {
    return false;
  }
  const hasTurn = readyAt === undefined ? isReady(step, siblings) : now - readyAt < MAX_WAIT_MS;
  return hasLiveRuns || hasTurn;
}

/**
 * Whether there is work that deferrable starts may delay.
 *
 * @example
 * throttle.getAllowance(now, {hasUrgentWork: hasUrgentWork(fleet, now, wall)});
 */
export function hasUrgentWork(fleet: Fleet, now: Instant, wall: WallTime): boolean {
  for (const job of fleet.jobs.open()) {
    for (const steps of isUrgent(fleet, job) ? job.openOccurrences(wall) : []) {
      if (steps.some((step) => isAwaited(step, steps, now))) {
        return true;
      }
    }
  }
  return false;
}
