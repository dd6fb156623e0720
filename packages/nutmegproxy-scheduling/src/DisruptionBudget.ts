/** The number of tasks of a lasting step that may be away at once because of the owner's own orders. */

import type {Run, StepState} from '@nutmegproxy/jobs';

const FULL_PERCENT = 100;

function isAtWork({percent, phase}: Run): boolean {
  return phase === 'running' && percent >= FULL_PERCENT;
}

/** Returns the number of tasks of a step that are not at work, whatever the cause. */
function countAway(step: StepState): number {
  const atWork = new Set([...step.runs()].filter(isAtWork).map(({task}) => task.index));
  return step.shape.count - atWork.size;
}

/**
 * Whether a run has to go on, since as many other tasks of its step are away as its budget allows.
 *
 * @example
 * isDisruptionExcluded(run); // true for a task at work, beside one that is away, of a step with a budget of one
 */
export function isDisruptionExcluded(run: Run): boolean {
  const {disruptionBudget, longRunning} = run.step.shape;
  return (
    longRunning &&
    disruptionBudget !== undefined &&
    isAtWork(run) &&
    countAway(run.step) >= disruptionBudget
  );
}
