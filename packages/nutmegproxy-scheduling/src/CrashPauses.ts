/**
 * Decides for how long a task waits after crashes of minions under it. Crashes alone never end a job: minions
 * crash by chance too, and under tasks that run again each time however many crashes are seen. So a task that
 * crashes minions is started ever less often, but only where chance is no likely cause of its crashes.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepState, TaskCrash} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {CrashRates} from './OutageLog.ts';

import {CRASH_VERDICTS, listCrashes} from './CrashVerdict.ts';

/** Time in milliseconds for which a run may have been live at most after its minion last responded. */
const AGE_MARGIN_MS = 300;
/** The same where it is not known when the minion crashed. */
const UNCONFIRMED_MARGIN_MS = 1_500;
/** Least probability that a run is not to blame for a crash for which others may be to blame. */
const MIN_SHARED_CHANCE = 0.03;
/** Probability of the crashes by chance from which on a task is restrained. */
const MAX_CHANCE = 3e-4;
/** Crashes under a task that is not restrained, from which on its trials have pauses before them. */
const MIN_PAUSED_CRASHES = 3;
/** What each of these crashes adds to the pause, and the longest pause, in milliseconds. */
const TRIAL_PAUSE_MS = 1_000;
const MAX_TRIAL_PAUSE_MS = 3_000;
/** The pause in milliseconds where crashes under the task are many, but may be due to chance. */
const GUILTY_PAUSE_MS = 5_000;
/** Pauses in milliseconds after two crashes and more under a restrained task. */
const RESTRAINED_PAUSES_MS = [4_000, 8_000, 20_000, 120_000];
const LONGEST_PAUSE_MS = 300_000;

/** When a task may start again after crashes under it. */
export interface CrashPause {
  /** Whether chance is no likely cause of its crashes, so that it starts only alone and ever less often. */
  readonly isRestrained: boolean;
  /** Time in milliseconds from the last crash. */
  readonly pauseMs: number;
}

/** Knows how often minions crash, and which crashes other tasks may have caused. */
export interface CrashContext {
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

/** Returns the pause after crashes of which chance is no likely cause; undefined after others. */
function findRestraint(
  crashes: readonly TaskCrash[],
  context: CrashContext,
  members: number,
): number | undefined {
  // The members of a gang start under one number, and one of them is enough to end all.
  const starts = new Map<number, number>();
  for (const crash of crashes.filter(({evidence}) => evidence !== 'unstable')) {
    const chance = computeChance(crash, context, members);
    starts.set(crash.run, Math.min(chance, starts.get(crash.run) ?? 1));
  }
  if (starts.size < 2 || combineChances([...starts.values()]) > MAX_CHANCE) {
    return undefined;
  }
  return RESTRAINED_PAUSES_MS[starts.size - 2] ?? LONGEST_PAUSE_MS;
}

/**
 * Returns how long a task waits before its next trial. Minions that fail by themselves are likely to do
 * so meanwhile, and a task that crashes them does it less often.
 *
 * @example
 * computeCrashPause(step.crashes.of(index), {isSoleSuspect, rates}); // {isRestrained: true, pauseMs: 4_000}
 */
export function computeCrashPause(
  crashes: readonly TaskCrash[],
  context: CrashContext,
): CrashPause {
  const restraintMs = findRestraint(crashes, context, 1);
  if (restraintMs !== undefined) {
    return {isRestrained: true, pauseMs: restraintMs};
  }
  const paused = Math.max(0, crashes.length - MIN_PAUSED_CRASHES + 1);
  const isGuilty = CRASH_VERDICTS.byTrial(crashes) === 'guilty';
  const suspectMs = Math.min(MAX_TRIAL_PAUSE_MS, paused * TRIAL_PAUSE_MS);
  return {isRestrained: false, pauseMs: isGuilty ? GUILTY_PAUSE_MS : suspectMs};
}

/** Returns the pause of a task, or of its whole gang. */
export function findCrashPause(
  {crashSuspects, minions, outages}: Fleet,
  step: StepState,
  index: number,
  now: Instant,
): CrashPause {
  const {crashes, shape} = step;
  const context: CrashContext = {
    isSoleSuspect: (crash) =>
      (crashSuspects.get(crash) ?? (crash.evidence === 'alone' ? 1 : Infinity)) === 1,
    rates: outages.measureRates({index, step}, minions.size, now),
  };
  if (!shape.gang) {
    return computeCrashPause(crashes.of(index), context);
  }
  const pooledMs = findRestraint(listCrashes(step, index), context, shape.count) ?? 0;
  const membersMs = crashes.indexes.map((each) => findRestraint(crashes.of(each), context, 1) ?? 0);
  const pauseMs = Math.max(pooledMs, ...membersMs);
  return {isRestrained: pauseMs > 0, pauseMs};
}
