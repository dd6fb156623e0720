/**
 * Stops backfill that holds the memory or the GPUs which an interrupted task of a long-running job needs. Backfill
 * gives way to any other work with its processors, and so it does to a task that its users lack.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {isInterruptedTask} from './InterruptedTaskStarts.ts';
import {meetsConstraints} from './Placement.ts';

/** Time in milliseconds for which a minion gets no new backfill: more than a stop and the report of its end take. */
const KEPT_MS = 3_000;
/**
 * Time in milliseconds after which backfill may have to leave the minion again. Otherwise it would never end there
 * where other work takes the room each time.
 */
const REST_MS = 10_000;

/** A minion on which a task fits once some backfill has stopped. */
interface Release {
  readonly minion: MinionState;
  readonly runs: readonly Run[];
}

/** Returns the backfill on a minion that may be stopped, least progress first, as its work may be lost. */
function listStoppable({runs}: MinionState): Run[] {
  return [...runs]
    .filter(
      ({step: {shape}}) =>
        shape.fillsSpareCpu && shape.disruptionBudget === undefined && !shape.gang,
    )
    .sort(
      (a, b) =>
        Number(b.phase === 'stopping') - Number(a.phase === 'stopping') || a.percent - b.percent,
    );
}

/** Returns the fewest runs to stop so that a task of the step fits, those included that stop already. */
function findRelease({shape}: StepState, minion: MinionState): Release | undefined {
  const runs: Run[] = [];
  for (const run of listStoppable(minion)) {
    runs.push(run);
    if (minion.hasCapacityWithout(shape, runs)) {
      return {minion, runs};
    }
  }
  return undefined;
}

function isHeld({backfillHeldUntil}: MinionState, now: Instant): boolean {
  return now < backfillHeldUntil;
}

/** Whether a release is better than another one: it has begun already, or fewer runs have to stop for it. */
function isBetter(release: Release, other: Release | undefined, now: Instant): boolean {
  if (other === undefined) {
    return true;
  }
  const [isBegun, wasBegun] = [isHeld(release.minion, now), isHeld(other.minion, now)];
  return isBegun === wasBegun ? release.runs.length < other.runs.length : isBegun;
}

/** Returns the waiting task of the step that was interrupted and comes first; undefined without any. */
function findInterrupted(step: StepState): number | undefined {
  for (const index of step.waiting) {
    if (isInterruptedTask(step, index)) {
      return index;
    }
  }
  return undefined;
}

/**
 * Makes room for an interrupted task of a step for which no minion was found, on one of the minions that may get
 * work; the task starts in the round after the backfill has ended. Where an external service permits minions, it
 * is not known whether it permits this one.
 *
 * @example
 * releaseBackfill(fleet, step, minions, now);
 */
export function releaseBackfill(
  fleet: Fleet,
  step: StepState,
  minions: readonly MinionState[],
  now: Instant,
): void {
  const index = findInterrupted(step);
  if (index === undefined || fleet.resolveQueuePolicy(step.job).advice !== undefined) {
    return;
  }
  let chosen: Release | undefined;
  for (const minion of minions) {
    const isOpen = isHeld(minion, now) || now - minion.backfillHeldUntil >= REST_MS;
    const isAllowed = meetsConstraints(step, minion) && !step.isAvoided(index, minion.id, now);
    const release =
      isOpen && isAllowed && !minion.hasCapacity(step.shape)
        ? findRelease(step, minion)
        : undefined;
    chosen = release !== undefined && isBetter(release, chosen, now) ? release : chosen;
  }
  if (chosen === undefined) {
    return;
  }
  const {minion} = chosen;
  minion.backfillHeldUntil = isHeld(minion, now) ? minion.backfillHeldUntil : after(now, KEPT_MS);
  for (const run of chosen.runs) {
    fleet.stopRun(run, 'displaced');
  }
}
