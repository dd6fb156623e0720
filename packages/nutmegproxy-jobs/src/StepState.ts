/** The tasks of one step of one occurrence, as the owner of the fleet knows them. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

import type {Checkpoint, RunNumber, StepShape, TaskRef} from './JobModel.ts';
import type {StepProgress} from './JobProgress.ts';
import type {JobState} from './JobState.ts';

/**
 * `starting`: sent, not confirmed. `running`: confirmed by its minion. `stopping`: a stop was sent;
 * the run keeps its room until its end is listed.
 */
export type RunPhase = 'running' | 'starting' | 'stopping';

/**
 * `order`: this owner sent its start. `record`: a former owner's record names it. `listing`: its
 * minion has listed it.
 */
export type RunEvidence = 'listing' | 'order' | 'record';

/** A live run of a task, or one that may be live. */
export interface Run {
  checkpoint: Checkpoint | undefined;
  /** When the minion confirmed the run; undefined before. */
  confirmedAt: Instant | undefined;
  /** What shows that the run exists. */
  knownFrom: RunEvidence;
  readonly minion: MinionId;
  readonly number: RunNumber;
  /** Share of its speed that the minion lets the run work at, 0 to 100. */
  paceShare: number;
  /** Progress in percent, as last reported; 100 for a long-running task that is at work. */
  percent: number;
  phase: RunPhase;
  /** Tail of the response time in milliseconds for a serving run, thousandths of a core otherwise. */
  reading: number | undefined;
  readonly sentAt: Instant;
  readonly step: StepState;
  readonly task: TaskRef;
}

/** Tracks which tasks of a step wait, run and are done. */
export class StepState {
  readonly checkpoints = new Map<number, Checkpoint>();
  readonly done = new Set<number>();
  /** Numbers of the runs that ended as failed, by task index. */
  readonly failures = new Map<number, RunNumber[]>();
  /** Minions on which a run of the task failed or stalled, by task index. */
  readonly avoided = new Map<number, Set<MinionId>>();
  readonly job: JobState;
  readonly number: number;
  readonly occurrence: number;
  readonly shape: StepShape;
  /** When a task of the step last found no minion; undefined before. */
  blockedAt: Instant | undefined;
  /** When a task of the step was last placed; undefined before. */
  placedAt: Instant | undefined;
  /** When the step's earlier steps had ended; undefined before. */
  readyAt: Instant | undefined;
  /** Tasks whose last run this owner saw live, so that no other run of a former owner can be. */
  readonly recoveredTasks = new Set<number>();
  /** Minions on which a run of the task is over whose end is not known, by task index. */
  readonly unknownResults = new Map<number, Set<MinionId>>();
  /** Indexes of tasks that are not done and have no live run. */
  readonly waiting = new Set<number>();
  readonly #lastRun = new Map<number, RunNumber>();
  readonly #perMinion = new Map<MinionId, number>();
  readonly #runs = new Map<number, Run[]>();

  constructor(
    job: JobState,
    occurrence: number,
    number: number,
    shape: StepShape,
    progress?: StepProgress,
  ) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.shape = shape;
    for (const index of progress?.done ?? []) {
      this.done.add(index);
    }
    for (const [index, numbers] of Object.entries(progress?.failures ?? {})) {
      this.failures.set(Number(index), [...numbers]);
    }
    for (const [index, checkpoint] of Object.entries(progress?.checkpoints ?? {})) {
      this.checkpoints.set(Number(index), checkpoint);
    }
    for (let index = 0; index < shape.count; index += 1) {
      if (!this.done.has(index)) {
        this.waiting.add(index);
      }
    }
  }

  /** Whether every task is done. */
  get isDone(): boolean {
    return this.done.size >= this.shape.count;
  }

  /** Number of live runs. */
  get liveRuns(): number {
    let count = 0;
    for (const runs of this.#runs.values()) {
      count += runs.length;
    }
    return count;
  }

  addRun(run: Run): void {
    const {index} = run.task;
    const runs = this.#runs.get(index) ?? [];
    runs.push(run);
    this.#runs.set(index, runs);
    this.waiting.delete(index);
    this.#perMinion.set(run.minion, this.countOn(run.minion) + 1);
    this.recordRunNumber(index, run.number);
  }

  /** Live runs of the step on a minion. */
  countOn(minion: MinionId): number {
    return this.#perMinion.get(minion) ?? 0;
  }

  avoid(index: number, minion: MinionId): void {
    const minions = this.avoided.get(index) ?? new Set();
    this.avoided.set(index, minions.add(minion));
  }

  /** The ends of runs on the minion are known, or never will be. */
  clearUnknownResults(minion: MinionId): void {
    for (const minions of this.unknownResults.values()) {
      minions.delete(minion);
    }
  }

  /** Runs of the task that have failed or may have. */
  countPossibleFailures(index: number): number {
    return (this.failures.get(index)?.length ?? 0) + (this.unknownResults.get(index)?.size ?? 0);
  }

  recordUnknownResult(index: number, minion: MinionId): void {
    const minions = this.unknownResults.get(index) ?? new Set();
    this.unknownResults.set(index, minions.add(minion));
  }

  /** Counts a failed run once; false when it was counted before. */
  markFailed(index: number, number: RunNumber): boolean {
    const numbers = this.failures.get(index) ?? [];
    if (numbers.includes(number)) {
      return false;
    }
    this.failures.set(index, [...numbers, number]);
    return true;
  }

  /** Records that the task is done; false when it was already. */
  markDone(index: number): boolean {
    if (this.done.has(index)) {
      return false;
    }
    this.done.add(index);
    this.waiting.delete(index);
    this.checkpoints.delete(index);
    return true;
  }

  /** The next number for a run of the task; `base` is the lowest that this owner may use. */
  nextRunNumber(index: number, base: number): RunNumber {
    return Math.max(base, (this.#lastRun.get(index) ?? 0) + 1) as RunNumber;
  }

  recordRunNumber(index: number, number: RunNumber): void {
    this.#lastRun.set(index, Math.max(number, this.#lastRun.get(index) ?? 0) as RunNumber);
  }

  /** Progress worth keeping; undefined when there is none. */
  exportProgress(): StepProgress | undefined {
    if (this.done.size + this.failures.size + this.checkpoints.size === 0) {
      return undefined;
    }
    return {
      checkpoints: Object.fromEntries(this.checkpoints),
      done: [...this.done],
      failures: Object.fromEntries(this.failures),
    };
  }

  /** Forgets a run that is over; its task waits again unless it is done or has other runs. */
  removeRun(run: Run): void {
    const {index} = run.task;
    const runs = this.#runs.get(index);
    const position = runs?.indexOf(run) ?? -1;
    invariant(runs !== undefined && position >= 0, 'jobs: a run was removed twice');
    runs.splice(position, 1);
    this.#perMinion.set(run.minion, this.countOn(run.minion) - 1);
    if (runs.length === 0) {
      this.#runs.delete(index);
      if (!this.done.has(index)) {
        this.waiting.add(index);
      }
    }
  }

  /** All live runs of the step. */
  *runs(): Generator<Run> {
    for (const runs of this.#runs.values()) {
      yield* runs;
    }
  }

  /** Live runs of one task. */
  runsOf(index: number): readonly Run[] {
    return this.#runs.get(index) ?? [];
  }
}
