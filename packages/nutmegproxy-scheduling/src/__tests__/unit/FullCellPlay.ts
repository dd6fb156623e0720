/**
 * Plays a cell that is full of lasting tasks, backfill and short work, and of which a minion leaves. It measures
 * for how long interrupted tasks wait while a minion has room for them.
 */

import type {JobState, Run, StepState} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS, invariant} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';

import type {MinionState} from '../../MinionState.ts';

import {isInterruptedTask} from '../../InterruptedTaskStarts.ts';
import {findUnavailability} from '../../MinionAvailability.ts';
import {meetsConstraints} from '../../Placement.ts';
import {SharingPolicy} from '../../SharingPolicy.ts';
import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const TICK_MS = 100;
const PLAY_MS = 40_000;
/** When a minion says that it leaves, and when it has left. */
const DRAINS_AT_MS = 8_000;
const LEAVES_AT_MS = 12_000;
/** Duration of a stop, in which its run works on. */
const STOP_MS = 300;
const PROGRESS_OF_LASTING = 100;

export interface FullCell {
  /** Memory in MB of each backfill task. */
  readonly backfillMb: number;
  /** Backfill jobs that are there from the start. */
  readonly backfills: number;
  readonly minions: number;
  readonly random: () => number;
  /** Short jobs that arrive in a second. */
  readonly shortPerS: number;
  /** Priority of the short jobs; lasting ones have 0. */
  readonly shortPriority: number;
}

export interface PlayedFullCell {
  readonly interrupted: number;
  /** Longest time in milliseconds on end that an interrupted task waited beside a minion with room, and its name. */
  readonly longest: {readonly ms: number; readonly task: string};
}

/** Work and end of a run. */
interface PlayedRun {
  endsAtMs: number;
}

class Play {
  readonly #drawn: FullCell;
  #interrupted = new Set<string>();
  #leaving: MinionState | undefined;
  #longest = {ms: 0, task: ''};
  readonly #policy: SharingPolicy;
  readonly #runs = new Map<Run, PlayedRun>();
  readonly #sample: SampleFleet;
  /** Since when each waiting task that was interrupted had room on some minion. */
  #since = new Map<string, number>();

