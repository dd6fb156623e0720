/**
 * The seeded state of a fleet whose owner is overloaded: lasting tasks reserve most of it, and much more
 * deferrable work waits than the owner starts. Runs end and minions report while rounds are planned.
 */

import type {
  DataCentreId,
  EventSink,
  Instant,
  JobId,
  MinionId,
  RackId,
  WallTime,
} from '@nutmegproxy/core';
import type {QueueId, Run, ServiceId, StepShape, StepState} from '@nutmegproxy/jobs';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {brand, DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {
  DEFAULT_LEASE_TIMES,
  DurationEstimator,
  Fleet,
  MinionState,
  SharingPolicy,
} from '@nutmegproxy/scheduling';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {createShape} from './StepShapes.ts';

/** Size of a benchmark case. */
export interface PlanningSize {
  readonly minions: number;
  /** Open jobs with waiting tasks. */
  readonly openJobs: number;
  readonly runningTasks: number;
  readonly waitingTasks: number;
}

const SERVICE = brand<ServiceId>('mesa');
const LASTING = brand<QueueId>('lasting');
const FILLING = brand<QueueId>('filling');
const PRIORITIES: ReadonlyMap<QueueId, number> = new Map([
  [FILLING, 2],
  [LASTING, 1],
]);
const MINIONS_PER_RACK = 12;
const MINION_CAPACITY = {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000};
const LASTING_TASKS_PER_JOB = 24;
const LASTING_TASKS_PER_MINION = 4;
const LASTING_CPU_MILLI = {max: 3_500, min: 2_000};
const FILLING_CPU_MILLI = {max: 2_600, min: 1_000};
const FILLING_MS = {max: 3_500, min: 800};
const MEMORY_MB = {max: 6_000, min: 1_500};
const IMAGES = 30;
const TAIL_TARGET_MS = 50;
/** Tail latencies of lasting tasks, and their changes from one report to the next, in milliseconds. */
const TAIL_MS = {max: 44, min: 14};
const TAIL_CHANGE_MS = 4;
/** Share of the jobs, in percent, that have a second step after the first. */
const CHAINED_PERCENT = 40;
/** Time in milliseconds within which the first jobs were accepted. */
const ACCEPTED_WITHIN_MS = 12_000;
/** One of so many minions reports between two rounds. */
const REPORTING_MINIONS = 8;

interface Range {
  readonly max: number;
  readonly min: number;
}

/**
 * @example
 * const load = new PlanningLoad(size, 1, events);
 * load.advance(now, wall);
 * planStarts(load.fleet, {estimator: load.estimator, sharingCosts: load.sharing, ...});
 */
export class PlanningLoad {
  readonly estimator = new DurationEstimator(DEFAULT_PLATFORM_BOUNDS);
  readonly fleet: Fleet;
  readonly sharing = new SharingPolicy(this.estimator, DEFAULT_PLATFORM_BOUNDS);
  #jobs = 0;
  readonly #random: RandomGenerator;
  #rounds = 0;
  readonly #size: PlanningSize;

  constructor(size: PlanningSize, seed: number, events: EventSink) {
    this.#random = xoroshiro128plus(seed);
    this.#size = size;
    this.fleet = new Fleet(events);
    for (const [id, priority] of PRIORITIES) {
      const policy = {advice: undefined, maxAttempts: 3, priority, service: SERVICE};
      this.fleet.queues.set(id, {...policy, id, stretch: 2, targetDurationMs: 1_000});
    }
  }

  /** Adds the minions and all work as of an instant. */
  begin(now: Instant, wall: WallTime): void {
    for (let index = 0; index < this.#size.minions; index += 1) {
      this.#addMinion(index, now);
    }
    this.#addLastingRuns(now, wall);
    while (this.#listFillingRuns().length < this.#size.runningTasks) {
      const step = this.#addFillingJob(wall);
      for (const index of [...step.waiting].slice(0, 2)) {
        this.#run(step, index, this.#draw({max: this.#size.minions - 1, min: 0}), now);
      }
    }
    this.#refill(wall);
  }

  /** Ends runs beyond the number of running tasks, adds jobs in place of done ones and lets some minions report. */
  advance(now: Instant, wall: WallTime): void {
    this.#rounds += 1;
    const runs = this.#listFillingRuns();
    for (let excess = runs.length - this.#size.runningTasks; excess > 0; excess -= 1) {
      const [run] = runs.splice(this.#draw({max: runs.length - 1, min: 0}), 1);
      if (run !== undefined) {
        this.fleet.finishRun(run, 'done', undefined, now);
      }
    }
    // Stops and progress are not sent anywhere.
    this.fleet.pendingStops.length = 0;
    this.fleet.dirtyJobs.clear();
    this.#refill(wall);
    let index = this.#rounds;
    for (const minion of this.fleet.minions.values()) {
      index += 1;
      if (index % REPORTING_MINIONS === 0) {
        this.#report(minion, now);
      }
    }
  }

  #addMinion(index: number, now: Instant): void {
    const rack = brand<RackId>(`r${Math.floor(index / MINIONS_PER_RACK)}`);
    const minion = new MinionState(
      {
        address: `m${index}:1`,
        bornAt: 1,
        capacity: MINION_CAPACITY,
        dataCentre: brand<DataCentreId>('dc'),
        id: brand<MinionId>(`m${index}`),
        isDraining: false,
        labels: [rack],
        leavesInMs: undefined,
        machine: undefined,
        rack,
        service: SERVICE,
      },
      DEFAULT_LEASE_TIMES,
    );
    minion.leaseClock.observe(now, now);
    minion.hasReported = true;
    minion.isRegistered = true;
    this.fleet.minions.set(minion.id, minion);
  }

  #addLastingRuns(now: Instant, wall: WallTime): void {
    const tasks = this.#size.minions * LASTING_TASKS_PER_MINION;
    for (let task = 0; task < tasks; task += LASTING_TASKS_PER_JOB) {
      const count = Math.min(LASTING_TASKS_PER_JOB, tasks - task);
      const image = `lasting-${this.#draw({max: IMAGES, min: 1})}`;
      const resources = this.#drawResources(LASTING_CPU_MILLI);
      const shape = {count, image, longRunning: true, resources, tailTargetMs: TAIL_TARGET_MS};
      const step = this.#addJob(LASTING, [createShape(shape)], wall);
      for (let index = 0; index < count; index += 1) {
        this.#run(step, index, Math.floor((task + index) / LASTING_TASKS_PER_MINION), now);
      }
    }
  }

  /** Adds a job to the queue and returns its first step. */
  #addJob(queue: QueueId, steps: readonly StepShape[], acceptedAt: WallTime): StepState {
    this.#jobs += 1;
    const id = brand<JobId>(`job-${this.#jobs}`);
    const request = {acceptedAt, id, payload: '', queue, recurrence: undefined, service: SERVICE};
    const job = new JobState({...request, steps}, this.#jobs);
    this.fleet.jobs.set(id, job);
    const [step] = job.occurrence(0) ?? [];
    if (step === undefined) {
      throw new Error(`${id} has no steps`);
    }
    return step;
  }

  #addFillingJob(wall: WallTime): StepState {
    const perJob = Math.ceil(this.#size.waitingTasks / this.#size.openJobs);
    const createStep = (after: readonly number[]): StepShape =>
      createShape({
        after,
        checkpoints: true,
        count: perJob + this.#draw({max: perJob, min: 0}),
        estimateMs: this.#draw(FILLING_MS),
        fillsSpareCpu: true,
        image: `filling-${this.#draw({max: IMAGES, min: 1})}`,
        resources: this.#drawResources(FILLING_CPU_MILLI),
      });
    const isChained = this.#draw({max: 99, min: 0}) < CHAINED_PERCENT;
    const acceptedAt = (wall - this.#draw({max: ACCEPTED_WITHIN_MS, min: 0})) as WallTime;
    return this.#addJob(
      FILLING,
      [createStep([]), ...(isChained ? [createStep([0])] : [])],
      acceptedAt,
    );
  }

  #draw({max, min}: Range): number {
    return uniformInt(this.#random, min, max);
  }

  #drawResources(cpuMilli: Range): StepShape['resources'] {
    return {cpuMilli: this.#draw(cpuMilli), gpus: 0, memoryMb: this.#draw(MEMORY_MB)};
  }

  #listFillingRuns(): Run[] {
    return [...this.fleet.minions.values()].flatMap(({runs}) =>
      [...runs].filter(({step}) => step.shape.fillsSpareCpu),
    );
  }

  /** Adds jobs until enough tasks of enough jobs wait. */
  #refill(wall: WallTime): void {
    let jobs = 0;
    let tasks = 0;
    for (const job of this.fleet.jobs.open()) {
      const waiting = job.occurrence(0)?.find(({isDone}) => !isDone)?.waiting.size ?? 0;
      jobs += waiting > 0 ? 1 : 0;
      tasks += waiting;
    }
    while (jobs < this.#size.openJobs || tasks < this.#size.waitingTasks) {
      jobs += 1;
      tasks += this.#addFillingJob(wall).waiting.size;
    }
  }

  /** Reports changed readings of all runs of a minion. */
  #report(minion: MinionState, now: Instant): void {
    minion.lastAnswerAt = now;
    minion.leaseClock.observe(now, now);
    for (const run of minion.runs) {
      run.phase = 'running';
      run.confirmedAt ??= now;
      if (run.step.shape.longRunning) {
        const change = this.#draw({max: TAIL_CHANGE_MS, min: -TAIL_CHANGE_MS});
        run.percent = 100;
        run.reading = Math.min(TAIL_MS.max, Math.max(TAIL_MS.min, (run.reading ?? 0) + change));
      } else {
        run.reading = run.step.shape.resources.cpuMilli;
      }
    }
    this.sharing.model.observe(minion, now);
    this.sharing.evictInterferingRuns(this.fleet, minion, now);
  }

  #run(step: StepState, index: number, minion: number, now: Instant): void {
    const state = this.fleet.minions.get(brand<MinionId>(`m${minion}`));
    if (state !== undefined) {
      const run = this.fleet.startRun(step, index, state, now);
      run.reading = step.shape.longRunning ? this.#draw(TAIL_MS) : undefined;
    }
  }
}
