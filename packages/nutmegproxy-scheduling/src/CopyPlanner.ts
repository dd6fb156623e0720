/**
 * Second runs of tasks whose step allows them, for loads in which some minions are slow: when a run
 * takes much longer than expected, a copy starts elsewhere, and the first to be done counts.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {PlacementView} from './Placement.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

import {MinionRanking} from './MinionRanking.ts';

/** Multiple of the expected duration from which a run is late enough for a copy. */
const LATE_RATIO = 2;
/** Added to that in milliseconds, so that short tasks are not copied for the delay of a report. */
const LATE_MARGIN_MS = 400;

/** Least time in milliseconds between two looks at all runs: lateness is told in tenths of a second. */
const LOOK_PAUSE_MS = 100;

function isLate(run: Run, estimate: WorkEstimate, now: Instant): boolean {
  const {job, shape} = run.step;
  const expectedMs = estimate.taskMs(job.request.queue, shape);
  return run.phase === 'running' && now - run.sentAt > expectedMs * LATE_RATIO + LATE_MARGIN_MS;
}

/** Books copies of late runs on other minions that have room now. */
export function planCopies(
  fleet: Fleet,
  minions: readonly MinionState[],
  view: PlacementView,
  estimate: WorkEstimate,
  now: Instant,
): Run[] {
  const copies: Run[] = [];
  if (now - fleet.copiesPlannedAt < LOOK_PAUSE_MS) {
    return copies;
  }
  fleet.copiesPlannedAt = now;
  for (const minion of fleet.minions.values()) {
    for (const run of [...minion.runs]) {
      const {shape} = run.step;
      const mayCopy = shape.speculative && !shape.gang && !shape.longRunning;
      const {index} = run.task;
      if (!mayCopy || run.step.runsOf(index).length > 1 || !isLate(run, estimate, now)) {
        continue;
      }
      const {service} = fleet.policy(run.step.job);
      const chosen = new MinionRanking(run.step, minions, view, now).choose(
        ({description, id}) => id !== run.minion && description.service === service,
      );
      if (chosen !== undefined) {
        copies.push(fleet.startRun(run.step, index, chosen, now));
      }
    }
  }
  return copies;
}
