/**
 * Measures placement decisions in process for a given fleet size. Only the sequence of calls is
 * simulated: arrivals, usage reports and completed attempts.
 */

import type {AttemptId, EntryId, Instant, RackId, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Placement, PlacementName, PlacementRequest} from '@nutmegproxy/placement';
import type {Histogram} from 'hdr-histogram-js';

import {brand} from '@nutmegproxy/core';
import {PLACEMENTS} from '@nutmegproxy/placement';
import {build} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const WORKERS_PER_RACK = 30;
const TEAMS = 180;
const ENTRIES = 900;
const TASKS_PER_WORKER = 10;
const LATENCY_CRITICAL_PERCENT = 28;
/** Time between two arrivals at 1,600 starts a second. */
const ARRIVAL_INTERVAL_MS = 1 / 1.6;
const CAPACITY = {accelerators: 0, cpu: 16, memoryMb: 60_000};

/** Results of one run. */
export interface DecisionFigures {
  readonly decideP50Us: number;
  readonly decideP99Us: number;
  readonly heapBytesPerWorker: number;
  readonly observeP50Us: number;
  readonly placedShare: number;
  readonly policy: PlacementName;
  readonly releaseP50Us: number;
  readonly workers: number;
}

interface DecisionHistograms {
  readonly decide: Histogram;
  readonly observe: Histogram;
  readonly release: Histogram;
}

/** Generates placement requests of many entries from a seed. */
class RequestGenerator {
  #count = 0;
  readonly #random: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  drawInteger(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  next(now: Instant): PlacementRequest {
    this.#count += 1;
    const entry = this.drawInteger(0, ENTRIES - 1);
    const isLatencyCritical = (entry * 37) % 100 < LATENCY_CRITICAL_PERCENT;
    return {
      attempt: brand<AttemptId>(`attempt-${this.#count}`),
      checkpointable: true,
      class: isLatencyCritical ? 'latency-critical' : 'batch',
      declared: {accelerators: 0, cpu: 0.5 + (entry % 5) / 4, memoryMb: 500 + 400 * (entry % 7)},
      declaredRunTimeMs: 30_000,
      entry: brand<EntryId>(`entry-${entry}`),
      queuedAt: now,
      team: brand<TeamId>(`team-${entry % TEAMS}`),
    };
  }
}

function recordDuration<Value>(histogram: Histogram, action: () => Value): Value {
  const start = process.hrtime.bigint();
  const value = action();
  histogram.recordValue(Number(process.hrtime.bigint() - start));
  return value;
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function addWorkers(placement: Placement, workers: number, now: Instant): void {
  for (let index = 0; index < workers; index += 1) {
    const id = brand<WorkerId>(`worker-${index}`);
    const rack = brand<RackId>(`rack-${Math.floor(index / WORKERS_PER_RACK)}`);
    placement.setWorker({capacity: CAPACITY, drained: false, id, rack}, now);
  }
}

/** Applies arrivals, usage reports and completions to one placement policy. */
class DecisionRun {
  readonly #placement: Placement;
  placed = 0;
  readonly #running: PlacementRequest[] = [];
  readonly #requests: RequestGenerator;
  steps = 0;
  readonly #histograms: DecisionHistograms;

  constructor(placement: Placement, seed: number, histograms: DecisionHistograms) {
    this.#placement = placement;
    this.#requests = new RequestGenerator(seed);
    this.#histograms = histograms;
  }

  /**
   * Simulates one arrival and one usage report, and completes one task if the target number is
   * running or the arrival has to wait.
   */
  step(targetRunning: number): void {
    this.steps += 1;
    const now = (this.steps * ARRIVAL_INTERVAL_MS) as Instant;
    const request = this.#requests.next(now);
    const decision = recordDuration(this.#histograms.decide, () =>
      this.#placement.decide(request, now),
    );
    if (decision.kind === 'placed') {
      this.placed += 1;
      this.#running.push(request);
    }
    this.#reportUsage(now);
    if (this.#running.length >= targetRunning || decision.kind === 'wait') {
      this.#completeTask(now);
    }
  }

  #completeTask(now: Instant): void {
    const index = this.#requests.drawInteger(0, this.#running.length - 1);
    const completed = this.#running[index];
    const last = this.#running.pop();
    if (!completed || !last) {
      return;
    }
    if (last !== completed) {
      this.#running[index] = last;
    }
    recordDuration(this.#histograms.release, () => {
      this.#placement.release(completed.attempt, 'succeeded', now);
    });
  }

  #reportUsage(now: Instant): void {
    const request =
      this.#running[this.#requests.drawInteger(0, Math.max(0, this.#running.length - 1))];
    if (!request) {
      return;
    }
    const usage = {
      at: 0,
      cpu: (request.declared.cpu * this.#requests.drawInteger(50, 110)) / 100,
      memoryMb: request.declared.memoryMb,
      speed: this.#requests.drawInteger(60, 100) / 100,
    };
    const observation = {attempt: request.attempt, measuredAt: now, progress: 0.5, usage};
    recordDuration(this.#histograms.observe, () => {
      this.#placement.observe(observation, now);
    });
  }
}

/**
 * Fills the fleet to its target number of running tasks, then measures `steps` arrivals.
 *
 * @example
 * const figures = measureDecisions('learned', 6200, 20_000, 1);
 */
export function measureDecisions(
  policy: PlacementName,
  workers: number,
  steps: number,
  seed: number,
): DecisionFigures {
  const before = readHeapBytes();
  const placement = PLACEMENTS[policy]();
  addWorkers(placement, workers, 0 as Instant);
  const histograms = {decide: build(), observe: build(), release: build()};
  const run = new DecisionRun(placement, seed, histograms);
  const target = workers * TASKS_PER_WORKER;
  for (let step = 0; step < target * 1.5; step += 1) {
    run.step(target);
  }
  const heap = readHeapBytes() - before;
  for (const histogram of Object.values(histograms)) {
    histogram.reset();
  }
  const placedBefore = run.placed;
  for (let step = 0; step < steps; step += 1) {
    run.step(target);
  }
  return {
    decideP50Us: histograms.decide.getValueAtPercentile(50) / 1000,
    decideP99Us: histograms.decide.getValueAtPercentile(99) / 1000,
    heapBytesPerWorker: Math.round(heap / workers),
    observeP50Us: histograms.observe.getValueAtPercentile(50) / 1000,
    placedShare: (run.placed - placedBefore) / steps,
    policy,
    releaseP50Us: histograms.release.getValueAtPercentile(50) / 1000,
    workers,
  };
}
