/** Finds the suspected tasks that wait, and chooses minions for their trials. */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, StepState} from '@nutmegproxy/jobs';

import type {CrashPause} from './CrashPauses.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {TrialCandidate} from './TrialPacing.ts';

import {FRESH_RUN_MS} from './CrashAttribution.ts';
import {findCrashPause} from './CrashPauses.ts';
import {computeIdleMs, computeTrialMs, computeWaitedMs, judgeTask} from './CrashVerdict.ts';
import {isOnProbation} from './SuspectSeparation.ts';

/** Time in milliseconds for which a trial waits for a minion without runs. */
const EMPTY_MINION_WAIT_MS = 700;
/** Crashes of minions under a task from which on it is tried alone. */
const MIN_SEPARATE_CRASHES = 3;

export interface SuspectContext {
  /** Indexes of the tasks of a step that may start now. */
  readonly listStartable: (step: StepState) => readonly number[];
  readonly now: Instant;
}

/** A suspected task that waits for its start. */
export interface Suspect extends TrialCandidate {
  readonly index: number;
  /** Whether it does not start, as chance is excluded as the cause of its crashes. */
  readonly isDeadly: boolean;
  /** Whether it has waited for too long for a trial on a minion of its own. */
  readonly isOverdue: boolean;
  /** Whether it starts only on trial and ever less often, as chance is no likely cause of its crashes. */
  readonly isRestrained: boolean;
  /** Whether it may share the minion of its trial with suspects of other jobs. */
  readonly mayShareMinion: boolean;
  /** Time in milliseconds since the last crash after which it is overdue. */
  readonly overdueMs: number;
  /** Time in milliseconds since the last crash after which its next trial is due. */
  readonly pauseMs: number;
  readonly step: StepState;
  /** Time in milliseconds since the last crash under it; if it is restrained, since its minion fell silent then. */
  readonly waitedMs: number;
}

function describeSuspect(
  step: StepState,
  index: number,
  {isDeadly, isRestrained, overdueMs, pauseMs}: CrashPause,
  now: Instant,
): Suspect {
  const crashes = step.crashes.of(index);
  const waitedMs = isRestrained
    ? computeIdleMs(step, index, now)
    : computeWaitedMs(step, index, now);
  return {
    index,
    isDeadly,
    isOverdue: !isDeadly && waitedMs >= overdueMs,
    isRestrained,
    // A crash beside others tells less, so a task with many crashes is tried alone.
    mayShareMinion: !isRestrained && crashes.length < MIN_SEPARATE_CRASHES,
    overdueMs,
    pauseMs,
    remainingMs: overdueMs - waitedMs,
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

/** Whether a sibling of a restrained task is suspected of the same: a minion crashed as it had just started. */
function isAlike({index, step}: Suspect): boolean {
  return step.crashes
    .of(index)
    .some(({ageMs, evidence}) => evidence === 'alone' && ageMs < FRESH_RUN_MS);
}

/** Restrains the tasks of restrained jobs that behave alike: they are tried one at a time, within the same bound. */
function restrainSiblings(suspects: readonly Suspect[], now: Instant): readonly Suspect[] {
  const restrained = new Map<JobState, Suspect>();
  for (const suspect of suspects.filter((each) => each.isRestrained)) {
    const {job} = suspect.step;
    const longest = restrained.get(job);
    if (longest === undefined || longest.pauseMs < suspect.pauseMs) {
      restrained.set(job, suspect);
    }
  }
  return suspects.map((suspect) => {
    const alike = restrained.get(suspect.step.job);
    if (alike === undefined || suspect.isRestrained || !isAlike(suspect)) {
      return suspect;
    }
    const {index, isDeadly, step} = suspect;
    const {overdueMs, pauseMs} = alike;
    return describeSuspect(step, index, {isDeadly, isRestrained: true, overdueMs, pauseMs}, now);
  });
}

/**
 * Returns the suspects that wait, in the order in which they are tried, and the jobs with gangs that are deadly, or whose
 * pause after crashes is not over.
 */
export function collectSuspects(
  fleet: Fleet,
  ready: readonly StepState[],
  {listStartable, now}: SuspectContext,
): {
  readonly deadly: ReadonlySet<JobState>;
  readonly pausing: ReadonlySet<JobState>;
  readonly suspects: readonly Suspect[];
} {
  const deadly = new Set<JobState>();
  const pausing = new Set<JobState>();
  const suspects: Suspect[] = [];
  for (const step of ready.filter(({crashes}) => !crashes.isEmpty)) {
    const {gang} = step.shape;
    for (const index of listStartable(step)) {
      if (judgeTask(step, index) === 'clear' || step.job.isFinal) {
        continue;
      }
      const pause = findCrashPause(fleet, step, index, now);
      const suspect = describeSuspect(step, index, pause, now);
      if (!gang) {
        suspects.push(suspect);
      } else if (suspect.isDeadly) {
        deadly.add(step.job);
      } else if (suspect.waitedMs < suspect.pauseMs) {
        pausing.add(step.job);
      }
    }
  }
  return {deadly, pausing, suspects: [...restrainSiblings(suspects, now)].sort(compareSuspects)};
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
  // A minion that has crashed of late may do so again, and where they restart in turn the oldest one is the next.
  const free = others
    .filter(({runs}) => runs.size === 0)
    .sort((a, b) => (a.bornAt ?? Infinity) - (b.bornAt ?? Infinity));
  const empty = free[Math.floor((free.length - 1) / 2)];
  const waitMs = EMPTY_MINION_WAIT_MS + (suspect.isRestrained ? suspect.pauseMs : 0);
  if (empty !== undefined || suspect.waitedMs < waitMs) {
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
