/** Judges a task by the crashes of minions under its runs; the verdict decides how it starts again, not its job's state. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState, TaskCrash} from '@nutmegproxy/jobs';

import {FRESH_RUN_MS, MAX_TRIAL_MS} from './CrashAttribution.ts';

/** Number of minions that have crashed under a task that is found guilty. */
const MIN_MINIONS = 2;
/** Crashes under young runs after which a task is found guilty though other jobs ran beside it. */
const MAX_SHARED_CRASHES = 3;
/** The same where machines may have failed each time. Each owner that is killed may leave one uncounted. */
const MAX_CONFIRMED_CRASHES = 3;
/** The same where the minions may have been down before the starts, and none was alone with the task. */
const MAX_FRESH_CRASHES = 4;
/** The same for runs of any age where no machine is known to have failed. */
const MAX_BLAMED_CRASHES = 4;
/** The same for runs of any age where no machine is known to have failed and the minions may have been cut off. */
const MAX_UNCONFIRMED_CRASHES = 5;
/** Shortest trial in milliseconds. */
const MIN_TRIAL_MS = 500;
/** Length of a trial as a multiple of the age at which minions crashed before. */
const TRIAL_AGE_RATIO = 1.5;

/**
 * `clear`: starts like any other. `suspect`: its next start is a trial. `guilty`: a trial after a longer pause.
 */
export type TaskVerdict = 'clear' | 'guilty' | 'suspect';

/** Counts minions by their addresses: a minion may restart under another id. */
function countMinions(crashes: readonly TaskCrash[]): number {
  return new Set(crashes.map(({address}) => address)).size;
}

/** Counts starts; the members of a gang start under one number. */
function countStarts(crashes: readonly TaskCrash[]): number {
  return new Set(crashes.map(({run}) => run)).size;
}

/** Leaves out the crashes of minions that crash without the task too. */
function selectTelling(crashes: readonly TaskCrash[]): readonly TaskCrash[] {
  return crashes.filter(({evidence}) => evidence !== 'unstable');
}

function judgeByTrial(recorded: readonly TaskCrash[]): TaskVerdict {
  const crashes = selectTelling(recorded);
  const fresh = crashes.filter(({ageMs}) => ageMs < FRESH_RUN_MS);
  const blamed = crashes.filter(({evidence}) => evidence === 'alone' || evidence === 'shared');
  const alone = blamed.filter(({evidence}) => evidence === 'alone');
  const strong = blamed.filter((crash) => fresh.includes(crash) || alone.includes(crash));
  const isProven =
    alone.length > 0 &&
    (countMinions(strong) >= MIN_MINIONS || countStarts(blamed) >= MAX_SHARED_CRASHES);
  const isRepeated = countStarts(strong) >= MAX_SHARED_CRASHES;
  const isConfirmed = countMinions(blamed) >= MIN_MINIONS && countStarts(blamed) > 1;
  const confirmed = fresh.filter(({evidence}) => evidence !== 'unconfirmed');
  const maxFresh = alone.length > 0 ? MAX_CONFIRMED_CRASHES : MAX_FRESH_CRASHES;
  const isExhausted =
    countMinions(fresh) >= MIN_MINIONS &&
    (countStarts(confirmed) >= MAX_CONFIRMED_CRASHES || countStarts(fresh) >= maxFresh);
  const isOften = countStarts(blamed) >= MAX_BLAMED_CRASHES;
  const possible = crashes.filter(({evidence}) => evidence !== 'coincident');
  const isOverdue =
    countMinions(possible) >= MIN_MINIONS && countStarts(possible) >= MAX_UNCONFIRMED_CRASHES;
  if (isExhausted || isOverdue || (isConfirmed && (isProven || isRepeated || isOften))) {
    return 'guilty';
  }
  return isStronglySuspected(crashes) || countStarts(recorded) > 1 ? 'suspect' : 'clear';
}

/**
 * Judges a whole gang by the crashes under its young runs, whichever members they are under. Its
 * members are on many machines, so those that failed together count less than under one task.
 */
function judgeGang(crashes: readonly TaskCrash[]): TaskVerdict {
  const fresh = selectTelling(crashes).filter(({ageMs}) => ageMs < FRESH_RUN_MS);
  const blamed = fresh.filter(({evidence}) => evidence === 'alone' || evidence === 'shared');
  const isExhausted =
    countMinions(fresh) >= MIN_MINIONS &&
    (countStarts(blamed) >= MAX_SHARED_CRASHES || countStarts(fresh) >= MAX_FRESH_CRASHES);
  if (isExhausted) {
    return 'guilty';
  }
  return countStarts(crashes) > 0 ? 'suspect' : 'clear';
}

/** Whether a task needs a trial; others start without one when no minion is free for it. */
export function isStronglySuspected(crashes: readonly TaskCrash[]): boolean {
  return selectTelling(crashes).some(
    ({ageMs, evidence}) =>
      evidence === 'alone' || (ageMs < FRESH_RUN_MS && evidence !== 'coincident'),
  );
}

/** Ways of judging a task. */
export const CRASH_VERDICTS = {
  /** Baseline: a task is started as often as its minions crash. */
  acquit: (): TaskVerdict => 'clear',
  byGang: judgeGang,
  byTrial: judgeByTrial,
} satisfies Record<string, (crashes: readonly TaskCrash[]) => TaskVerdict>;

/**
 * Returns how long a run has to be live, in milliseconds, until its trial ends.
 *
 * @example
 * computeTrialMs([{address, ageMs: 800, evidence: 'shared', minion, run}]); // 1200
 */
export function computeTrialMs(crashes: readonly TaskCrash[]): number {
  const ageMs = Math.max(0, ...crashes.map((crash) => crash.ageMs));
  return Math.min(MAX_TRIAL_MS, Math.max(MIN_TRIAL_MS, ageMs * TRIAL_AGE_RATIO));
}

/** Returns the crashes that speak against a task: of a gang's member, those under all members. */
export function listCrashes({crashes, shape}: StepState, index: number): readonly TaskCrash[] {
  return shape.gang ? crashes.indexes.flatMap((each) => crashes.of(each)) : crashes.of(index);
}

/** Judges a task, and the gang that it belongs to. */
export function judgeTask(step: StepState, index: number): TaskVerdict {
  const verdict = CRASH_VERDICTS.byTrial(step.crashes.of(index));
  const isGangGuilty =
    step.shape.gang && CRASH_VERDICTS.byGang(listCrashes(step, index)) === 'guilty';
  return isGangGuilty ? 'guilty' : verdict;
}

/** Returns the time in milliseconds since the latest of the instants of a task, or of all members of its gang. */
function computeSince(
  {crashes, shape}: StepState,
  index: number,
  now: Instant,
  findInstant: (index: number) => Instant,
): number {
  const indexes = shape.gang ? crashes.indexes : [index];
  return now - Math.max(...indexes.map(findInstant));
}

/** Returns for how long a task, or its whole gang, has been idle: since the minion of the last crash fell silent. */
export function computeIdleMs(step: StepState, index: number, now: Instant): number {
  return computeSince(step, index, now, (each) =>
    step.crashes.idleSince(each, now, step.job.heldSince),
  );
}

/** Returns for how long a task, or its whole gang, has waited since the last crash under it. */
export function computeWaitedMs(step: StepState, index: number, now: Instant): number {
  return computeSince(step, index, now, (each) =>
    step.crashes.consideredAt(each, now, step.job.heldSince),
  );
}
