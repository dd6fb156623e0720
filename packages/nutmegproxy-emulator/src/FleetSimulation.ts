/**
 * Plays a load against the owner's decisions in simulated time, without a network: jobs arrive,
 * rounds of planning start and stop runs, and minions report the ends of runs after a delay.
 */

import type {Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionDescription, SharingCosts} from '@nutmegproxy/scheduling';

import {DEFAULT_PLATFORM_BOUNDS, SILENT_EVENTS} from '@nutmegproxy/core';
import {formatTaskName, JobState} from '@nutmegproxy/jobs';
import {
  countDeferrable,
  DEFAULT_LEASE_TIMES,
  DurationEstimator,
  findStep,
  Fleet,
  hasUrgentWork,
  MinionState,
  planStarts,
  PlanSweep,
  SharingPolicy,
} from '@nutmegproxy/scheduling';

import type {SimulatedOwnerTime} from './SimulatedOwnerTime.ts';
import type {SimulatedJob} from './Workload.ts';

import {Agenda} from './Agenda.ts';
import {SimulatedTailLatency} from './SimulatedTailLatency.ts';

/** Delay in milliseconds from a decision to the start of its run. */
const START_DELAY_MS = 10;
/** Delay in milliseconds from the end of a run to its report. */
const REPORT_DELAY_MS = 10;
/** Duration of a stop in milliseconds. */
const STOP_MS = 300;
/** Time in milliseconds that a run spends on loading its checkpoint. */
const RESTORE_MS = 600;
/** Time in milliseconds between two reports of a minion with serving tasks. */
const REPORT_INTERVAL_MS = 900;
/** Time in milliseconds between the listings of one minion and of the next one. */
const LISTING_PHASE_MS = 37;
/** Progress of a serving task that is at work. */
const WORKING_PERCENT = 100;

export interface FleetSimulationOptions {
  /** Replaces costs of placement, for a comparison of policies. */
  readonly createSharingCosts?: (policy: SharingPolicy) => SharingCosts;
  readonly durationMs: number;
  readonly jobs: readonly SimulatedJob[];
  /** Time in milliseconds from one listing of a minion to the next; absent for minions that list each end at once. */
  readonly listingIntervalMs?: number | undefined;
  readonly minions: readonly MinionDescription[];
  /** Processor time of the owner; absent for an owner that takes none. */
  readonly ownerTime?: SimulatedOwnerTime;
  /** Time in milliseconds from one round of planning to the next. */
  readonly roundMs: number;
  /** Seed of the phases of serving loads and of the pressures of image pairs. */
  readonly seed: number;
  /** Time in milliseconds from the sending of a start to its run; absent for the shortest one. */
  readonly startDelayMs?: number | undefined;
  /** Returns how many deferrable starts a round may make; absent when they are not limited. */
  readonly throttle?: {
    readonly getAllowance: (now: Instant, work: {readonly hasUrgentWork: boolean}) => number;
    /** Returns how many starts of all kinds a round may make. */
    readonly getRoom: (now: Instant) => number;
    readonly recordStarts: (count: number) => void;
  };
}

/** What the callers of one job saw; times in milliseconds of the simulation. */
export interface JobHistory {
  completedMs: number | undefined;
  readonly job: SimulatedJob;
  /** Time for which tasks of a long-running job were at work, summed over its tasks. */
  servedTaskMs: number;
  /** When runs of the job were at work on minions, in the order of their ends. */
  readonly spans: WorkSpan[];
}

/** Time in which a run was at work, in milliseconds of the simulation. */
export interface WorkSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface SimulationResult {
  readonly histories: readonly JobHistory[];
  /** Core-seconds of runs that were stopped without a checkpoint. */
  readonly lostCoreS: number;
  /** Time for which serving tasks exceeded their targets, in seconds. */
  readonly overTargetS: number;
  readonly rounds: number;
  readonly starts: number;
  readonly stops: number;
}

interface LiveRun {
  readonly durationMs: number;
  readonly run: Run;
  readonly startsMs: number;
}

