/**
 * Starts suspected tasks on trial: each alone on its minion, which gets no other work until the task
 * has run for some time. All other tasks of its job wait for the verdict, unless the job is to last:
 * its tasks serve users while they run, whatever becomes of the others.
 */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, Run, StepState, TaskCrash} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionListing} from './ListingReconciler.ts';
import type {MinionState} from './MinionState.ts';

import {MAX_CRASH_AGE_MS} from './CrashAttribution.ts';
import {
  computeTrialMs,
  computeWaitedMs,
  isStronglySuspected,
  judgeTask,
  listCrashes,
} from './CrashVerdict.ts';
import {describeRun} from './RunFields.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {isApartFromSuspects} from './SuspectSeparation.ts';

/**
 * Shortest time in milliseconds after a crash in which other machines may turn out to have failed with
 * it, or its minion to crash without the task.
 */
const VERDICT_PAUSE_MS = 2_500;
/** Time in milliseconds for which a trial waits for a minion without runs. */
const EMPTY_MINION_WAIT_MS = 700;
/** Time in milliseconds after which a task that is hardly suspected starts without a trial. */
const MAX_TRIAL_WAIT_MS = 2_000;
/** Crashes under a task that is not given up, from which on its trials have pauses before them. */
const MIN_PAUSED_CRASHES = 3;
/** What each of these crashes adds to the pause, and the longest pause, in milliseconds. */
const TRIAL_PAUSE_MS = 1_000;
const MAX_TRIAL_PAUSE_MS = 3_000;
/** Largest share of the minions that are reserved for trials, and the least number of trials. */
const MAX_TRIAL_SHARE = 0.15;
const MIN_TRIALS = 2;

export interface TrialContext {
  /** Minions that can run a task now: they have capacity and meet its constraints. */
  readonly listMinions: (step: StepState, index: number) => readonly MinionState[];
  /** Indexes of the tasks of a step that may start now. */
  readonly listStartable: (step: StepState) => readonly number[];
  readonly now: Instant;
}

export interface TrialPlan {
  /** Jobs whose tasks must not start otherwise. */
  readonly held: ReadonlySet<JobState>;
  /** Tasks of other jobs that must not start otherwise, by step. */
  readonly heldTasks: ReadonlyMap<StepState, ReadonlySet<number>>;
  readonly starts: readonly Run[];
}

interface Suspect {
  readonly index: number;
  /** Time in milliseconds since the last crash after which its next trial is due. */
  readonly pauseMs: number;
  readonly step: StepState;
  readonly waitedMs: number;
}

/**
 * Returns how long a task waits before its next trial. Minions that fail by themselves are likely to do
 * so meanwhile, and a task that crashes them does it less often.
 */
function computeTrialPause({length}: readonly TaskCrash[]): number {
  const paused = Math.max(0, length - MIN_PAUSED_CRASHES + 1);
  return Math.min(MAX_TRIAL_PAUSE_MS, paused * TRIAL_PAUSE_MS);
}

/** Gives up a task and with it its job. */
function giveUpTask(fleet: Fleet, step: StepState, index: number): void {
  const {job} = step;
  const crashes = listCrashes(step, index);
  fleet.events.record(SCHEDULING_EVENTS.TASK_GIVEN_UP, {
    crashes: crashes.length,
    evidence: crashes.map(({evidence}) => evidence).join(' '),
    job: job.id,
    minions: crashes.map(({minion}) => minion).join(' '),
    task: formatTaskName({index, job: job.id, occurrence: step.occurrence, step: step.number}),
  });
  fleet.finishJob(job, 'failed');
}

function countCrashes({job}: StepState): number {
  let crashes = 0;
  for (const step of job.steps()) {
    crashes += step.crashes.indexes.reduce((sum, each) => sum + step.crashes.of(each).length, 0);
  }
  return crashes;
}

/** Orders suspects by how much speaks against them and their jobs. */
function compareSuspects(a: Suspect, b: Suspect): number {
  const byTask = b.step.crashes.of(b.index).length - a.step.crashes.of(a.index).length;
  return byTask || countCrashes(b.step) - countCrashes(a.step) || b.waitedMs - a.waitedMs;
}

/**
 * Chooses a minion without runs; after a wait one under which few crashes are recorded, with few runs
 * and without serving tasks.
 */
function chooseMinion(
  {index, step, waitedMs}: Suspect,
  minions: readonly MinionState[],
): MinionState | undefined {
  const crashed = step.crashes.of(index).map(({address}) => address);
  const countAt = ({description}: MinionState): number =>
    crashed.filter((address) => address === description.address).length;
  const able = minions.filter(({trialRun}) => trialRun === undefined);
  const others = able.filter((minion) => countAt(minion) === 0);
  // A minion that has been up for long is less likely to fail by itself.
  const [empty] = others
    .filter(({runs}) => runs.size === 0)
    .sort((a, b) => (a.bornAt ?? Infinity) - (b.bornAt ?? Infinity));
  if (empty !== undefined || waitedMs < EMPTY_MINION_WAIT_MS) {
    return empty;
  }
  const [least] = [...able].sort(
    (a, b) => countAt(a) - countAt(b) || a.servingRuns - b.servingRuns || a.runs.size - b.runs.size,
  );
  return least;
}

