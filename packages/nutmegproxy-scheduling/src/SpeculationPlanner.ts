/**
 * Second runs of tasks whose step allows them, for loads in which some minions are slow: when a run
 * takes much longer than expected, a copy starts elsewhere, and the first to be done counts.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {MinionRanking} from './MinionRanking.ts';

/** Multiple of the expected duration from which a run is late enough for a copy. */
const LATE_RATIO = 2;
/** Added to that in milliseconds, so that short tasks are not copied for the delay of a report. */
const LATE_MARGIN_MS = 400;

/** Least time in milliseconds between two looks at all runs: lateness is told in tenths of a second. */
const PLANNING_INTERVAL_MS = 100;

function isLate(run: Run, estimator: DurationEstimator, now: Instant): boolean {
  const {job, shape} = run.step;
  const expectedMs = estimator.taskMs(job.request.queue, shape);
  return run.phase === 'running' && now - run.sentAt > expectedMs * LATE_RATIO + LATE_MARGIN_MS;
}

/** Books copies of late runs on other minions that have room now. */
export function planSpeculativeRuns(
  fleet: Fleet,
  minions: readonly MinionState[],
  sharingCosts: SharingCosts,
  estimator: DurationEstimator,
  now: Instant,
): Run[] {
  const speculativeRuns: Run[] = [];
  if (now - fleet.speculationPlannedAt < PLANNING_INTERVAL_MS) {
    return speculativeRuns;
  }
  fleet.speculationPlannedAt = now;
  for (const minion of fleet.minions.values()) {
    for (const run of [...minion.runs]) {
      const {shape} = run.step;
      const canSpeculate = shape.speculative && !shape.gang && !shape.longRunning;
      const {index} = run.task;
      if (!canSpeculate || run.step.runsOf(index).length > 1 || !isLate(run, estimator, now)) {
        continue;
      }
      const {service} = fleet.resolveQueuePolicy(run.step.job);
      const chosen = new MinionRanking(run.step, minions, sharingCosts, now).choose(
        ({description, id}) => id !== run.minion && description.service === service,
      );
      if (chosen !== undefined) {
        speculativeRuns.push(fleet.startRun(run.step, index, chosen, now));
      }
    }
  }
  return speculativeRuns;
}