export class FleetSimulation {
  readonly fleet = new Fleet(SILENT_EVENTS);
  readonly #agenda = new Agenda();
  readonly #estimator = new DurationEstimator(DEFAULT_PLATFORM_BOUNDS);
  readonly #histories = new Map<string, JobHistory>();
  /** Times in milliseconds that set the minions' listings apart. */
  readonly #listingOrder = new Map<MinionId, number>();
  readonly #live = new Map<Run, LiveRun>();
  readonly #options: FleetSimulationOptions;
  readonly #result = {lostCoreS: 0, overTargetS: 0, rounds: 0, starts: 0, stops: 0};
  readonly #saved = new Map<string, number>();
  readonly #sharing = new SharingPolicy(this.#estimator, DEFAULT_PLATFORM_BOUNDS);
  readonly #sharingCosts: SharingCosts;
  readonly #sweep = new PlanSweep();
  readonly #tails: SimulatedTailLatency;
  #nowMs = 0;

  constructor(options: FleetSimulationOptions) {
    this.#options = options;
    this.#sharingCosts = options.createSharingCosts?.(this.#sharing) ?? this.#sharing;
    this.#tails = new SimulatedTailLatency(options.seed);
    for (const [index, description] of options.minions.entries()) {
      this.#addMinion(description, index);
    }
    for (const job of options.jobs) {
      this.fleet.queues.set(job.jobClass.policy.id, job.jobClass.policy);
      this.#agenda.add(job.arrivesMs, () => {
        this.#submit(job);
      });
    }
  }

  run(): SimulationResult {
    const {durationMs, roundMs} = this.#options;
    for (; this.#nowMs < durationMs; this.#nowMs += roundMs) {
      this.#agenda.runUntil(this.#nowMs);
      this.#plan();
    }
    for (const live of this.#live.values()) {
      this.#countService(live, durationMs);
    }
    return {...this.#result, histories: [...this.#histories.values()]};
  }

  get #now(): Instant {
    return this.#nowMs as Instant;
  }

  /** Returns when a minion next lists its runs. */
  #findListingMs(minion: MinionId, fromMs: number): number {
    const {listingIntervalMs} = this.#options;
    if (listingIntervalMs === undefined) {
      return fromMs;
    }
    const phaseMs = (this.#listingOrder.get(minion) ?? 0) % listingIntervalMs;
    return phaseMs + Math.ceil((fromMs - phaseMs) / listingIntervalMs) * listingIntervalMs;
  }

  #addMinion(description: MinionDescription, index: number): void {
    const minion = new MinionState(description, DEFAULT_LEASE_TIMES);
    minion.isRegistered = true;
    minion.hasReported = true;
    minion.leaseClock.observe(0, 0 as Instant);
    this.fleet.minions.set(minion.id, minion);
    this.#listingOrder.set(minion.id, index * LISTING_PHASE_MS);
    this.#scheduleReport(minion.id, index % REPORT_INTERVAL_MS);
  }

  #scheduleReport(id: MinionId, atMs: number): void {
    this.#agenda.add(atMs, () => {
      const minion = this.fleet.minions.get(id);
      if (minion !== undefined) {
        this.#report(minion);
        this.#scheduleReport(id, atMs + REPORT_INTERVAL_MS);
      }
    });
  }

  /** Lets a minion report the tail latencies of its serving runs. */
  #report(minion: MinionState): void {
    if (minion.servingRuns === 0) {
      return;
    }
    const overTarget = this.#tails.report(minion, this.#now);
    this.#result.overTargetS += (overTarget * REPORT_INTERVAL_MS) / 1000;
    this.#sharing.model.observe(minion, this.#now);
    this.#sharing.evictInterferingRuns(this.fleet, minion, this.#now);
  }

  #submit(job: SimulatedJob): void {
    const state = new JobState(job.request, 1);
    this.fleet.jobs.set(state.id, state);
    this.#histories.set(state.id, {completedMs: undefined, job, servedTaskMs: 0, spans: []});
  }

  #plan(): void {
    this.#result.rounds += 1;
    const {throttle} = this.#options;
    const wall = this.#nowMs as WallTime;
    for (const minion of this.fleet.minions.values()) {
      this.#sharing.evictExpiredRuns(this.fleet, minion, this.#now);
    }
    const lastStart = this.fleet.plannedStarts + (throttle?.getRoom(this.#now) ?? Infinity);
    const starts = planStarts(this.fleet, {
      advice: {isPermitted: () => undefined},
      deferrableStarts:
        throttle?.getAllowance(this.#now, {
          hasUrgentWork: hasUrgentWork(this.fleet, this.#now, wall),
        }) ?? Infinity,
      estimator: this.#estimator,
      isTimeUp: () => this.fleet.plannedStarts >= lastStart,
      now: this.#now,
      sharingCosts: this.#sharingCosts,
      sweep: this.#sweep,
      wall,
    });
    throttle?.recordStarts(countDeferrable(this.fleet, starts));
    for (const run of starts) {
      this.#start(run);
    }
    for (const {minion, number, task} of this.fleet.pendingStops.splice(0)) {
      const runs = findStep(this.fleet, task)?.runsOf(task.index);
      const run = runs?.find((each) => each.number === number && each.minion === minion);
      if (run !== undefined) {
        this.#agenda.add(this.#nowMs + STOP_MS, () => {
          this.#stop(run);
        });
      }
    }
    this.#removeEndedJobs();
  }

  #removeEndedJobs(): void {
    for (const job of this.fleet.jobs.values()) {
      if (job.isFinal) {
        this.fleet.jobs.delete(job.id);
      }
    }
  }

  #start(run: Run): void {
    this.#result.starts += 1;
    const history = this.#histories.get(run.task.job);
    const workMs = history?.job.taskMs[run.task.step] ?? 0;
    const savedMs = this.#saved.get(formatTaskName(run.task)) ?? 0;
    const startsMs = this.#spendOwnerTime() + (this.#options.startDelayMs ?? START_DELAY_MS);
    const durationMs = workMs - savedMs + (savedMs > 0 ? RESTORE_MS : 0);
    this.#live.set(run, {durationMs, run, startsMs});
    this.#confirm(run, startsMs);
    const listedMs = this.#findListingMs(run.minion, startsMs + durationMs);
    const reportedMs = listedMs + REPORT_DELAY_MS;
    this.#agenda.add(reportedMs, () => {
      this.#agenda.add(this.#spendOwnerTime(reportedMs), () => {
        this.#finish(run);
      });
    });
  }

  /** Lets the minion confirm a start: at once, or when the run begins if starts are delayed. */
  #confirm(run: Run, startsMs: number): void {
    const {startDelayMs} = this.#options;
    const confirm = (): void => {
      run.phase = 'running';
      run.percent = run.step.shape.longRunning ? WORKING_PERCENT : 0;
      run.confirmedAt = startsMs as Instant;
    };
    this.#agenda.add(startsMs, () => {
      this.fleet.startDelay.recordConfirmed(run, startsMs as Instant);
    });
    if (startDelayMs === undefined) {
      confirm();
    } else {
      run.sentAt = (startsMs - startDelayMs) as Instant;
      this.#agenda.add(startsMs, () => {
        if (run.phase === 'starting') {
          confirm();
        }
      });
    }
  }

  /** Returns the time in milliseconds at which the owner has made or received a call. */
  #spendOwnerTime(nowMs = this.#nowMs): number {
    return this.#options.ownerTime?.spend(nowMs) ?? nowMs;
  }

  /** Ends a run on its minion; returns undefined when it has ended before. */
  #end(run: Run): LiveRun | undefined {
    const live = this.#live.get(run);
    if (live !== undefined) {
      this.#live.delete(run);
      this.#countService(live, this.#nowMs);
    }
    return live;
  }

  #finish(run: Run): void {
    const live = this.#end(run);
    if (live === undefined) {
      return;
    }
    const {job, shape} = run.step;
    const {startDelayMs} = this.#options;
    const measuredMs = startDelayMs === undefined ? live.durationMs : this.#nowMs - run.sentAt;
    this.#estimator.recordDuration(job.request.queue, shape, measuredMs);
    this.fleet.finishRun(run, 'done', undefined, this.#now);
    const history = this.#histories.get(job.id);
    if (job.isFinal && history !== undefined) {
      history.completedMs = this.#nowMs;
    }
  }

  #stop(run: Run): void {
    const live = this.#end(run);
    if (live === undefined) {
      return;
    }
    this.#result.stops += 1;
    const workedMs = Math.max(0, this.#nowMs - STOP_MS - live.startsMs);
    if (run.step.shape.checkpoints) {
      const task = formatTaskName(run.task);
      this.#saved.set(task, (this.#saved.get(task) ?? 0) + workedMs);
    } else {
      this.#result.lostCoreS += (workedMs * run.step.shape.resources.cpuMilli) / 1_000_000;
    }
    this.fleet.finishRun(run, 'stopped', undefined, this.#now);
  }

  #countService({durationMs, run, startsMs}: LiveRun, untilMs: number): void {
    const history = this.#histories.get(run.task.job);
    history?.spans.push({fromMs: startsMs, untilMs: Math.min(untilMs, startsMs + durationMs)});
    if (run.step.shape.longRunning && history !== undefined) {
      history.servedTaskMs += Math.max(0, untilMs - startsMs);
    }
  }
}
