/** What the ends of runs say about their minions: quarantines and trials, each with a line in the log. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {isTrialRun} from './MinionAvailability.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/**
 * Time in milliseconds for which a task avoids a minion whose trial it failed: longer than a quarantine,
 * so that the next trial is another task's.
 */
export const FAILED_TRIAL_AVOIDANCE_MS = 8_000;

/**
 * Quarantines a minion whose runs stall or that refuses starts.
 *
 * @example
 * quarantineMinion(fleet, minion, 'stalls', now);
 */
export function quarantineMinion(
  {events}: Fleet,
  {id, trust}: MinionState,
  reason: string,
  now: Instant,
): void {
  if (trust.recordStall(now)) {
    events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: id, reason});
  }
}

/** Ends the trial of a minion whose run goes on without failing. */
export function endTrial({events}: Fleet, {id, trust}: MinionState, {step}: Run): void {
  step.hasFailedTrial = false;
  trust.endTrial();
  events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: id, proof: 'live'});
}

/** Records a run that is done; `minion` is undefined when it has left. */
export function recordSuccess({events}: Fleet, minion: MinionState | undefined, run: Run): void {
  run.step.hasFailedTrial = false;
  if (minion?.trust.recordSuccess(run.sentAt)) {
    events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: minion.id, proof: 'done'});
  }
}

/** Records when a task failed, and where unless it is to last: such a task may fail on any number of minions. */
export function recordFailureOf(
  {failedAt, failedOn, shape}: StepState,
  index: number,
  minion: MinionId,
  now: Instant,
): void {
  failedAt.set(index, now);
  if (!shape.longRunning) {
    failedOn.set(minion, (failedOn.get(minion) ?? new Set()).add(index));
  }
}

/** Records a run that has failed; `minion` is undefined when it has left. */
export function recordFailure(
  {events}: Fleet,
  minion: MinionState | undefined,
  run: Run,
  now: Instant,
): void {
  const {step, task} = run;
  recordFailureOf(step, task.index, run.minion, now);
  if (minion !== undefined && isTrialRun(minion, run)) {
    step.hasFailedTrial = true;
    step.avoid(task.index, run.minion, now, FAILED_TRIAL_AVOIDANCE_MS);
  } else if (!step.shape.longRunning) {
    // Long-running tasks may fail at any time and restart on the capacity that they had.
    step.avoid(task.index, run.minion, now);
  }
  if (minion?.trust.recordFailure(task.job, now)) {
    events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: minion.id, reason: 'failures'});
  }
}
