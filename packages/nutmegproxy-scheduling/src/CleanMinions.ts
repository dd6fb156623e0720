/** Tells the minions on which no run may be to blame for a crash. */

import type {ExposedRun} from './CrashAttribution.ts';
import type {Fleet} from './Fleet.ts';

import {hasTrial, MAX_CRASH_AGE_MS} from './CrashAttribution.ts';
import {judgeTask} from './CrashVerdict.ts';

/**
 * Counts the minions that are up without a young run, one on trial or one of a task found guilty.
 *
 * @example
 * countCleanMinions(fleet); // 7
 */
export function countCleanMinions({minions, runNumberBase}: Fleet): number {
  return [...minions.values()].filter((minion) => {
    const exposed = minion.listExposedRuns(runNumberBase);
    const isTelling = ({ageMs, isSuspect, run: {step, task}}: ExposedRun): boolean =>
      isSuspect ||
      (ageMs < MAX_CRASH_AGE_MS &&
        !step.crashes.isEmpty &&
        judgeTask(step, task.index) === 'guilty');
    return minion.silentSince === undefined && !hasTrial(exposed) && !exposed.some(isTelling);
  }).length;
}
