/**
 * Says since when nothing of a job is likely to be at work. An owner whose process is full learns of ends seconds late,
 * so that a job whose runs are all live, as far as it knows, may stand still for its callers.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';

const FULL_PERCENT = 100;

/** What the ends of runs are expected by. */
export interface WorkOutlook {
  readonly estimator: DurationEstimator;
  readonly fleet: Fleet;
}

/** Returns when a run ends if it goes on as its minion has listed it; Infinity while that is not known. */
function findEndByProgress({minion, percent, sentAt}: Run, fleet: Fleet): number {
  const listedAt = fleet.minions.get(minion)?.lastAnswerAt ?? -Infinity;
  return percent > 0 && listedAt > sentAt
    ? sentAt + ((listedAt - sentAt) * FULL_PERCENT) / percent
    : Infinity;
}

/** Returns when a run is likely to have ended at the latest; Infinity for those that last or are not sent yet. */
function findExpectedEnd(run: Run, {estimator, fleet}: WorkOutlook): number {
  const {phase, sentAt, step} = run;
  if (step.shape.longRunning || phase === 'starting') {
    return Infinity;
  }
  const endsAt = sentAt + estimator.estimateRunMs(fleet, run);
  return Math.min(endsAt, findEndByProgress(run, fleet));
}

/**
 * Returns since when nothing of a step's job has been at work while it was the step's turn, by what this owner knows and
 * by how long its runs were expected to take; Infinity where something is at work after `until`. It counts from the last
 * start where its end was none of a done task. The turns of other steps don't count: those of a recurring job may come
 * at any rate.
 *
 * @example
 * now - findIdleSince(step, {estimator, fleet}, now); // 1_200
 */
export function findIdleSince(
  {job, readyAt}: StepState,
  outlook: WorkOutlook,
  until: number,
): number {
  let idleSince = Math.max(readyAt ?? -Infinity, job.activeAt ?? -Infinity);
  for (const run of job.liveRuns) {
    idleSince = Math.max(idleSince, findExpectedEnd(run, outlook));
    if (idleSince > until) {
      return Infinity;
    }
  }
  return idleSince;
}

/**
 * Returns the same for steps of jobs of which nothing is likely to be at work by the time that a start takes; Infinity
 * for others.
 *
 * @example
 * const isAwaited = findSoonIdleSince(step, {estimator, fleet}, now) < Infinity;
 */
export function findSoonIdleSince(step: StepState, outlook: WorkOutlook, now: Instant): number {
  return findIdleSince(step, outlook, now + outlook.fleet.startDelay.turnaroundMs);
}
