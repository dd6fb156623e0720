/**
 * Plans speculative runs, for steps that allow them. When a run takes much longer than expected, as
 * on a slow minion, a second run of its task starts on another minion; the first one to complete
 * counts.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {isOpenToRuns} from './MinionAvailability.ts';
import {MinionRanking} from './MinionRanking.ts';

/** Multiple of the expected duration from which a run is late enough for a speculative run. */
const LATE_RATIO = 2;
/** Added to that in milliseconds, so that delayed reports of short tasks cause no second run. */
const LATE_MARGIN_MS = 400;

/** Minimum time in milliseconds between two checks; lateness needs no resolution below 0.1 s. */
const PLANNING_INTERVAL_MS = 100;

function isLate(fleet: Fleet, run: Run, estimator: DurationEstimator, now: Instant): boolean {
  const expectedMs = estimator.estimateRunMs(fleet, run);
  return run.phase === 'running' && now - run.sentAt > expectedMs * LATE_RATIO + LATE_MARGIN_MS;
}

/** Adds speculative runs for late runs to other minions with free capacity, and returns them. */
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
    for (const run of minion.runs) {
      const {shape} = run.step;
      if (!shape.speculative) {
        continue;
      }
      const {index} = run.task;
      const isSuspect = run.step.crashes.of(index).length > 0;
      const canSpeculate = !shape.gang && !shape.longRunning && !isSuspect;
      if (
        !canSpeculate ||
        run.step.runsOf(index).length > 1 ||
        !isLate(fleet, run, estimator, now)
      ) {
        continue;
      }
      const {service} = fleet.resolveQueuePolicy(run.step.job);
      const chosen = new MinionRanking(run.step, minions, sharingCosts, now).choose(
        (minion) =>
          minion.id !== run.minion &&
          minion.description.service === service &&
          isOpenToRuns(minion, now),
      );
      if (chosen !== undefined) {
        speculativeRuns.push(fleet.startRun(run.step, index, chosen, now));
      }
    }
  }
  return speculativeRuns;
}
