/**
 * Keeps suspected tasks of different jobs on different minions, so that a crash under one of them
 * does not speak against the others.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';

import {computeTrialMs, computeWaitedMs, judgeTask, listCrashes} from './CrashVerdict.ts';

/** Time in milliseconds since the last crash under a suspect after which it starts beside others. */
const MAX_SEPARATION_MS = 4_000;

function isSuspected(step: StepState, index: number): boolean {
  return !step.crashes.isEmpty && judgeTask(step, index) !== 'clear';
}

/** Whether a run of a suspect is too young to show that it does not crash its minion. */
export function isOnProbation({confirmedAt, step, task: {index}}: Run, now: Instant): boolean {
  const liveMs = now - (confirmedAt ?? now);
  return isSuspected(step, index) && liveMs < computeTrialMs(listCrashes(step, index));
}

/**
 * Whether a task may start on the minion beside the suspects there. The wait is limited, as there
 * may be more suspects than minions. Gangs are placed as a whole and are not kept apart.
 *
 * @example
 * const free = minions.filter((minion) => isApartFromSuspects(step, index, minion, now));
 */
export function isApartFromSuspects(
  step: StepState,
  index: number,
  {runs}: MinionState,
  now: Instant,
): boolean {
  return (
    step.shape.gang ||
    !isSuspected(step, index) ||
    computeWaitedMs(step, index, now) >= MAX_SEPARATION_MS ||
    ![...runs].some((run) => run.step.job !== step.job && isOnProbation(run, now))
  );
}
