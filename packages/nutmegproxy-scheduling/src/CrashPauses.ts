/**
 * Decides for how long a task waits after crashes of minions under it. Crashes alone never end a job: minions
 * crash by chance too, and under tasks that run again each time however many crashes are seen. So a task that
 * crashes minions waits longer between its starts where chance is no likely cause of its crashes, but no longer than
 * callers do, and for minutes where chance is excluded.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepState, TaskCrash} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {CrashRates} from './OutageLog.ts';

import {computeWaitedMs, CRASH_VERDICTS} from './CrashVerdict.ts';
import {deriveMaxWait} from './PendingBounds.ts';
import {DEADLY_HOLD_MS, MAX_TRIAL_DELAY_MS} from './TrialPacing.ts';

/** Time in milliseconds for which a run may have been live at most after its minion last responded. */
const AGE_MARGIN_MS = 300;
/** The same where it is not known when the minion crashed. */
const UNCONFIRMED_MARGIN_MS = 1_500;
/** Least probability that a run is not to blame for a crash for which others may be to blame. */
const MIN_SHARED_CHANCE = 0.03;
/** Starts with crashes, and the probability of these by chance, from which on a task is restrained. */
const MIN_RESTRAINED_STARTS = 2;
const MAX_CHANCE = 3e-4;
/** Crashes under a task that is not restrained, from which on its trials have pauses before them. */
const MIN_PAUSED_CRASHES = 3;
/** What each of these crashes adds to the pause, and the longest pause, in milliseconds. */
const TRIAL_PAUSE_MS = 1_000;
const MAX_TRIAL_PAUSE_MS = 3_000;
/** The pause in milliseconds where crashes under the task are many, but may be due to chance. */
const GUILTY_PAUSE_MS = 5_000;
/** The pause in milliseconds after two crashes under a restrained task; after more it is the longest. */
const FIRST_RESTRAINT_MS = 4_000;
/** Time in milliseconds from the longest pause until a restrained task starts on any minion. */
const RESTRAINED_TRIAL_WAIT_MS = 1_000;
/** The same from then on to the end of the bound, for planning. */
const PLANNING_MARGIN_MS = 2_000;
/** Starts with crashes, and the probability of these by chance, from which on a task is deadly; at several addresses. */
const DEADLY_LEVELS = [
  {maxChance: 1e-5, starts: 4},
  {maxChance: 3e-4, starts: 5},
];
const MIN_DEADLY_ADDRESSES = 2;

/** When a task may start again after crashes under it. */
export interface CrashPause {
  /** Whether chance is excluded as the cause of its crashes, so that it does not start while that is so. */
  readonly isDeadly: boolean;
  /** Whether chance is no likely cause of its crashes, so that it starts only alone and after longer pauses. */
  readonly isRestrained: boolean;
  /** Time in milliseconds from the last crash after which it starts on any minion, unless it is deadly. */
  readonly overdueMs: number;
  /** Time in milliseconds from the last crash. */
  readonly pauseMs: number;
}

/** Knows how often minions crash, and which crashes other tasks may have caused. */
export interface CrashContext {
  /** Time in milliseconds in which accepted work with free room has to run; absent for its default. */
  readonly finishMs?: number | undefined;
  readonly isLasting: boolean;
  /** Whether the run of the task is the only one that may be to blame. */
  readonly isSoleSuspect: (crash: TaskCrash) => boolean;
  readonly rates: CrashRates;
}

/** Returns the probability that a task is not to blame for a crash of its minion, at most 1. */
function computeChance(
  crash: TaskCrash,
  {isSoleSuspect, rates}: CrashContext,
  members: number,
): number {
  const {ageMs, evidence} = crash;
  const marginMs = evidence === 'unconfirmed' ? UNCONFIRMED_MARGIN_MS : AGE_MARGIN_MS;
  const perMs = evidence === 'coincident' ? rates.perFleet : rates.perMinion * members;
  const leastChance = isSoleSuspect(crash) ? 0 : MIN_SHARED_CHANCE;
  return Math.min(1, Math.max(leastChance, perMs * (ageMs + marginMs)));
}

/**
 * Returns the probability that a product of independent probabilities is as low by chance (Fisher's method).
 *
 * @example
 * combineChances([0.05, 0.05]); // 0.017
 */
export function combineChances(chances: readonly number[]): number {
  const sum = chances.reduce((total, chance) => total - Math.log(chance), 0);
  let term = Math.exp(-sum);
  let probability = 0;
  for (let number = 1; number <= chances.length; number += 1) {
    probability += term;
    term *= sum / number;
  }
  return probability;
}

/** How little chance explains crashes. */
type Suspicion = 'deadly' | 'explained' | 'restrained';

interface CrashWeight {
  /** Probability of all crashes by chance. */
  readonly chance: number;
  /** Number of starts that ended so. */
  readonly starts: number;
}

