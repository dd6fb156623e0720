/**
 * Decides who is to blame for the crash of a minion: its machine, or a task that it ran. Tasks that
 * crash their minion do so at the start or in the same phase of each run, while failures of machines
 * and racks end runs of any age, on several minions at once.
 */

import type {Instant, JobId, MinionId} from '@nutmegproxy/core';
import type {CrashEvidence, Run, RunNumber, StepState} from '@nutmegproxy/jobs';

/** Age in milliseconds below which a run is suspected of the crash of its minion. */
export const FRESH_RUN_MS = 500;
/** Age in milliseconds from which a run is not suspected, however often its minions crash. */
export const MAX_CRASH_AGE_MS = 10_000;
/** Longest trial in milliseconds. */
export const MAX_TRIAL_MS = 5_000;
/** Uncertainty in milliseconds of the times between which a minion failed. */
const OUTAGE_MARGIN_MS = 500;

/**
 * `outage`: several machines failed together. `planned`: the minion was draining. `unknown`: this
 * owner did not know its runs.
 */
export type CrashCause = 'machine' | 'outage' | 'planned' | 'task' | 'unknown';

/** A run on a minion that crashed. */
export interface ExposedRun {
  /** Time in milliseconds for which the run is known to have been live before the crash. */
  readonly ageMs: number;
  /** Whether it has passed a trial that was shorter than the longest one, and is not older than that. */
  readonly hasPassedTrial?: boolean;
  /** Whether it is tried, or belongs to a suspected task and started without a trial as long ago. */
  readonly isOnTrial: boolean;
  /** Whether the run is young enough, or on trial. */
  readonly isSuspect: boolean;
  readonly run: Run;
}

/** A run that had just started when a former owner found its minion silent. */
export interface FormerSuspect {
  readonly index: number;
  readonly number: RunNumber;
  readonly step: StepState;
}

/** Runs that had just started on a minion, in one incarnation of it, when its owner ended. */
export interface FormerSuspects {
  /** Start of the incarnation in Unix milliseconds. */
  readonly bornAt: number;
  /** The minion can't have left as planned before; undefined when the former owner found it silent. */
  readonly failsBefore?: Instant;
  readonly runs: readonly FormerSuspect[];
}

/** The failure of a minion, some time between its last response and its first missed call. */
export interface MinionOutage {
  readonly from: Instant;
  /** Whether a run on it was on trial, or had been a short time before. */
  readonly hasTrial: boolean;
  readonly minion: MinionId;
  /** Jobs of the runs that may be to blame. */
  readonly suspectJobs: ReadonlySet<JobId>;
  readonly until: Instant;
}

/** Runs to record a crash of, and how strongly it speaks against them. */
export interface CrashAttribution {
  readonly cause: CrashCause;
  readonly evidence: CrashEvidence;
  readonly recorded: readonly ExposedRun[];
}

export interface CrashInputs {
  /** Whether the minion has reported its runs to this owner. */
  readonly areRunsKnown: boolean;
  readonly exposed: readonly ExposedRun[];
  readonly isDraining: boolean;
  /** Outages of other minions at the same time. */
  readonly others: readonly MinionOutage[];
}

/** What is known of a run when its age is computed. */
export type RunTimes = Pick<Run, 'confirmedAt' | 'number'>;

/**
 * Returns for how long a run is known to have been live when its minion last responded. The age of
 * a former owner's run is not known, and it was live when this owner first saw it.
 *
 * @example
 * computeProvenAge({confirmedAt: 1_000, number: 1}, {provenAt: 1_400, runNumberBase: 1}); // 400
 */
export function computeProvenAge(
  {confirmedAt, number}: RunTimes,
  {provenAt, runNumberBase}: {readonly provenAt: Instant; readonly runNumberBase: number},
): number {
  const ageMs = Math.max(0, Math.round(provenAt - (confirmedAt ?? provenAt)));
  return number < runNumberBase ? Math.max(ageMs, FRESH_RUN_MS) : ageMs;
}

