/**
 * Estimates task durations. Callers' estimates are rough and differ in quality between queues, so
 * the ratio of measured to declared durations is learned for each queue and image.
 */

import type {PlatformBounds} from '@nutmegproxy/core';
import type {JobState, QueueId, Run, StepShape, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

import {computeRackFactor} from './RackFactor.ts';

/** Duration in milliseconds of a task without an estimate or a measurement. */
const DEFAULT_TASK_MS = 1_000;
/** Weight of a new measurement in the moving average, which covers about twenty runs. */
const LEARNING_RATE = 0.05;
/** Bounds on one measured ratio, so that a single outlier has little effect. */
const RATIO_BOUNDS = {max: 5, min: 0.2};

/** Maximum number of pairs of queue and image; bounds the memory and the record in the store. */
const MAX_KEYS = 2_000;

interface LearnedDuration {
  durationMs: number;
  ratio: number;
}

function formatKey(queue: QueueId, image: string | undefined): string {
  return `${queue} ${image ?? ''}`;
}

/** Returns when a step starts if each step ends at its time in `ends`. */
function findStart({after}: StepShape, ends: readonly number[]): number {
  let start = 0;
  for (const earlier of after) {
    start = Math.max(start, ends[earlier] ?? 0);
  }
  return start;
}

/** Learned durations and ratios by queue and image, as stored for the next owner. */
export type DurationSnapshot = Readonly<Record<string, Readonly<LearnedDuration>>>;

export class DurationEstimator {
  readonly #learned = new Map<string, LearnedDuration>();
  /** Key that was last computed for a shape: each round of planning needs those of all waiting steps. */
  readonly #keys = new WeakMap<StepShape, {readonly key: string; readonly queue: QueueId}>();
  readonly #remoteRackFactor: number;

  constructor({remoteRackFactor}: Pick<PlatformBounds, 'remoteRackFactor'>) {
    this.#remoteRackFactor = remoteRackFactor;
  }

  /** Returns a snapshot for the next owner. */
  export(): DurationSnapshot {
    return Object.fromEntries(this.#learned);
  }

  /** Imports the snapshot of a former owner. */
  import(snapshot: DurationSnapshot): void {
    for (const [key, learned] of Object.entries(snapshot)) {
      this.#learned.set(key, {...learned});
    }
  }

  /** Records the duration of a completed run that did not resume from a checkpoint, see `estimateRunMs`. */
  recordRun(fleet: Fleet, run: Run, durationMs: number): void {
    const {job, shape} = run.step;
    const factor = computeRackFactor(fleet, run, this.#remoteRackFactor);
    this.recordDuration(job.request.queue, shape, durationMs / factor);
  }

  /** Records the duration of a task that did not resume from a checkpoint. */
  recordDuration(queue: QueueId, shape: StepShape, durationMs: number): void {
    const key = formatKey(queue, shape.image);
    const ratio = Math.min(
      RATIO_BOUNDS.max,
      Math.max(RATIO_BOUNDS.min, durationMs / (shape.estimateMs ?? durationMs)),
    );
    const learned = this.#learned.get(key);
    if (learned === undefined) {
      this.#learned.set(key, {durationMs, ratio});
      const [oldest] = this.#learned.keys();
      if (this.#learned.size > MAX_KEYS && oldest !== undefined) {
        this.#learned.delete(oldest);
      }
      return;
    }
    learned.durationMs += LEARNING_RATE * (durationMs - learned.durationMs);
    learned.ratio += LEARNING_RATE * (ratio - learned.ratio);
  }

  /** Returns the expected duration of a run in milliseconds, on the racks where it and its gang are. */
  estimateRunMs(fleet: Fleet, run: Run): number {
    const {job, shape} = run.step;
    const factor = computeRackFactor(fleet, run, this.#remoteRackFactor);
    return this.estimateTaskMs(job.request.queue, shape) * factor;
  }

  /** Returns the expected duration of one task in milliseconds, wherever it is placed. */
  estimateTaskMs(queue: QueueId, shape: StepShape): number {
    const learned = this.#learned.get(this.#findKey(queue, shape));
    return shape.estimateMs === undefined
      ? (learned?.durationMs ?? DEFAULT_TASK_MS)
      : shape.estimateMs * (learned?.ratio ?? 1);
  }

  /** Returns the length of a job's critical path in milliseconds, without any progress. */
  estimateCriticalPathMs(job: JobState): number {
    const ends: number[] = [];
    let end = 0;
    for (const shape of job.request.steps) {
      const endsAt = findStart(shape, ends) + this.estimateTaskMs(job.request.queue, shape);
      ends.push(endsAt);
      end = Math.max(end, endsAt);
    }
    return end;
  }

  /** Returns the remaining critical path of an occurrence and its work in core-milliseconds. */
  estimateRemaining(steps: readonly StepState[]): {criticalPathMs: number; coreMs: number} {
    const ends: number[] = [];
    let coreMs = 0;
    let criticalPathMs = 0;
    for (const {done, isDone, job, shape} of steps) {
      const taskMs = this.estimateTaskMs(job.request.queue, shape);
      const endsAt = findStart(shape, ends) + (isDone ? 0 : taskMs);
      ends.push(endsAt);
      coreMs += (taskMs * (shape.count - done.size) * shape.resources.cpuMilli) / 1000;
      criticalPathMs = Math.max(criticalPathMs, endsAt);
    }
    return {coreMs, criticalPathMs};
  }

  #findKey(queue: QueueId, shape: StepShape): string {
    const known = this.#keys.get(shape);
    if (known?.queue === queue) {
      return known.key;
    }
    const key = formatKey(queue, shape.image);
    this.#keys.set(shape, {key, queue});
    return key;
  }
}
