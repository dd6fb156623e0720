/** Follows suspected tasks from their starts until they have shown that they don't crash their minions. */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionListing} from './ListingReconciler.ts';
import type {MinionState} from './MinionState.ts';

import {MAX_CRASH_AGE_MS} from './CrashAttribution.ts';
import {computeTrialMs, judgeTask} from './CrashVerdict.ts';
import {describeRun} from './RunFields.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Whether the run is a trial that is not over. The members of a gang have none. */
export function isTrial({number, step, task}: Run): boolean {
  return !step.shape.gang && step.crashes.trials.get(task.index)?.run === number;
}

/** Counts runs of suspected tasks that started without a trial as on trial when their minions crash. */
export function watchSuspects({minions}: Fleet, runs: readonly Run[]): void {
  for (const run of runs) {
    const {step, task} = run;
    if (!step.shape.gang && !step.crashes.isEmpty && judgeTask(step, task.index) !== 'clear') {
      minions.get(run.minion)?.watchedRuns.add(run);
    }
  }
}

/** Ends a trial that the minion has survived; single crashes no longer speak against the job. */
function passTrial(fleet: Fleet, minion: MinionState, run: Run, now: Instant): void {
  minion.trialRun = minion.trialRun === run ? undefined : minion.trialRun;
  run.step.crashes.endTrial(run.task.index, run.number);
  minion.passedTrials.add(run);
  fleet.events.record(SCHEDULING_EVENTS.TRIAL_PASSED, {
    ...describeRun(run),
    ms: Math.round(now - run.sentAt),
  });
  for (const step of run.step.job.steps()) {
    for (const index of step.crashes.indexes) {
      const crashes = step.crashes.of(index);
      const [only] = crashes;
      if (crashes.length === 1 && only !== undefined) {
        step.crashes.excuse(index, only.run, 'coincident');
      }
    }
  }
  fleet.dirtyJobs.add(run.step.job);
}

/** Ends the trial on a minion, and drops crashes under runs that have been live for long. */
export function reviewTrials(
  fleet: Fleet,
  minion: MinionState,
  {ended}: MinionListing,
  trial: Run | undefined,
  now: Instant,
): void {
  if (trial !== undefined) {
    const hasEnded = ended.some(
      ({number, outcome, task}) =>
        number === trial.number &&
        formatTaskName(task) === formatTaskName(trial.task) &&
        (outcome === 'done' || outcome === 'failed'),
    );
    if (hasEnded) {
      passTrial(fleet, minion, trial, now);
    }
  }
  for (const run of minion.runs) {
    const {confirmedAt, step, task} = run;
    const ageMs = now - (confirmedAt ?? now);
    if (ageMs >= computeTrialMs(step.crashes.of(task.index))) {
      if (isTrial(run)) {
        passTrial(fleet, minion, run, now);
      } else if (minion.watchedRuns.delete(run)) {
        minion.passedTrials.add(run);
      }
    }
    if (!step.crashes.isEmpty && ageMs >= MAX_CRASH_AGE_MS && step.crashes.clear(task.index)) {
      fleet.dirtyJobs.add(step.job);
    }
  }
}