/** Whether two minions may have failed at the same time. */
export function isSimultaneous(
  one: Pick<MinionOutage, 'from' | 'until'>,
  other: Pick<MinionOutage, 'from' | 'until'>,
): boolean {
  return one.from <= other.until + OUTAGE_MARGIN_MS && other.from <= one.until + OUTAGE_MARGIN_MS;
}

/**
 * Whether a minion that failed at an instant, undefined while it has not, must have crashed. One that fails later
 * may have drained and left while nobody owned the fleet.
 */
export function hasFailedInTime(
  {failsBefore = Infinity as Instant}: Pick<FormerSuspects, 'failsBefore'>,
  failedAt: Instant | undefined,
): boolean {
  return failsBefore === Infinity || (failedAt !== undefined && failedAt < failsBefore);
}

/** Returns the jobs of runs. */
export function listJobs(exposed: readonly ExposedRun[]): ReadonlySet<JobId> {
  return new Set(exposed.map(({run}) => run.task.job));
}

/** Whether one of the runs is on trial, or was a short time before. */
export function hasTrial(exposed: readonly ExposedRun[]): boolean {
  return exposed.some(({hasPassedTrial, isOnTrial}) => isOnTrial || hasPassedTrial === true);
}

/**
 * Returns the other outages that may show that machines failed together. Tasks that are suspected at the
 * same time crash their minions at the same time again, so one trial says nothing of another.
 */
function selectTelling(
  exposed: readonly ExposedRun[],
  others: readonly MinionOutage[],
): readonly MinionOutage[] {
  return hasTrial(exposed) ? others.filter((other) => !other.hasTrial) : others;
}

/** Whether no job can be to blame for all outages, so that the machines failed together. */
function haveDifferentCauses(
  suspects: readonly ExposedRun[],
  others: readonly MinionOutage[],
): boolean {
  return ![...listJobs(suspects)].some((job) =>
    others.every(({suspectJobs}) => suspectJobs.has(job)),
  );
}

/** Blames young runs, unless other minions failed at the same time without a run of the same job. */
function attributeByExposure(inputs: CrashInputs): CrashAttribution {
  const {areRunsKnown, exposed, isDraining, others} = inputs;
  const suspects = exposed.filter(({isSuspect}) => isSuspect);
  if (isDraining) {
    return {cause: 'planned', evidence: 'coincident', recorded: []};
  }
  if (suspects.length === 0 && !areRunsKnown) {
    return {cause: 'unknown', evidence: 'coincident', recorded: []};
  }
  if (suspects.length === 0 && others.length > 0 && selectTelling(exposed, others).length === 0) {
    // Their trials were too short for tasks that now crash their minions later, and together.
    const passed = exposed.filter(({hasPassedTrial}) => hasPassedTrial);
    return {cause: 'task', evidence: 'shared', recorded: passed};
  }
  if (suspects.length === 0) {
    // A task that crashes its minion late in its run is only found by the next crash under it.
    const recorded = exposed.filter(({ageMs}) => ageMs < MAX_CRASH_AGE_MS);
    return others.length === 0
      ? {cause: 'machine', evidence: 'shared', recorded}
      : {
          cause: 'machine',
          evidence: 'coincident',
          recorded: recorded.filter(({run}) => !run.step.shape.longRunning),
        };
  }
  if (haveDifferentCauses(suspects, selectTelling(exposed, others))) {
    return {cause: 'outage', evidence: 'coincident', recorded: suspects};
  }
  const evidence = listJobs(exposed).size === 1 ? 'alone' : 'shared';
  // A task that has passed its trial may be to blame rather than one that has just started beside it.
  const recorded = exposed.filter(
    ({hasPassedTrial, isSuspect}) => isSuspect || hasPassedTrial === true,
  );
  return {cause: 'task', evidence, recorded};
}

/** Ways of attributing the crash of a minion. */
export const CRASH_ATTRIBUTIONS = {
  byExposure: attributeByExposure,
  /** Baseline: no crash counts against a task. */
  byMachine: ({isDraining}): CrashAttribution => ({
    cause: isDraining ? 'planned' : 'machine',
    evidence: 'coincident',
    recorded: [],
  }),
} satisfies Record<string, (inputs: CrashInputs) => CrashAttribution>;
