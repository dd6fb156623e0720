/** Finds the suspected tasks that wait, and chooses minions for their trials. */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, StepState, TaskCrash} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {TrialCandidate} from './TrialPacing.ts';

import {computeTrialMs, computeWaitedMs, judgeTask, listCrashes} from './CrashVerdict.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {isOnProbation} from './SuspectSeparation.ts';
import {MAX_TRIAL_DELAY_MS} from './TrialPacing.ts';

/**
 * Shortest time in milliseconds after a crash in which other machines may turn out to have failed with
 * it, or its minion to crash without the task.
 */
const VERDICT_PAUSE_MS = 2_500;
/** Time in milliseconds for which a trial waits for a minion without runs. */
const EMPTY_MINION_WAIT_MS = 700;
/** Crashes under a task that is not given up, from which on its trials have pauses before them. */
const MIN_PAUSED_CRASHES = 3;
/** What each of these crashes adds to the pause, and the longest pause, in milliseconds. */
const TRIAL_PAUSE_MS = 1_000;
const MAX_TRIAL_PAUSE_MS = 3_000;

export interface SuspectContext {
  /** Indexes of the tasks of a step that may start now. */
  readonly listStartable: (step: StepState) => readonly number[];
  readonly now: Instant;
}

/** A suspected task that waits for its start. */
export interface Suspect extends TrialCandidate {
  readonly index: number;
  /** Whether it has waited for too long for a trial on a minion of its own. */
  readonly isOverdue: boolean;
  /** Whether it may share the minion of its trial with suspects of other jobs. */
  readonly mayShareMinion: boolean;
  /** Time in milliseconds since the last crash after which its next trial is due. */
  readonly pauseMs: number;
  readonly step: StepState;
}

/**
 * Returns how long a task waits before its next trial. Minions that fail by themselves are likely to do
 * so meanwhile, and a task that crashes them does it less often.
 */
function computeTrialPause({length}: readonly TaskCrash[]): number {
  const paused = Math.max(0, length - MIN_PAUSED_CRASHES + 1);
  return Math.min(MAX_TRIAL_PAUSE_MS, paused * TRIAL_PAUSE_MS);
}

function describeSuspect(step: StepState, index: number, now: Instant): Suspect {
  const crashes = step.crashes.of(index);
  const waitedMs = computeWaitedMs(step, index, now);
  return {
    index,
    isOverdue: waitedMs >= MAX_TRIAL_DELAY_MS,
    // A crash beside others tells less, so a task with many crashes is tried alone.
    mayShareMinion: crashes.length < MIN_PAUSED_CRASHES,
    pauseMs: computeTrialPause(crashes),
    step,
    trialMs: computeTrialMs(crashes),
    waitedMs,
  };
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

/**
 * Returns the suspects that wait, in the order in which they are tried, and the jobs with tasks that are found
 * guilty. A task is given up once other machines would have turned out to have failed with its minions.
 */
export function collectSuspects(
  fleet: Fleet,
  ready: readonly StepState[],
  {listStartable, now}: SuspectContext,
): {readonly guilty: ReadonlySet<JobState>; readonly suspects: readonly Suspect[]} {
  const guilty = new Set<JobState>();
  const suspects: Suspect[] = [];
  for (const step of ready.filter(({crashes}) => !crashes.isEmpty)) {
    for (const index of listStartable(step)) {
      const verdict = judgeTask(step, index);
      if (verdict === 'clear' || step.job.isFinal) {
        continue;
      }
      if (verdict === 'guilty') {
        guilty.add(step.job);
        const pauseMs = Math.max(VERDICT_PAUSE_MS, computeTrialMs(listCrashes(step, index)));
        if (computeWaitedMs(step, index, now) >= pauseMs) {
          giveUpTask(fleet, step, index);
        }
      } else if (!step.shape.gang) {
        suspects.push(describeSuspect(step, index, now));
      }
    }
  }
  const others = suspects.filter(({step}) => !guilty.has(step.job));
  return {guilty, suspects: others.sort(compareSuspects)};
}

/** Returns how many of the crashes under a suspect are recorded of a minion. */
function countCrashesAt({index, step}: Suspect, {description}: MinionState): number {
  const crashes = step.crashes.of(index);
  return crashes.filter(({address}) => address === description.address).length;
}

/**
 * Chooses a minion without runs; after a wait one under which few crashes are recorded, with few runs
 * and without serving tasks.
 */
export function chooseTrialMinion(
  suspect: Suspect,
  minions: readonly MinionState[],
): MinionState | undefined {
  const able = minions.filter(({trialRun}) => trialRun === undefined);
  const others = able.filter((minion) => countCrashesAt(suspect, minion) === 0);
  // A minion that has been up for long is less likely to fail by itself.
  const [empty] = others
    .filter(({runs}) => runs.size === 0)
    .sort((a, b) => (a.bornAt ?? Infinity) - (b.bornAt ?? Infinity));
  if (empty !== undefined || suspect.waitedMs < EMPTY_MINION_WAIT_MS) {
    return empty;
  }
  const [least] = [...able].sort(
    (a, b) =>
      countCrashesAt(suspect, a) - countCrashesAt(suspect, b) ||
      a.servingRuns - b.servingRuns ||
      a.runs.size - b.runs.size,
  );
  return least;
}

/** Chooses the minion on which a crash under the suspect would speak against the fewest others. */
export function chooseOverdueMinion(
  suspect: Suspect,
  minions: readonly MinionState[],
  now: Instant,
): MinionState | undefined {
  const costs = minions.map((minion) => ({
    minion,
    suspects: [...minion.runs].filter((run) => isOnProbation(run, now)).length,
  }));
  const [least] = costs.sort(
    (a, b) =>
      a.suspects - b.suspects ||
      countCrashesAt(suspect, a.minion) - countCrashesAt(suspect, b.minion) ||
      a.minion.servingRuns - b.minion.servingRuns ||
      a.minion.runs.size - b.minion.runs.size,
  );
  return least?.minion;
}
