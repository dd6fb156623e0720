/** Plays backfill beside serving tasks whose tail latencies follow a load, and measures runs, waits and harm. */

import type {JobState, Run} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

import type {MinionState} from '../../MinionState.ts';

import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const TICK_MS = 100;
/** Age of a reported tail latency, and the time between two reports of a minion that is near its target. */
const REPORT_AGE_MS = 500;
const REPORT_INTERVAL_MS = 300;
/** Duration of a stop, in which its run works on. */
const STOP_MS = 300;
/** Time over which a tail latency is measured: a shorter gap between two runs of backfill does not end its harm. */
const TAIL_WINDOW_MS = 500;
const RESTORE_MS = 600;
const TARGET_MS = 50;
const IDLE_MS = 10;
const MAX_UTILIZATION = 0.98;
/** Time after the last job from which one counts as lost of which nothing runs, as the users specify. */
const FINISH_MS = 14_000;
const FULL_PERCENT = 100;

export interface BackfillPlay {
  readonly checkpoints: boolean;
  readonly jobs: number;
  /** Load of the serving tasks, as a share of what they can serve; they are over their target from 0.8 on. */
  readonly load: (nowMs: number) => number;
  readonly minions: number;
  /** Time between two owners, of which each knows only what minions report to it; by default there is one. */
  readonly ownerMs?: number;
  readonly playMs: number;
  /** How much a backfill task adds to the utilization of a serving task beside it, as a share of it. */
  readonly pressure: number;
  readonly reportIntervalMs?: number;
  /** Whether all serving tasks are of one step. */
  readonly sharesLoad?: boolean;
  /** Load of the first minion's serving task relative to the others, as of a slow one. */
  readonly slowness?: number;
  readonly stopMs?: number;
  readonly tasks?: number;
  readonly workMs: number;
}

export interface PlayedBackfill {
  /** Time in seconds, summed over serving tasks, that they were over their target and would not have been alone. */
  readonly causedS: number;
  /** When each job ended; Infinity where it has not. */
  readonly endedMs: readonly number[];
  /** Longest time on end for which backfill kept a serving task over its target. */
  readonly longestHarmMs: number;
  /** Longest time on end for which nothing of a job ran, counted from when work may be lost. */
  readonly longestIdleMs: number;
  /** The same where gaps that are shorter than the time over which a tail latency is measured do not end it. */
  readonly longestMeasuredHarmMs: number;
  /** Most runs at once on a minion that were started as they were overdue. */
  readonly mostTolerated: number;
  /** Time in seconds, summed over serving tasks, that they were over their target. */
  readonly overTargetS: number;
  /** When each job first started; Infinity where it has not. */
  readonly startedMs: readonly number[];
  readonly starts: number;
}

interface WorkingRun {
  readonly run: Run;
  stopsAtMs: number;
  workedMs: number;
}

function toTailMs(utilization: number): number {
  return IDLE_MS / (1 - Math.min(MAX_UTILIZATION, utilization));
}

function toTaskKey({task}: Pick<Run, 'task'>): string {
  return `${task.job}.${task.index}`;
}

