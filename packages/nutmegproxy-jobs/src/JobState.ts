/** The state of a job in the owner's memory. */

import type {Instant, JobId, WallTime} from '@nutmegproxy/core';

import type {AdvicePolicy, JobStatus, StoredJob} from './JobModel.ts';
import type {JobProgress, StepProgress} from './JobProgress.ts';
import type {Run} from './Run.ts';

import {formatStepKey, isFinal, showsBegun} from './JobProgress.ts';
import {StepState} from './StepState.ts';

/** Most occurrences of a recurring job that are open at the same time. */
const MAX_OPEN_OCCURRENCES = 256;

const NO_OCCURRENCES: readonly (readonly StepState[])[] = [];

/** Tracks the occurrences and steps of a job. */
export class JobState {
  readonly request: StoredJob;
  /** Revision of the store at which the job was accepted. */
  readonly revision: number;
  /** Revision of the stored progress; 0 while there is none. */
  progressRevision = 0;
  status: JobStatus;
  /** When a task of the job was last placed or done, as far as this owner knows; undefined before. */
  activeAt: Instant | undefined;
  /**
   * Since when what this owner read of the job is known to have been stored, so that what waits by it has waited since;
   * undefined for jobs that it saw accepted.
   */
  heldSince: Instant | undefined;
  /** Live runs of all steps. */
  readonly liveRuns = new Set<Run>();
  /** Whether a minion has begun a task of the job, as far as this owner or a former one knows. */
  hasBegun: boolean;
  /** Whether a start of a task was decided on, under this owner or a former one; it may never be sent. */
  hasStarted: boolean;
  /** Whether a start of a task was decided on under a former owner, so that a minion may have a run. */
  readonly hadStarted: boolean;
  /** Whether the former owner stored which tasks of long-running steps had begun. */
  readonly hadStoredBegun: boolean;
  /** Advice that its queue needed when that was removed, null for none; undefined where the request tells it. */
  formerAdvice: AdvicePolicy | null | undefined;
  /** Attempts that its queue allowed when that was removed, unless the request tells them; undefined before. */
  formerMaxAttempts: number | undefined;
  /** Whether starts of suspected tasks were stored for the job. */
  mayHaveTrials = false;
  readonly #finished = new Set<number>();
  /** The occurrence of a job without recurrence, once it was asked for. */
  #only: readonly [readonly StepState[]] | undefined;
  readonly #occurrences = new Map<number, readonly StepState[]>();
  readonly #progress: JobProgress;

  constructor(
    request: StoredJob,
    revision: number,
    progress: JobProgress = {queue: request.queue, status: 'queued', steps: {}},
  ) {
    this.request = request;
    this.revision = revision;
    this.status = progress.status;
    this.hadStarted = progress.status !== 'queued';
    this.hasBegun =
      progress.hasBegun === true || Object.values(progress.steps).some((step) => showsBegun(step));
    this.hasStarted = this.hadStarted;
    this.hadStoredBegun = Object.values(progress.steps).some(({begun}) => begun !== undefined);
    this.formerAdvice = progress.advice;
    this.formerMaxAttempts = progress.maxAttempts;
    this.#progress = progress;
    for (const [key, {trials}] of Object.entries(progress.steps)) {
      if (trials !== undefined) {
        this.mayHaveTrials = true;
        // The minion of the trial may report before the occurrence is planned.
        this.occurrence(Number.parseInt(key, 10));
      }
    }
  }

  get id(): JobId {
    return this.request.id;
  }

  get isFinal(): boolean {
    return isFinal(this.status);
  }

  get occurrenceCount(): number {
    return this.request.recurrence?.count ?? 1;
  }

  /** Returns when an occurrence is due. */
  dueAt(occurrence: number): WallTime {
    const {acceptedAt, recurrence} = this.request;
    return recurrence === undefined
      ? acceptedAt
      : ((recurrence.firstAt + occurrence * recurrence.intervalMs) as WallTime);
  }