  constructor(drawn: FullCell) {
    this.#drawn = drawn;
    this.#sample = new SampleFleet(0, [
      queue('lasting'),
      queue('short', {priority: drawn.shortPriority}),
      queue('backfill', {priority: 1}),
    ]);
    this.#policy = new SharingPolicy(this.#sample.estimator, DEFAULT_PLATFORM_BOUNDS);
    for (let number = 0; number < drawn.minions; number += 1) {
      this.#sample.addMinion(`m${number}`, {
        capacity: {cpuMilli: this.#draw(16, 24) * 1_000, gpus: 0, memoryMb: 64_000},
      });
    }
  }

  play(): PlayedFullCell {
    this.#submitLasting();
    for (let now = 0; now <= PLAY_MS; now += TICK_MS) {
      this.#submitOthers(now);
      this.#changeMinions(now);
      this.#endRuns(now);
      for (const run of this.#sample.plan(now, this.#policy)) {
        this.#begin(run, now);
      }
      for (const {number, task} of this.#sample.fleet.pendingStops.splice(0)) {
        const found = [...this.#runs].find(
          ([run]) => run.number === number && formatTaskName(run.task) === formatTaskName(task),
        );
        if (found !== undefined) {
          found[1].endsAtMs = Math.min(found[1].endsAtMs, now + STOP_MS);
        }
      }
      this.#measure(now);
    }
    return {interrupted: this.#interrupted.size, longest: this.#longest};
  }

  #draw(from: number, to: number): number {
    return from + Math.floor(this.#drawn.random() * (to - from + 1));
  }

  /** Submits more lasting work than the cell takes. */
  #submitLasting(): void {
    for (let job = 0; job < this.#drawn.minions; job += 1) {
      const resources = {
        cpuMilli: this.#draw(24, 51) * 100,
        gpus: 0,
        memoryMb: this.#draw(3, 10) * 1_000,
      };
      const count = this.#draw(1, 12);
      this.#sample.addJob('lasting', [
        shape({count, longRunning: true, resources, tailTargetMs: 1_000}),
      ]);
    }
  }

  #submitOthers(now: number): void {
    const {backfillMb, backfills, random, shortPerS} = this.#drawn;
    const openBackfill = [...this.#sample.fleet.jobs.values()].filter(
      ({request}) => request.queue === 'backfill',
    );
    for (let more = openBackfill.length; more < backfills; more += 1) {
      const resources = {cpuMilli: 1_000, gpus: 0, memoryMb: backfillMb};
      const steps = [shape({count: this.#draw(1, 4), fillsSpareCpu: true, resources})];
      this.#sample.addJob('backfill', steps, now);
    }
    if (random() < (shortPerS * TICK_MS) / 1_000) {
      const resources = {cpuMilli: this.#draw(5, 30) * 100, gpus: 0, memoryMb: 500};
      this.#sample.addJob('short', [shape({count: this.#draw(1, 4), resources})], now);
    }
  }

  #changeMinions(now: number): void {
    const {minions} = this.#sample.fleet;
    if (now === DRAINS_AT_MS) {
      this.#leaving = [...minions.values()].toSorted(
        (a, b) => b.servingCpuMilli - a.servingCpuMilli,
      )[0];
      invariant(this.#leaving !== undefined, 'tests: no minion');
      this.#leaving.description = {...this.#leaving.description, isDraining: true};
      for (const run of this.#leaving.runs) {
        if (run.step.shape.longRunning) {
          this.#sample.fleet.stopRun(run, 'evacuated');
        }
      }
    }
    if (now === LEAVES_AT_MS && this.#leaving !== undefined) {
      for (const run of [...this.#leaving.runs]) {
        this.#runs.delete(run);
        this.#sample.fleet.recordLostRun(run, 'left');
      }
      minions.delete(this.#leaving.id);
    }
  }

  #begin(run: Run, now: number): void {
    const {fillsSpareCpu, longRunning} = run.step.shape;
    run.phase = 'running';
    run.confirmedAt = at(now);
    run.percent = longRunning ? PROGRESS_OF_LASTING : 0;
    const workMs = fillsSpareCpu ? this.#draw(5, 40) * 100 : this.#draw(3, 20) * 100;
    this.#runs.set(run, {endsAtMs: longRunning ? Infinity : now + workMs});
  }

  #endRuns(now: number): void {
    const {fleet} = this.#sample;
    for (const [run, {endsAtMs}] of this.#runs) {
      if (endsAtMs <= now) {
        this.#runs.delete(run);
        fleet.finishRun(run, run.phase === 'stopping' ? 'stopped' : 'done', undefined, at(now));
      }
    }
    for (const job of [...fleet.jobs.values()]) {
      if (job.isFinal) {
        fleet.jobs.delete(job.id);
      }
    }
  }

  #measure(now: number): void {
    const since = new Map<string, number>();
    for (const job of this.#sample.fleet.jobs.values()) {
      for (const [step, index] of listInterrupted(job)) {
        const {number, occurrence} = step;
        const task = formatTaskName({index, job: job.id, occurrence, step: number});
        this.#interrupted.add(task);
        if (this.#hasRoom(step, now)) {
          const from = this.#since.get(task) ?? now;
          since.set(task, from);
          this.#longest = now - from > this.#longest.ms ? {ms: now - from, task} : this.#longest;
        }
      }
    }
    this.#since = since;
  }

  /** Whether a minion would take a task of the step if no backfill ran. */
  #hasRoom(step: StepState, now: number): boolean {
    return [...this.#sample.fleet.minions.values()].some(
      (minion) =>
        findUnavailability(minion, at(now)) === undefined &&
        meetsConstraints(step, minion) &&
        minion.hasCapacityWithoutBackfill(step.shape),
    );
  }
}

function* listInterrupted(job: JobState): Generator<readonly [StepState, number]> {
  for (const step of [...job.openOccurrences(wallAt(PLAY_MS))].flat()) {
    for (const index of step.waiting) {
      if (isInterruptedTask(step, index)) {
        yield [step, index];
      }
    }
  }
}

export function playFullCell(drawn: FullCell): PlayedFullCell {
  return new Play(drawn).play();
}