class Play {
  readonly #drawn: BackfillPlay;
  readonly #endedMs = new Map<JobState, number>();
  readonly #harmMs = new Map<MinionState, number>();
  readonly #idleMs = new Map<JobState, number>();
  readonly #jobs: JobState[] = [];
  readonly #gapMs = new Map<MinionState, number>();
  readonly #measuredHarmMs = new Map<MinionState, number>();
  #policy: SharingPolicy;
  readonly #sample = new SampleFleet(0);
  readonly #saved = new Map<string, number>();
  readonly #serving = new Map<MinionState, Run>();
  readonly #startedMs = new Map<JobState, number>();
  /** Tail latencies by time, of which reports show the former ones. */
  readonly #tails = new Map<MinionState, number[]>();
  readonly #working = new Map<Run, WorkingRun>();
  readonly #result = {
    causedS: 0,
    longestHarmMs: 0,
    longestIdleMs: 0,
    longestMeasuredHarmMs: 0,
    mostTolerated: 0,
    overTargetS: 0,
    starts: 0,
  };

  constructor(drawn: BackfillPlay) {
    this.#drawn = drawn;
    this.#policy = this.#createPolicy();
    this.#addServing();
    for (let job = 0; job < drawn.jobs; job += 1) {
      const {checkpoints, tasks: count = 1, workMs} = drawn;
      this.#jobs.push(
        this.#sample.addJob('proofs', [
          shape({checkpoints, count, estimateMs: workMs, fillsSpareCpu: true, image: 'noisy'}),
        ]),
      );
    }
  }

  play(): PlayedBackfill {
    const {
      ownerMs = Infinity,
      playMs,
      reportIntervalMs = REPORT_INTERVAL_MS,
      stopMs = STOP_MS,
    } = this.#drawn;
    for (let now = 0; now <= playMs; now += TICK_MS) {
      if (now > 0 && now % ownerMs === 0) {
        this.#takeOver(now);
      }
      this.#work(now);
      this.#measure(now);
      if (now % reportIntervalMs === 0) {
        this.#report(now);
      }
      for (const minion of this.#serving.keys()) {
        this.#policy.evictExpiredRuns(this.#sample.fleet, minion, at(now));
      }
      for (const run of this.#sample.plan(now, this.#policy)) {
        this.#start(run, now);
      }
      for (const {number, task} of this.#sample.fleet.pendingStops.splice(0)) {
        for (const working of this.#working.values()) {
          const {run} = working;
          if (toTaskKey(run) === toTaskKey({task}) && run.number === number) {
            working.stopsAtMs = Math.min(working.stopsAtMs, now + stopMs);
          }
        }
      }
    }
    return {
      ...this.#result,
      endedMs: this.#jobs.map((job) => this.#endedMs.get(job) ?? Infinity),
      startedMs: this.#jobs.map((job) => this.#startedMs.get(job) ?? Infinity),
    };
  }

  #createPolicy(): SharingPolicy {
    return new SharingPolicy(this.#sample.estimator, DEFAULT_PLATFORM_BOUNDS);
  }

  /** Replaces the owner: the next one does not know which runs are in a turn, and reads all reports before it starts any. */
  #takeOver(now: number): void {
    this.#policy = this.#createPolicy();
    for (const run of this.#working.keys()) {
      run.isAdopted = true;
      delete run.toleratedSince;
    }
    this.#report(now);
  }

  #addServing(): void {
    const {minions, sharesLoad = true} = this.#drawn;
    const serving = shape({
      count: sharesLoad ? minions : 1,
      image: 'shop',
      longRunning: true,
      maxPerMinion: 1,
      tailTargetMs: TARGET_MS,
    });
    const jobs = Array.from({length: sharesLoad ? 1 : minions}, () =>
      this.#sample.addJob('proofs', [serving]),
    );
    for (let number = 0; number < minions; number += 1) {
      const minion = this.#sample.addMinion(`m${number}`);
      const [step] = jobs[sharesLoad ? 0 : number]?.occurrence(0) ?? [];
      const [index] = step?.waiting ?? [];
      if (step !== undefined && index !== undefined) {
        const run = this.#sample.fleet.startRun(step, index, minion, at(0));
        Object.assign(run, {confirmedAt: at(0), percent: FULL_PERCENT, phase: 'running'});
        this.#serving.set(minion, run);
      }
    }
  }

  #countBackfill(minion: MinionState): number {
    return [...this.#working.keys()].filter((run) => run.minion === minion.id).length;
  }

  #start(run: Run, now: number): void {
    const {job} = run.step;
    run.phase = 'running';
    run.confirmedAt = at(now);
    run.reading = run.step.shape.resources.cpuMilli;
    const savedMs = this.#saved.get(toTaskKey(run)) ?? 0;
    const workedMs = savedMs - (savedMs > 0 ? RESTORE_MS : 0);
    this.#working.set(run, {run, stopsAtMs: Infinity, workedMs});
    this.#result.starts += 1;
    this.#startedMs.set(job, this.#startedMs.get(job) ?? now);
  }

  #work(now: number): void {
    const {checkpoints, workMs} = this.#drawn;
    for (const working of [...this.#working.values()]) {
      const {run, stopsAtMs} = working;
      const {step} = run;
      working.workedMs += TICK_MS;
      const isDone = working.workedMs >= workMs;
      if (isDone && step.done.size === step.shape.count - 1) {
        this.#endedMs.set(step.job, now);
      } else if (!isDone && now < stopsAtMs) {
        continue;
      }
      this.#working.delete(run);
      const key = toTaskKey(run);
      this.#saved.set(key, checkpoints ? Math.max(working.workedMs, this.#saved.get(key) ?? 0) : 0);
      this.#sample.fleet.finishRun(run, isDone ? 'done' : 'stopped', undefined, at(now));
    }
  }

  #measure(now: number): void {
    const {pressure, slowness = 1} = this.#drawn;
    const [first] = this.#serving.keys();
    for (const minion of this.#serving.keys()) {
      const load = this.#drawn.load(now) * (minion === first ? slowness : 1);
      const backfill = this.#countBackfill(minion);
      const tails = this.#tails.get(minion) ?? [];
      const tailMs = toTailMs(load * (1 + pressure * backfill));
      this.#tails.set(minion, [...tails, tailMs]);
      const isOver = tailMs > TARGET_MS;
      const isCaused = isOver && toTailMs(load) <= TARGET_MS && backfill > 0;
      const harmMs = isCaused ? (this.#harmMs.get(minion) ?? 0) + TICK_MS : 0;
      this.#harmMs.set(minion, harmMs);
      this.#measureInWindow(minion, {isCaused, isOverAlone: toTailMs(load) > TARGET_MS});
      this.#result.overTargetS += isOver ? TICK_MS / 1_000 : 0;
      this.#result.causedS += isCaused ? TICK_MS / 1_000 : 0;
      this.#result.longestHarmMs = Math.max(this.#result.longestHarmMs, harmMs);
      const tolerated = [...minion.runs].filter((run) => run.toleratedSince !== undefined).length;
      this.#result.mostTolerated = Math.max(this.#result.mostTolerated, tolerated);
    }
    for (const job of now < FINISH_MS ? [] : this.#jobs) {
      const isIdle = !this.#endedMs.has(job) && !job.hasLiveRuns;
      const idleMs = isIdle ? (this.#idleMs.get(job) ?? 0) + TICK_MS : 0;
      this.#idleMs.set(job, idleMs);
      this.#result.longestIdleMs = Math.max(this.#result.longestIdleMs, idleMs);
    }
  }

  #measureInWindow(
    minion: MinionState,
    {isCaused, isOverAlone}: {readonly isCaused: boolean; readonly isOverAlone: boolean},
  ): void {
    const gapMs = isCaused ? 0 : (this.#gapMs.get(minion) ?? 0) + TICK_MS;
    this.#gapMs.set(minion, gapMs);
    const formerMs = isOverAlone || gapMs >= TAIL_WINDOW_MS ? 0 : this.#measuredHarmMs.get(minion);
    const harmMs = isCaused || (formerMs ?? 0) > 0 ? (formerMs ?? 0) + TICK_MS : 0;
    this.#measuredHarmMs.set(minion, harmMs);
    const longestMs = Math.max(this.#result.longestMeasuredHarmMs, harmMs - gapMs);
    this.#result.longestMeasuredHarmMs = longestMs;
  }

  #reportProgress(minion: MinionState): void {
    for (const {run, workedMs} of this.#working.values()) {
      if (run.minion === minion.id) {
        run.percent = Math.floor((FULL_PERCENT * workedMs) / this.#drawn.workMs);
      }
    }
  }

  #report(now: number): void {
    for (const [minion, run] of this.#serving) {
      const tails = this.#tails.get(minion) ?? [];
      run.reading = tails[Math.max(0, tails.length - 1 - REPORT_AGE_MS / TICK_MS)];
      this.#reportProgress(minion);
      this.#policy.model.observe(minion, at(now));
      this.#policy.evictInterferingRuns(this.#sample.fleet, minion, at(now));
    }
  }
}

/**
 * @example
 * playBackfill({checkpoints: true, jobs: 1, load: () => 0.9, minions: 2, playMs: 45_000, pressure: 0.5, workMs: 2_700});
 */
export function playBackfill(drawn: BackfillPlay): PlayedBackfill {
  return new Play(drawn).play();
}
