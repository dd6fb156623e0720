/** The state of the tasks of one step of one occurrence in the owner's memory. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import {after, invariant} from '@nutmegproxy/core';

import type {Checkpoint, RunNumber, StepShape} from './JobModel.ts';
import type {StepProgress} from './JobProgress.ts';
import type {JobState} from './JobState.ts';
import type {Run} from './Run.ts';

import {BegunTasks} from './BegunTasks.ts';
import {StepCrashes} from './StepCrashes.ts';

/**
 * Time in milliseconds for which a task avoids a minion. Other minions get it meanwhile; a task that
 * only few can run returns to them.
 */
export const AVOIDANCE_MS = 4_000;

/** Tracks which tasks of a step are waiting, running or done. */
export class StepState {
  /** Which tasks of a long-running step have begun, under this owner or a former one. */
  readonly begun: BegunTasks;
  /** Crashes of minions under the tasks. */
  readonly crashes: StepCrashes;
  readonly done = new Set<number>();
  /** When this owner learned of the last failure of a task, by task index. */
  readonly failedAt = new Map<number, Instant>();
  /** Indexes of the tasks of which this owner learned of failures, by minion; empty for lasting tasks. */
  readonly failedOn = new Map<MinionId, Set<number>>();
  /** Numbers of the failed runs, by task index. */
  readonly failures = new Map<number, RunNumber[]>();
  readonly job: JobState;
  readonly number: number;
  readonly occurrence: number;
  readonly shape: StepShape;
  /** Whether a task of the step has failed the trial of a minion, and none has shown since that it can work. */
  hasFailedTrial = false;
  /** When no minion was last found for a task of the step; undefined before. */
  blockedAt: Instant | undefined;
  /** Since when the step is known to have waited under former owners; undefined when it is not known. */
  heldSince: Instant | undefined;
  /** When a task of the step was last done; undefined before. */
  doneAt: Instant | undefined;
  /** When the step of a long-running job last got no room below the limit; undefined before. */
  limitedAt: Instant | undefined;
  /** When a task of the step was last placed; undefined before. */
  placedAt: Instant | undefined;
  /** When this owner first saw that all earlier steps that this one depends on were done; undefined before. */
  readyAt: Instant | undefined;
  /**
   * Indexes of the tasks whose last run this owner saw live, so that no other run of a former owner
   * can be live.
   */
  readonly recoveredTasks = new Set<number>();
  /** Runs that are over and whose results are unknown, with their minions, by task index. */
  readonly unknownResults = new Map<number, Map<RunNumber, MinionId>>();
  /** Indexes of tasks that are not done and have no live run. */
  readonly waiting = new Set<number>();
  /** Until when the task avoids minions on which it failed or stalled, by task index. */
  readonly #avoidedUntil = new Map<number, Map<MinionId, Instant>>();
  /** Latest checkpoint by task index; one for all tasks of a gang, by the member that saved it. */
  readonly #checkpoints = new Map<number, Checkpoint>();
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
    this.begun = new BegunTasks(job, shape, progress);
    this.crashes = new StepCrashes(progress);
    for (const index of progress?.done ?? []) {
      this.done.add(index);
    }
    for (const [index, numbers] of Object.entries(progress?.failures ?? {})) {
      this.failures.set(Number(index), [...numbers]);
    }
    for (const [index, checkpoint] of Object.entries(progress?.checkpoints ?? {})) {
      this.saveCheckpoint(Number(index), checkpoint);
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

  get hasLiveRuns(): boolean {
    return this.#runs.size > 0;
  }

  /** When the turn of the step came, as far as it is known: also under former owners; undefined before. */
  get turnAt(): Instant | undefined {
    return this.heldSince ?? this.readyAt;
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
    this.job.liveRuns.add(run);
    this.#perMinion.set(run.minion, this.countRunsOn(run.minion) + 1);
  }

  /** Returns the number of live runs of the step on a minion. */
  countRunsOn(minion: MinionId): number {
    return this.#perMinion.get(minion) ?? 0;
  }

  /** Keeps the task off a minion for some time, since it failed, stalled or found no room there. */
  avoid(index: number, minion: MinionId, now: Instant, durationMs = AVOIDANCE_MS): void {
    const minions = this.#avoidedUntil.get(index) ?? new Map<MinionId, Instant>();
    this.#avoidedUntil.set(index, minions.set(minion, after(now, durationMs)));
  }

  isAvoided(index: number, minion: MinionId, now: Instant): boolean {
    return now < this.findAvoidedUntil(index, minion);
  }

  /** Returns until when the task avoids the minion; -Infinity if it doesn't. */
  findAvoidedUntil(index: number, minion: MinionId): number {
    return this.#avoidedUntil.get(index)?.get(minion) ?? -Infinity;
  }

  /** Removes a minion whose results are known now, or never will be. */
  clearUnknownResults(minion: MinionId): void {
    for (const runs of this.unknownResults.values()) {
      for (const [number, each] of runs) {
        if (each === minion) {
          runs.delete(number);
        }
      }
    }
  }

  /**
   * Returns the number of runs of the task that have failed or may have; of a speculative one only those that are known
   * to, as what is not known yet uses up none of its attempts.
   */
  countPossibleFailures(index: number): number {
    const failed = this.failures.get(index) ?? [];
    const unknown = this.shape.speculative ? [] : (this.unknownResults.get(index)?.keys() ?? []);
    return new Set([...failed, ...unknown]).size;
  }

  /** Returns the checkpoint from which the task resumes; all members of a gang resume from the same one. */
  findCheckpoint(index: number): Checkpoint | undefined {
    const [gangCheckpoint] = this.#checkpoints.values();
    return this.shape.gang ? gangCheckpoint : this.#checkpoints.get(index);
  }

  saveCheckpoint(index: number, checkpoint: Checkpoint): void {
    if (this.shape.gang) {
      this.#checkpoints.clear();
    }
    this.#checkpoints.set(index, checkpoint);
  }

  /** Whether a run of the task is known, live or over. */
  hasRun(index: number): boolean {
    return this.#lastRun.has(index) || this.failures.has(index);
  }

  /** Whether a run of the task is known, or a former owner may have started one of a long-running task. */
  mayHaveRun(index: number): boolean {
    return this.hasRun(index) || this.begun.mayInclude(index);
  }

  /** Returns the highest known number of a run of the task, live or over. */
  findLastRun(index: number): RunNumber | undefined {
    return this.#lastRun.get(index);
  }

  recordUnknownResult(index: number, number: RunNumber, minion: MinionId): void {
    const runs = this.unknownResults.get(index) ?? new Map<RunNumber, MinionId>();
    this.unknownResults.set(index, runs.set(number, minion));
  }

  /** Records a failed run; returns false when it was recorded before. */
  markFailed(index: number, number: RunNumber): boolean {
    const numbers = this.failures.get(index) ?? [];
    if (numbers.includes(number)) {
      return false;
    }
    this.failures.set(index, [...numbers, number]);
    return true;
  }

  /** Records that the task is done; returns false when it was already. */
  markDone(index: number): boolean {
    if (this.done.has(index)) {
      return false;
    }
    this.done.add(index);
    this.waiting.delete(index);
    this.#checkpoints.delete(index);
    this.crashes.clear(index);
    return true;
  }

  /** Returns the next number for a run of the task; `base` is the lowest that this owner may use. */
  nextRunNumber(index: number, base: number): RunNumber {
    return Math.max(base, (this.#lastRun.get(index) ?? 0) + 1) as RunNumber;
  }

  recordRunNumber(index: number, number: RunNumber): void {
    this.#lastRun.set(index, Math.max(number, this.#lastRun.get(index) ?? 0) as RunNumber);
  }

  /** Returns the step's progress as it is stored; undefined when there is none. */
  exportProgress(): StepProgress | undefined {
    const recorded = this.done.size + this.failures.size + this.#checkpoints.size;
    if (recorded === 0 && this.begun.isEmpty && this.crashes.isEmpty) {
      return undefined;
    }
    return {
      ...this.begun.exportProgress(),
      checkpoints: Object.fromEntries(this.#checkpoints),
      done: [...this.done],
      failures: Object.fromEntries(this.failures),
      ...this.crashes.exportProgress(),
    };
  }

  /** Removes a run that is over; its task waits again unless it is done or has other runs. */
  removeRun(run: Run): void {
    const {index} = run.task;
    const runs = this.#runs.get(index);
    const position = runs?.indexOf(run) ?? -1;
    invariant(runs !== undefined && position >= 0, 'jobs: a run was removed twice');
    runs.splice(position, 1);
    this.job.liveRuns.delete(run);
    this.#perMinion.set(run.minion, this.countRunsOn(run.minion) - 1);
    this.crashes.endTrial(index, run.number);
    if (runs.length === 0) {
      this.#runs.delete(index);
      if (!this.done.has(index)) {
        this.waiting.add(index);
      }
    }
  }

  /** Iterates over the same runs of all tasks. */
  *runs(): Generator<Run> {
    for (const runs of this.#runs.values()) {
      yield* runs;
    }
  }

  /** Returns the runs of one task: those that are live or may be, or whose results are not known yet. */
  runsOf(index: number): readonly Run[] {
    return this.#runs.get(index) ?? [];
  }
}
