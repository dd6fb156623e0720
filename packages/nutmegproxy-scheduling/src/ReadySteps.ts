/** Finds the steps and tasks whose turn has come. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

/**
 * Time in milliseconds after which placement of a backfill step that found no minion is retried.
 * Otherwise such steps would take most of the planning time in a backlog. The serving loads that
 * they depend on change within seconds, so the pause delays them little.
 */
const BACKFILL_RETRY_MS = 150;

/** Whether a backfill step found no minion within the retry interval, in an earlier round. */
export function isInBackoff({blockedAt, shape}: StepState, now: Instant): boolean {
  const blockedForMs = now - (blockedAt ?? -Infinity);
  return shape.fillsSpareCpu && blockedForMs > 0 && blockedForMs < BACKFILL_RETRY_MS;
}

/** Whether all steps that the step depends on are completed. */
export function isReady(step: StepState, siblings: readonly StepState[]): boolean {
  return step.shape.after.every((earlier) => siblings[earlier]?.isDone ?? false);
}

/**
 * Whether a waiting task can't have a live run from a former owner. During recovery, that is so if
 * this owner has seen its last run itself.
 */
export function isStartableTask(
  {recoveryRevision}: Fleet,
  {job, recoveredTasks}: StepState,
  index: number,
): boolean {
  return job.revision > recoveryRevision || recoveredTasks.has(index);
}

/** Returns the waiting tasks of a step that can't have a live run from a former owner. */
export function listStartableTasks(fleet: Fleet, step: StepState): number[] {
  if (step.job.revision > fleet.recoveryRevision) {
    return [...step.waiting];
  }
  return step.recoveredTasks.size === 0
    ? []
    : [...step.waiting].filter((index) => step.recoveredTasks.has(index));
}

/** Whether `listStartableTasks` returns any, without a list of them. */
function hasStartableTasks(fleet: Fleet, step: StepState): boolean {
  return step.job.revision > fleet.recoveryRevision
    ? step.waiting.size > 0
    : listStartableTasks(fleet, step).length > 0;
}

/** Records when this owner first saw that it is a step's turn, and since when that is known. */
function recordTurn(step: StepState, now: Instant, wall: WallTime): void {
  if (step.readyAt === undefined) {
    step.readyAt = now;
    step.heldSince = step.job.findHeldSince(step, now, wall);
  }
}

/** Returns the steps with waiting tasks that may start. */
export function collectReadySteps(fleet: Fleet, now: Instant, wall: WallTime): StepState[] {
  const ready: StepState[] = [];
  for (const job of fleet.jobs.open()) {
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps) {
        if (hasStartableTasks(fleet, step) && isReady(step, steps)) {
          recordTurn(step, now, wall);
          ready.push(step);
        }
      }
    }
  }
  return ready;
}

/** Returns the number of tasks whose turn has come and that wait for the recovery to complete. */
export function countHeldTasks(fleet: Fleet, wall: WallTime): number {
  let held = 0;
  if (fleet.recoveryRevision === 0) {
    return held;
  }
  for (const job of fleet.jobs.open()) {
    if (job.revision > fleet.recoveryRevision) {
      continue;
    }
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps) {
        held += isReady(step, steps)
          ? step.waiting.size - listStartableTasks(fleet, step).length
          : 0;
      }
    }
  }
  return held;
}