  /**
   * Returns since when a step is known to have waited under former owners; undefined where its turn came under this one.
   *
   * @example
   * step.heldSince = job.findHeldSince(step, now, wall);
   */
  findHeldSince(
    {number, occurrence}: StepState,
    now: Instant,
    wall: WallTime,
  ): Instant | undefined {
    const {heldSince, request} = this;
    const earlier = request.steps[number]?.after ?? [];
    if (heldSince === undefined || !earlier.every((each) => this.#wasStepDone(occurrence, each))) {
      return undefined;
    }
    // An occurrence is due by the clock of this machine; a job was accepted by that of another one.
    const dueSince =
      request.recurrence === undefined ? -Infinity : now - (wall - this.dueAt(occurrence));
    return Math.max(heldSince, Math.min(now, dueSince)) as Instant;
  }

  /** Returns the steps of an occurrence, created by the first call; undefined if it doesn't exist. */
  occurrence(number: number): readonly StepState[] | undefined {
    if (number < 0 || number >= this.occurrenceCount) {
      return undefined;
    }
    const open = this.#occurrences.get(number);
    if (open !== undefined) {
      return open;
    }
    const steps = this.request.steps.map(
      (shape, step) =>
        new StepState(this, number, step, shape, this.#progress.steps[formatStepKey(number, step)]),
    );
    this.#occurrences.set(number, steps);
    return steps;
  }

  /** Returns the occurrences that are due and not finished, oldest first; the only one of most jobs always as one list. */
  openOccurrences(wall: WallTime): Iterable<readonly StepState[]> {
    if (this.request.recurrence !== undefined) {
      return this.#dueOccurrences(wall);
    }
    this.#only ??= [this.occurrence(0) ?? []];
    return this.#isFinished(0, this.#only[0]) ? NO_OCCURRENCES : this.#only;
  }

  /** Whether every task of every occurrence is done. */
  isDone(): boolean {
    for (let number = 0; number < this.occurrenceCount; number += 1) {
      if (this.#finished.has(number)) {
        continue;
      }
      const steps = this.#occurrences.get(number);
      if (steps === undefined ? !this.#wasDone(number) : !steps.every((step) => step.isDone)) {
        return false;
      }
      this.#finished.add(number);
    }
    return true;
  }

  /** Called when a start of a task is decided on; returns whether it is the first one. */
  recordStart(): boolean {
    const isFirst = !this.hasStarted;
    this.hasStarted = true;
    this.status = isFirst && this.status === 'queued' ? 'running' : this.status;
    return isFirst;
  }

  /** Records that what this owner read of the job was out of date: its waits count from now. */
  endHeldWaits(now: Instant): void {
    if (this.heldSince === undefined) {
      return;
    }
    this.heldSince = now;
    for (const step of this.steps()) {
      step.heldSince = step.heldSince === undefined ? undefined : now;
    }
  }

  /** Returns the job's progress as it is stored. */
  exportProgress(): JobProgress {
    const steps: Record<string, StepProgress> = {...this.#progress.steps};
    for (const states of this.#occurrences.values()) {
      for (const state of states) {
        const progress = state.exportProgress();
        const key = formatStepKey(state.occurrence, state.number);
        if (progress === undefined) {
          // Its crashes were dropped.
          Reflect.deleteProperty(steps, key);
        } else {
          steps[key] = progress;
        }
      }
    }
    const {formerAdvice: advice, formerMaxAttempts: maxAttempts, request, status} = this;
    return {
      queue: request.queue,
      status,
      steps,
      ...(this.hasBegun && !Object.values(steps).some((step) => showsBegun(step))
        ? {hasBegun: true}
        : {}),
      ...(advice === undefined ? {} : {advice}),
      ...(maxAttempts === undefined ? {} : {maxAttempts}),
    };
  }

  /** The advice that the job needs once its queue is not configured; undefined for none. */
  get keptAdvice(): AdvicePolicy | undefined {
    const {formerAdvice, request} = this;
    return formerAdvice === undefined ? request.queuePolicy?.advice : (formerAdvice ?? undefined);
  }

  /** Whether a run of the job is live. */
  get hasLiveRuns(): boolean {
    return this.liveRuns.size > 0;
  }

  /** Iterates over the steps of the occurrences that are in memory. */
  *steps(): Generator<StepState> {
    for (const states of this.#occurrences.values()) {
      yield* states;
    }
  }

  /** Iterates over the open occurrences of a recurring job. */
  *#dueOccurrences(wall: WallTime): Generator<readonly StepState[]> {
    let open = 0;
    for (
      let number = 0;
      number < this.occurrenceCount && open < MAX_OPEN_OCCURRENCES;
      number += 1
    ) {
      if (this.#finished.has(number)) {
        continue;
      }
      if (this.dueAt(number) > wall) {
        return;
      }
      const steps = this.occurrence(number);
      if (steps !== undefined && !this.#isFinished(number, steps)) {
        open += 1;
        yield steps;
      }
    }
  }

  /** Whether all steps of an occurrence are done, which stays so. */
  #isFinished(number: number, steps: readonly StepState[] = []): boolean {
    if (this.#finished.has(number)) {
      return true;
    }
    for (const step of steps) {
      if (!step.isDone) {
        return false;
      }
    }
    this.#finished.add(number);
    return true;
  }

  #wasDone(occurrence: number): boolean {
    return this.request.steps.every((_, step) => this.#wasStepDone(occurrence, step));
  }

  /** Whether what this owner read of the job shows that all tasks of a step are done. */
  #wasStepDone(occurrence: number, step: number): boolean {
    const done = this.#progress.steps[formatStepKey(occurrence, step)]?.done.length ?? 0;
    return done >= (this.request.steps[step]?.count ?? 0);
  }
}