/** Records a start that may crash its minion, so that the store names it before it is sent. */
export function recordTrial(fleet: Fleet, run: Run): void {
  const bornAt = fleet.minions.get(run.minion)?.bornAt;
  run.step.crashes.trials.set(run.task.index, {
    ...(bornAt !== undefined && {bornAt}),
    minion: run.minion,
    run: run.number,
  });
  fleet.jobs.recordTrial(run.step.job);
  fleet.dirtyJobs.add(run.step.job);
}

function startTrial(
  fleet: Fleet,
  {index, step, waitedMs}: Suspect,
  minion: MinionState,
  now: Instant,
): Run {
  const beside = minion.runs.size;
  const run = fleet.startRun(step, index, minion, now);
  minion.trialRun = run;
  recordTrial(fleet, run);
  fleet.events.record(SCHEDULING_EVENTS.TRIAL_STARTED, {
    ...describeRun(run),
    beside,
    crashes: step.crashes.of(index).length,
    waitedMs: Math.round(waitedMs),
  });
  return run;
}

/** Plans the trials of the steps that are ready, and gives up tasks that are found guilty. */
export function planTrials(
  fleet: Fleet,
  ready: readonly StepState[],
  context: TrialContext,
): TrialPlan {
  const {now} = context;
  const held = new Set<JobState>();
  const heldTasks = new Map<StepState, Set<number>>();
  const starts: Run[] = [];
  const suspects: Suspect[] = [];
  for (const step of ready.filter(({crashes}) => !crashes.isEmpty)) {
    for (const index of context.listStartable(step)) {
      const verdict = judgeTask(step, index);
      if (verdict === 'clear' || step.job.isFinal) {
        continue;
      }
      const waitedMs = computeWaitedMs(step, index, now);
      if (verdict === 'guilty') {
        held.add(step.job);
        if (waitedMs >= Math.max(VERDICT_PAUSE_MS, computeTrialMs(listCrashes(step, index)))) {
          giveUpTask(fleet, step, index);
        }
      } else if (!step.shape.gang) {
        const pauseMs = computeTrialPause(step.crashes.of(index));
        suspects.push({index, pauseMs, step, waitedMs});
      }
    }
  }
  let trials = 0;
  const triedJobs = new Set<JobState>();
  for (const {trialRun} of fleet.minions.values()) {
    if (trialRun !== undefined) {
      trials += 1;
      triedJobs.add(trialRun.step.job);
      if (!trialRun.step.shape.longRunning) {
        held.add(trialRun.step.job);
      }
    }
  }
  const maxTrials = Math.max(MIN_TRIALS, Math.floor(fleet.minions.size * MAX_TRIAL_SHARE));
  for (const suspect of suspects.sort(compareSuspects)) {
    const {index, pauseMs, step, waitedMs} = suspect;
    if (held.has(step.job)) {
      continue;
    }
    const able = context.listMinions(step, index);
    const apart = able.filter((minion) => isApartFromSuspects(step, index, minion, now));
    const isPossible = waitedMs >= pauseMs && trials < maxTrials && !triedJobs.has(step.job);
    const minion = isPossible ? chooseMinion(suspect, apart) : undefined;
    if (minion !== undefined) {
      trials += 1;
      triedJobs.add(step.job);
      starts.push(startTrial(fleet, suspect, minion, now));
    }
    // Without a minion that can run it, the task is left to the rules of all tasks.
    const crashes = step.crashes.of(index);
    const needsTrial = crashes.length > 1 && able.length > 0 && isStronglySuspected(crashes);
    const hasWaited = waitedMs >= Math.max(MAX_TRIAL_WAIT_MS, pauseMs);
    const needsNoTrial = minion === undefined && hasWaited && !needsTrial;
    const waitsForOthers = able.length > 0 && apart.length === 0;
    if (needsNoTrial && !waitsForOthers) {
      continue;
    }
    if (needsNoTrial || step.shape.longRunning) {
      heldTasks.set(step, (heldTasks.get(step) ?? new Set()).add(index));
    } else {
      held.add(step.job);
    }
  }
  return {held, heldTasks, starts};
}

/** Ends a trial that the minion has survived; single crashes no longer speak against the job. */
function passTrial(fleet: Fleet, minion: MinionState, run: Run, now: Instant): void {
  minion.trialRun = undefined;
  minion.passedTrials.add(run);
  run.step.crashes.endTrial(run.task.index, run.number);
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
    const {index} = trial.task;
    const ageMs = now - (trial.confirmedAt ?? now);
    const hasEnded = ended.some(
      ({number, outcome, task}) =>
        number === trial.number &&
        formatTaskName(task) === formatTaskName(trial.task) &&
        (outcome === 'done' || outcome === 'failed'),
    );
    const isLive = minion.trialRun === trial;
    if (hasEnded || (isLive && ageMs >= computeTrialMs(trial.step.crashes.of(index)))) {
      passTrial(fleet, minion, trial, now);
    }
  }
  for (const {confirmedAt, step, task} of minion.runs) {
    const ageMs = now - (confirmedAt ?? now);
    if (!step.crashes.isEmpty && ageMs >= MAX_CRASH_AGE_MS && step.crashes.clear(task.index)) {
      fleet.dirtyJobs.add(step.job);
    }
  }
}
