/** The model of the worker stand-in, without I/O: attempts, leases, speeds and history. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {
  AttemptReport,
  Resources,
  StartResult,
  TaskStart,
  Usage,
  WorkerReport,
  WorkerSync,
} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {WorkInput} from './WorkerTask.ts';

import {HISTORY_CAPACITY, USAGE_SAMPLE_INTERVAL_MS, USAGE_SAMPLES} from './StandinsConstants.ts';
import {readCheckpoint, readWorkInput, writeCheckpoint} from './WorkerTask.ts';

/** The current time on the monotonic and the wall clock. */
export interface ClockReading {
  readonly monotonic: Instant;
  readonly wall: WallTime;
}

/** The time range of an attempt in wall-clock ms; `endedAt` is absent while it runs. */
export interface AttemptInterval {
  readonly attempt: string;
  readonly cellEpoch?: number;
  /** Work completed when the attempt ended, in ms. */
  doneMs?: number;
  endedAt?: number;
  endState?: AttemptReport['state'];
  readonly entry: string;
  readonly reserved: Resources;
  /** Work completed at the checkpoint that this attempt started from, in ms. */
  readonly resumedFromMs: number;
  readonly startedAt: number;
  readonly task: string;
  /** Actual resource use of the task. */
  readonly used: Resources;
  readonly worker: string;
}

export interface WorkerFaults {
  /** Every task fails as soon as it starts. */
  readonly failEverything?: boolean;
  /** Age of the usage samples that are reported. */
  readonly usageLagMs?: number;
}

interface Attempt {
  doneMs: number;
  error: string | undefined;
  readonly interval: AttemptInterval;
  leaseExpiresAt: Instant;
  readonly samples: Usage[];
  share: number;
  readonly start: TaskStart;
  state: AttemptReport['state'];
  readonly work: WorkInput;
}

/** Relative speed of a task while the worker's memory is overcommitted. */
const OVERCOMMITTED_MEMORY_SPEED = 0.2;

function computeTotalWorkMs({work}: Attempt): number {
  return work.fail ? work.workMs / 2 : work.workMs;
}

/** Starts every task, even beyond its capacity; overcommitted tasks run more slowly. */
export class WorkerModel {
  readonly #attempts = new Map<string, Attempt>();
  readonly #capacity: Resources;
  #failEverything = false;
  readonly #history: AttemptInterval[] = [];
  readonly #id: string;
  #lastAdvance: ClockReading | undefined;
  #lastSampleAt = Number.NEGATIVE_INFINITY;
  #usageLagMs = 0;

  constructor(id: string, capacity: Resources) {
    this.#id = id;
    this.#capacity = capacity;
  }

  /** Running intervals of all attempts, oldest first. */
  get history(): readonly AttemptInterval[] {
    return this.#history;
  }

  /** Advances the simulation to `now`: tasks progress and end, and leases expire. */
  advance(now: ClockReading): void {
    let from = this.#lastAdvance ?? now;
    this.#lastAdvance = now;
    while (from.monotonic < now.monotonic) {
      const stepMs = this.#nextStepMs(from, now);
      this.#advanceWork(stepMs);
      from = {
        monotonic: after(from.monotonic, stepMs),
        wall: (from.wall + stepMs) as WallTime,
      };
      this.#endDueAttempts(from);
    }
    this.#endDueAttempts(now);
    this.#sampleUsage(now);
  }

  change(faults: WorkerFaults): void {
    this.#failEverything = faults.failEverything ?? this.#failEverything;
    this.#usageLagMs = faults.usageLagMs ?? this.#usageLagMs;
  }