/** Returns the probability by chance of the crashes under a task, or under the members of a gang. */
function weighCrashes(
  crashes: readonly TaskCrash[],
  context: CrashContext,
  members: number,
): CrashWeight {
  // The members of a gang start under one number, and one of them is enough to end all.
  const chances = new Map<number, number>();
  for (const crash of crashes) {
    const chance = computeChance(crash, context, members);
    chances.set(crash.run, Math.min(chance, chances.get(crash.run) ?? 1));
  }
  return {chance: combineChances([...chances.values()]), starts: chances.size};
}

/** Returns how little chance explains crashes. */
function judgeChance(
  crashes: readonly TaskCrash[],
  context: CrashContext,
  members: number,
): {readonly starts: number; readonly suspicion: Suspicion} {
  const counted = crashes.filter(({evidence}) => evidence !== 'unstable');
  const {chance, starts} = weighCrashes(counted, context, members);
  const addresses = new Set(counted.map(({address}) => address)).size;
  const isDeadly = DEADLY_LEVELS.some(
    (level) => starts >= level.starts && chance <= level.maxChance,
  );
  if (isDeadly && addresses >= MIN_DEADLY_ADDRESSES) {
    return {starts, suspicion: 'deadly'};
  }
  const isRestrained = starts >= MIN_RESTRAINED_STARTS && chance <= MAX_CHANCE;
  return {starts, suspicion: isRestrained ? 'restrained' : 'explained'};
}

/**
 * Returns the bounds of a restrained task, which is a preference: the time from the last crash to the start
 * ends before callers count the work as lost. Lasting tasks are missed sooner, so they wait no longer than other suspects.
 */
function describeRestraint(
  {finishMs, isLasting}: CrashContext,
  {starts, suspicion}: ReturnType<typeof judgeChance>,
): CrashPause {
  const overdueMs = isLasting
    ? MAX_TRIAL_DELAY_MS
    : Math.max(MAX_TRIAL_DELAY_MS, deriveMaxWait({finishMs}) - PLANNING_MARGIN_MS);
  const longestMs = isLasting ? GUILTY_PAUSE_MS : overdueMs - RESTRAINED_TRIAL_WAIT_MS;
  const pauseMs = starts > MIN_RESTRAINED_STARTS ? longestMs : FIRST_RESTRAINT_MS;
  return {isDeadly: suspicion === 'deadly', isRestrained: true, overdueMs, pauseMs};
}

/**
 * Returns how long a task waits before its next trial. Minions that fail by themselves are likely to do
 * so meanwhile, and a task that crashes them does it less often.
 *
 * @example
 * computeCrashPause(step.crashes.of(index), {isLasting: false, isSoleSuspect, rates}).pauseMs; // 4_000
 */
export function computeCrashPause(
  crashes: readonly TaskCrash[],
  context: CrashContext,
): CrashPause {
  const weight = judgeChance(crashes, context, 1);
  if (weight.suspicion !== 'explained') {
    return describeRestraint(context, weight);
  }
  const paused = Math.max(0, crashes.length - MIN_PAUSED_CRASHES + 1);
  const isGuilty = CRASH_VERDICTS.byTrial(crashes) === 'guilty';
  const suspectMs = Math.min(MAX_TRIAL_PAUSE_MS, paused * TRIAL_PAUSE_MS);
  const pauseMs = isGuilty ? GUILTY_PAUSE_MS : suspectMs;
  return {isDeadly: false, isRestrained: false, overdueMs: MAX_TRIAL_DELAY_MS, pauseMs};
}

/** Returns the pause of a gang, which the crashes under all members or under one of them may speak for. */
function computeGangPause({crashes, shape}: StepState, context: CrashContext): CrashPause {
  const all = crashes.indexes.flatMap((each) => crashes.of(each));
  const weights = [
    judgeChance(all, context, shape.count),
    ...crashes.indexes.map((each) => judgeChance(crashes.of(each), context, 1)),
  ].filter(({suspicion}) => suspicion !== 'explained');
  const pauses = weights.map((weight) => describeRestraint(context, weight));
  return pauses.reduce(
    (longest, each) => ({
      isDeadly: longest.isDeadly || each.isDeadly,
      isRestrained: true,
      overdueMs: Math.max(longest.overdueMs, each.overdueMs),
      pauseMs: Math.max(longest.pauseMs, each.pauseMs),
    }),
    {isDeadly: false, isRestrained: false, overdueMs: MAX_TRIAL_DELAY_MS, pauseMs: 0},
  );
}

/** Returns the pause of a task, or of its whole gang. */
export function findCrashPause(
  {crashSuspects, finishMs, minions, outages}: Fleet,
  step: StepState,
  index: number,
  now: Instant,
): CrashPause {
  const {crashes, shape} = step;
  const context: CrashContext = {
    finishMs,
    isLasting: shape.longRunning,
    isSoleSuspect: (crash) =>
      (crashSuspects.get(crash) ?? (crash.evidence === 'alone' ? 1 : Infinity)) === 1,
    rates: outages.measureRates({index, step}, minions.size, now),
  };
  const pause = shape.gang
    ? computeGangPause(step, context)
    : computeCrashPause(crashes.of(index), context);
  return pause.isDeadly && computeWaitedMs(step, index, now) >= DEADLY_HOLD_MS
    ? {...pause, isDeadly: false}
    : pause;
}
