/** Draws the jobs of a simulated load from a seed. */

import type {ServiceId, StepShape, StoredJob} from '@nutmegproxy/jobs';
import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {brand, type JobId, type WallTime} from '@nutmegproxy/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A value that is drawn from a lognormal distribution with this mean, and cut at `max`. */
export interface Spread {
  readonly max: number;
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly spread: number;
}

/** The jobs of one queue. */
export interface JobClass {
  /** Share of the steps of which a minion runs at most one task. */
  readonly apartShare: number;
  /** Share of the jobs whose tasks are backfill. */
  readonly backfillShare: number;
  readonly checkpoints: boolean;
  readonly cpuMilli: Spread;
  readonly durationMs: Spread;
  /** Number of images that the jobs of the class choose from. */
  readonly images: number;
  /** Jobs that are there from the start. */
  readonly initialJobs: number;
  readonly jobsPerS: number;
  readonly longRunning: boolean;
  readonly memoryMb: Spread;
  readonly policy: QueuePolicy;
  readonly steps: Spread;
  /** Target for the tail latency in milliseconds; undefined when the tasks have none. */
  readonly tailTargetMs: number | undefined;
  readonly tasks: Spread;
}

export interface SimulatedJob {
  readonly arrivesMs: number;
  readonly jobClass: JobClass;
  readonly request: StoredJob;
  /** Work of each step's tasks in milliseconds. */
  readonly taskMs: readonly number[];
}

export interface WorkloadOptions {
  readonly classes: readonly JobClass[];
  readonly durationMs: number;
  readonly seed: number;
  readonly service: ServiceId;
}

function drawNormal(random: RandomGenerator): number {
  const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(random)));
  return radius * Math.cos(2 * Math.PI * uniformFloat64(random));
}

function draw(random: RandomGenerator, {max, mean, spread}: Spread): number {
  const location = Math.log(mean) - spread ** 2 / 2;
  return Math.min(max, Math.exp(location + spread * drawNormal(random)));
}

function drawShape(
  random: RandomGenerator,
  jobClass: JobClass,
  step: number,
  estimateMs: number,
): StepShape {
  const {apartShare, checkpoints, cpuMilli, images, longRunning, memoryMb, tailTargetMs, tasks} =
    jobClass;
  const kind = longRunning ? 'serving' : 'batch';
  return {
    after: step === 0 ? [] : [step - 1],
    checkpoints,
    count: Math.max(1, Math.round(draw(random, tasks))),
    disruptionBudget: undefined,
    estimateMs,
    fillsSpareCpu: uniformFloat64(random) < jobClass.backfillShare,
    gang: false,
    image: `${kind}-${Math.floor(uniformFloat64(random) * images)}`,
    longRunning,
    maxPerMinion: uniformFloat64(random) < apartShare ? 1 : undefined,
    preferredRack: undefined,
    rackLocal: false,
    requiredLabel: undefined,
    resources: {
      cpuMilli: Math.round(draw(random, cpuMilli)),
      gpus: 0,
      memoryMb: Math.round(draw(random, memoryMb)),
    },
    speculative: false,
    tailTargetMs,
  };
}

class JobGenerator {
  #jobs = 0;
  readonly #random: RandomGenerator;
  readonly #service: ServiceId;

  constructor({seed, service}: WorkloadOptions) {
    this.#random = xoroshiro128plus(seed);
    this.#service = service;
  }

  create(jobClass: JobClass, arrivesMs: number): SimulatedJob {
    this.#jobs += 1;
    const count = Math.max(1, Math.round(draw(this.#random, jobClass.steps)));
    const taskMs = Array.from({length: count}, () => draw(this.#random, jobClass.durationMs));
    const steps = taskMs.map((each, step) => drawShape(this.#random, jobClass, step, each));
    const request: StoredJob = {
      acceptedAt: arrivesMs as WallTime,
      id: brand<JobId>(this.#jobs.toString(16).padStart(16, '0')),
      payload: '',
      queue: jobClass.policy.id,
      recurrence: undefined,
      service: this.#service,
      steps,
    };
    return {arrivesMs, jobClass, request, taskMs};
  }

  drawGapMs(jobsPerS: number): number {
    return (-Math.log(1 - uniformFloat64(this.#random)) * 1000) / jobsPerS;
  }
}

/**
 * Draws all jobs of a load in the order of their arrival; the same seed yields the same jobs.
 *
 * @example
 * const jobs = drawJobs({classes: LARGE_FLEET_CLASSES, durationMs: 30_000, seed: 7, service});
 */
export function drawJobs(options: WorkloadOptions): readonly SimulatedJob[] {
  const {classes, durationMs} = options;
  const generator = new JobGenerator(options);
  const jobs: SimulatedJob[] = [];
  for (const jobClass of classes) {
    for (let index = 0; index < jobClass.initialJobs; index += 1) {
      jobs.push(generator.create(jobClass, 0));
    }
    let atMs = generator.drawGapMs(jobClass.jobsPerS);
    while (atMs < durationMs) {
      jobs.push(generator.create(jobClass, atMs));
      atMs += generator.drawGapMs(jobClass.jobsPerS);
    }
  }
  return jobs.sort((a, b) => a.arrivesMs - b.arrivesMs);
}