  start(starts: readonly TaskStart[], now: ClockReading): readonly StartResult[] {
    this.advance(now);
    return starts.map((each) => this.#startOne(each, now));
  }

  sync(sync: WorkerSync, now: ClockReading): WorkerReport {
    this.advance(now);
    this.#renew(sync, now);
    for (const {attempt, share} of sync.throttle ?? []) {
      this.#withRunning(attempt, (running) => {
        running.share = Math.min(1, Math.max(0, share));
      });
    }
    for (const attempt of sync.checkpoint ?? []) {
      this.#withRunning(attempt, (running) => {
        this.#end(running, 'checkpointed', now);
      });
    }
    for (const attempt of sync.stop ?? []) {
      this.#withRunning(attempt, (running) => {
        this.#end(running, 'stopped', now);
      });
    }
    const report = this.#report(now);
    this.#removeAcknowledged(sync.acknowledge ?? []);
    return report;
  }

  #startOne(start: TaskStart, now: ClockReading): StartResult {
    const {attempt} = start;
    if (this.#attempts.has(attempt)) {
      return {attempt, started: true};
    }
    if (now.wall > start.startBefore) {
      return {attempt, reason: 'startBefore has passed', started: false};
    }
    const doneMs = readCheckpoint(start.checkpoint);
    const work = readWorkInput(start.input);
    const interval: AttemptInterval = {
      attempt,
      ...(start.cellEpoch === undefined ? {} : {cellEpoch: start.cellEpoch}),
      entry: start.entry,
      reserved: start.reserved,
      resumedFromMs: doneMs,
      startedAt: now.wall,
      task: start.task,
      used: {
        accelerators: start.reserved.accelerators,
        cpu: work.cpu,
        memoryMb: work.memoryMb,
      },
      worker: this.#id,
    };
    this.#appendHistory(interval);
    this.#attempts.set(attempt, {
      doneMs,
      error: undefined,
      interval,
      leaseExpiresAt: after(now.monotonic, start.leaseMs),
      samples: [],
      share: 1,
      start,
      state: 'running',
      work,
    });
    this.#endDueAttempts(now);
    return {attempt, started: true};
  }

  #appendHistory(interval: AttemptInterval): void {
    this.#history.push(interval);
    if (this.#history.length > HISTORY_CAPACITY) {
      this.#history.shift();
    }
  }

  #running(): readonly Attempt[] {
    return [...this.#attempts.values()].filter(({state}) => state === 'running');
  }

  #withRunning(id: string, change: (attempt: Attempt) => void): void {
    const attempt = this.#attempts.get(id);
    if (attempt?.state === 'running') {
      change(attempt);
    }
  }

  #renew(sync: WorkerSync, now: ClockReading): void {
    for (const id of sync.renew ?? []) {
      this.#withRunning(id, (attempt) => {
        attempt.leaseExpiresAt = after(now.monotonic, sync.leaseMs ?? attempt.start.leaseMs);
      });
    }
  }

  #removeAcknowledged(ids: readonly string[]): void {
    for (const id of ids) {
      if (this.#attempts.get(id)?.state !== 'running') {
        this.#attempts.delete(id);
      }
    }
  }

  /** Returns the progress in ms of work per ms of time. */
  #speed(attempt: Attempt, running: readonly Attempt[]): number {
    const cpu = running.reduce((sum, {share, work}) => sum + work.cpu * share, 0);
    const memoryMb = running.reduce((sum, {work}) => sum + work.memoryMb, 0);
    const {entry} = attempt.interval;
    const noise = running
      .filter((other) => other !== attempt)
      .reduce((rest, {share, work}) => rest * (1 - (work.noiseTo[entry] ?? work.noise) * share), 1);
    const cpuSpeed = Math.min(1, this.#capacity.cpu / Math.max(cpu, Number.MIN_VALUE));
    const memorySpeed = memoryMb > this.#capacity.memoryMb ? OVERCOMMITTED_MEMORY_SPEED : 1;
    return attempt.share * cpuSpeed * memorySpeed * noise;
  }

  /** Returns the time until a task ends, a lease expires or `now`, whichever is first. */
  #nextStepMs(from: ClockReading, now: ClockReading): number {
    const running = this.#running();
    const ends = running.flatMap((attempt) => {
      const speed = this.#speed(attempt, running);
      const workLeftMs = computeTotalWorkMs(attempt) - attempt.doneMs;
      const leaseLeftMs = attempt.leaseExpiresAt - from.monotonic;
      return speed > 0 ? [workLeftMs / speed, leaseLeftMs] : [leaseLeftMs];
    });
    const steps = ends.filter((step) => step > 0);
    return Math.min(now.monotonic - from.monotonic, ...steps);
  }

  #advanceWork(stepMs: number): void {
    const running = this.#running();
    const speeds = running.map((attempt) => this.#speed(attempt, running));
    running.forEach((attempt, index) => {
      attempt.doneMs += stepMs * (speeds[index] ?? 0);
    });
  }

  #endDueAttempts(now: ClockReading): void {
    for (const attempt of this.#running()) {
      if (this.#failEverything) {
        attempt.error = 'failEverything is set on this worker';
        this.#end(attempt, 'failed', now);
      } else if (attempt.leaseExpiresAt <= now.monotonic) {
        this.#end(attempt, 'lapsed', now);
      } else if (attempt.doneMs >= computeTotalWorkMs(attempt) - 1e-6) {
        attempt.error = attempt.work.fail ? 'the task failed' : undefined;
        this.#end(attempt, attempt.work.fail ? 'failed' : 'succeeded', now);
      }
    }
  }

  #end(attempt: Attempt, state: AttemptReport['state'], now: ClockReading): void {
    attempt.state = state;
    attempt.interval.doneMs = attempt.doneMs;
    attempt.interval.endedAt = now.wall;
    attempt.interval.endState = state;
  }

  #sampleUsage(now: ClockReading): void {
    if (now.monotonic - this.#lastSampleAt < USAGE_SAMPLE_INTERVAL_MS) {
      return;
    }
    this.#lastSampleAt = now.monotonic;
    const running = this.#running();
    for (const attempt of running) {
      const speed = this.#speed(attempt, running);
      const {cpu, memoryMb} = attempt.work;
      attempt.samples.push({at: now.wall, cpu: cpu * attempt.share, memoryMb, speed});
      if (attempt.samples.length > USAGE_SAMPLES) {
        attempt.samples.shift();
      }
    }
  }

  #report(now: ClockReading): WorkerReport {
    const attempts = [...this.#attempts.values()].map((each) => this.#reportAttempt(each, now));
    return {attempts, worker: this.#id};
  }

  #reportAttempt(attempt: Attempt, now: ClockReading): AttemptReport {
    const {doneMs, error, samples, start, state, work} = attempt;
    const usage = samples.findLast(({at}) => at <= now.wall - this.#usageLagMs);
    return {
      attempt: start.attempt,
      entry: start.entry,
      progress: Math.min(1, doneMs / work.workMs),
      reserved: start.reserved,
      state,
      task: start.task,
      ...(state === 'checkpointed' ? {checkpoint: writeCheckpoint(doneMs)} : {}),
      ...(error === undefined ? {} : {error}),
      ...(usage === undefined ? {} : {usage}),
    };
  }
}
