/** A job as the owner of the fleet knows it. */

import type {JobId, WallTime} from '@nutmegproxy/core';

import type {JobStatus, StoredJob} from './JobModel.ts';
import type {JobProgress, StepProgress} from './JobProgress.ts';

import {formatStepKey, isFinal} from './JobProgress.ts';
import {StepState} from './StepState.ts';

/** Occurrences of a recurring job that are opened ahead of their end, at most. */
const MAX_OPEN_OCCURRENCES = 256;

/** Tracks the occurrences and steps of a job. */
export class JobState {
  readonly request: StoredJob;
  /** Store revision at which the job was accepted. */
  readonly revision: number;
  /** Revision of the progress record; 0 before the first. */
  progressRevision = 0;
  status: JobStatus;
  /** Whether a task of the job has started, in this owner's time or before. */
  hasStarted: boolean;
  readonly #finished = new Set<number>();
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
    this.hasStarted = progress.status !== 'queued';
    this.#progress = progress;
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

  /** When an occurrence is due. */
  dueAt(occurrence: number): WallTime {
    const {acceptedAt, recurrence} = this.request;
    return recurrence === undefined
      ? acceptedAt
      : ((recurrence.firstAt + occurrence * recurrence.intervalMs) as WallTime);
  }

  /** Steps of one occurrence, opened at the first call; undefined when there is none such. */
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

  /** The occurrences that are due and not finished, oldest first. */
  *openOccurrences(wall: WallTime): Generator<readonly StepState[]> {
    let open = 0;
    for (
      let number = 0;
      number < this.occurrenceCount && open < MAX_OPEN_OCCURRENCES;
      number += 1
    ) {
      if (this.#finished.has(number)) {
        continue;
      }
      if (this.request.recurrence !== undefined && this.dueAt(number) > wall) {
        return;
      }
      const steps = this.occurrence(number);
      if (steps?.every((step) => step.isDone)) {
        this.#finished.add(number);
        continue;
      }
      if (steps !== undefined) {
        open += 1;
        yield steps;
      }
    }
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

  /** The record of the job's progress, to be written to the store. */
  exportProgress(): JobProgress {
    const steps: Record<string, StepProgress> = {...this.#progress.steps};
    for (const states of this.#occurrences.values()) {
      for (const state of states) {
        const progress = state.exportProgress();
        if (progress !== undefined) {
          steps[formatStepKey(state.occurrence, state.number)] = progress;
        }
      }
    }
    return {queue: this.request.queue, status: this.status, steps};
  }

  /** Steps that are open in memory. */
  *steps(): Generator<StepState> {
    for (const states of this.#occurrences.values()) {
      yield* states;
    }
  }

  #wasDone(occurrence: number): boolean {
    return this.request.steps.every(
      (shape, step) =>
        (this.#progress.steps[formatStepKey(occurrence, step)]?.done.length ?? 0) >= shape.count,
    );
  }
}
