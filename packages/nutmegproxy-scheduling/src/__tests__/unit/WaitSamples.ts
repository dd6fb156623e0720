/** Faults, jobs and takeovers that a play draws, and what it checks of them. */

import type {Instant} from '@nutmegproxy/core';
import type {JobState, Run, StepShape, StepState} from '@nutmegproxy/jobs';

import {invariant} from '@nutmegproxy/core';

import type {SampleFleet} from './Samples.ts';

import {isReady} from '../../ReadySteps.ts';

/** A time in which runs fail or stand still on a minion. */
export interface DrawnFault {
  readonly atMs: number;
  readonly durationMs: number;
  /** Time from the start of a run to its failure; undefined where runs stand still. */
  readonly failsAfterMs: number | undefined;
  readonly minion: number;
}

export interface DrawnJob {
  readonly acceptedAtMs: number;
  readonly attempts: 2 | 3 | 4;
  readonly change: Partial<StepShape>;
  /** Time from the start of a run to its failure on any minion; undefined where only minions fail. */
  readonly failsAfterMs: number | undefined;
  readonly runMs: number;
}

/** An owner that takes over, and for how long its recovery waits. */
export interface DrawnTakeover {
  readonly atMs: number;
  readonly recoveryMs: number;
}

export interface DrawnPlay {
  readonly faults: readonly DrawnFault[];
  /** Whether owners pass on nothing of the trust in minions. */
  readonly forgetsTrust?: boolean;
  readonly jobs: readonly DrawnJob[];
  readonly minions: number;
  readonly takeovers: readonly DrawnTakeover[];
}

/** A time in which a job had free room and nothing of it ran. */
export interface MeasuredWait {
  readonly fromMs: number;
  readonly job: number;
  /** Longest part of a wait of the job from when work may be lost. */
  readonly lateMs: number;
  /** Reasons in the order in which they were first told. */
  readonly reasons: readonly string[];
  readonly waitedMs: number;
}

/** Returns when the last fault has ended, the last job has come and the last recovery is complete. */
export function findLastEvent({faults, jobs, takeovers}: DrawnPlay): number {
  return Math.max(
    0,
    ...faults.map(({atMs, durationMs}) => atMs + durationMs),
    ...jobs.map(({acceptedAtMs}) => acceptedAtMs),
    ...takeovers.map(({atMs, recoveryMs}) => atMs + recoveryMs),
  );
}

/** Checks that the task has an attempt left, and that a gang is whole. */
export function checkStart({step, task}: Run, {fleet}: SampleFleet): void {
  const {maxAttempts} = fleet.resolveQueuePolicy(step.job);
  const {gang, longRunning} = step.shape;
  invariant(
    longRunning || step.countPossibleFailures(task.index) < maxAttempts,
    'tests: a task starts after its last attempt',
  );
  invariant(step.runsOf(task.index).length === 1, 'tests: a task runs twice');
  invariant(!gang || step.waiting.size === 0, 'tests: a gang starts in parts');
}

/** Returns the first waiting task of a job of which nothing runs, or each that is to last and doesn't run. */
export function listWaiting(
  job: JobState,
): readonly {readonly index: number; readonly step: StepState}[] {
  const steps = job.occurrence(0) ?? [];
  const hasRuns = steps.some(({liveRuns}) => liveRuns > 0);
  const waiting = (job.isFinal ? [] : steps)
    .filter((step) => isReady(step, steps))
    .flatMap((step) => [...step.waiting].map((index) => ({index, step})));
  const lasting = waiting.filter(({step}) => step.shape.longRunning);
  return lasting.length > 0 || hasRuns ? lasting : waiting.slice(0, 1);
}

/** Gives a new owner what is stored of a job, and its runs as their minions list them. */
export function copyJob(former: JobState, job: JobState, {fleet}: SampleFleet, now: Instant): void {
  for (const [number, step] of (former.occurrence(0) ?? []).entries()) {
    const known = job.occurrence(0)?.[number];
    invariant(known !== undefined, 'tests: a job has lost a step');
    for (const index of step.done) {
      known.markDone(index);
    }
    for (const [index, failures] of step.failures) {
      known.failures.set(index, [...failures]);
    }
    for (const run of step.runs()) {
      const minion = fleet.minions.get(run.minion);
      invariant(minion !== undefined, 'tests: a minion has left');
      known.recordRunNumber(run.task.index, run.number);
      const adopted = fleet.adoptRun(known, {...run.task, job: job.id}, run.number, minion, now);
      adopted.percent = run.percent;
      adopted.knownFrom = 'listing';
    }
  }
}

/** A lasting job whose tasks fail at once, so that it takes each trial of a minion. */
export const FAILING_LASTING: DrawnJob = {
  acceptedAtMs: 0,
  attempts: 2,
  change: {count: 2, longRunning: true},
  failsAfterMs: 0,
  runMs: 100,
};
