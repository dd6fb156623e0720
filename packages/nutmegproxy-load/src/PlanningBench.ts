/** Measures rounds of planning of an overloaded owner at several fleet sizes and prints the results. */

import type {EventFields, EventKind, EventSink, Instant, WallTime} from '@nutmegproxy/core';
import type {PlanContext} from '@nutmegproxy/scheduling';

import {OwnerLoad, RoundLog, StartLimiter, StartThrottle} from '@nutmegproxy/owner';
import {countDeferrable, planStarts, PlanSweep} from '@nutmegproxy/scheduling';
import {createHash} from 'node:crypto';

import type {PlanningSize} from './PlanningLoad.ts';

import {PlanningLoad} from './PlanningLoad.ts';

const WORK = {openJobs: 60, runningTasks: 200, waitingTasks: 2_000};
const SIZES: readonly PlanningSize[] = [100, 300, 625].map((minions) => ({...WORK, minions}));
/** Deferrable starts that are allowed in a round. */
const ALLOWANCE = 10;
/** Simulated time in milliseconds between two rounds. */
const ROUND_INTERVAL_MS = 50;
/** Rounds before the measurement, in which the code gets warm and tasks have waited for long. */
const WARM_UP_ROUNDS = 1_000;
const ROUNDS = 600;
const BEGUN_AT = 100_000;
const DIGEST_LENGTH = 12;

/** Options of the planning benchmark. */
export interface PlanningOptions {
  readonly json: boolean;
  readonly seed: number;
  readonly seeds: number;
}

/** Means of all rounds, in microseconds of processor time. */
export interface PlanningFigures {
  /** Digest of the starts and events; equal where all rounds have decided alike. */
  readonly digest: string;
  readonly logUs: number;
  readonly minions: number;
  readonly planUs: number;
  /** Planning and its log. */
  readonly roundUs: number;
  readonly seed: number;
  readonly startsPerRound: number;
  /** Planning and its log for each start. */
  readonly startUs: number;
}

/** Keeps the events of a round. */
class RoundEvents implements EventSink {
  readonly #events: (readonly [EventKind, EventFields])[] = [];

  record(kind: EventKind, fields: EventFields): void {
    this.#events.push([kind, fields]);
  }

  /** Returns the events since the last call. */
  take(): readonly (readonly [EventKind, EventFields])[] {
    return this.#events.splice(0);
  }
}

/** Returns the processor time of this process; other processes on the machine prolong it less than the real time. */
function readCpuMs(): number {
  const {system, user} = process.cpuUsage();
  return (system + user) / 1_000;
}

function createRoundLog({fleet, sharing}: PlanningLoad): RoundLog {
  const noTime = {active: 0, idle: 0};
  const readLoop = (): typeof noTime => noTime;
  return new RoundLog({
    events: fleet.events,
    fleet,
    load: new OwnerLoad(readLoop),
    minions: {
      computeDirectoryAge: () => 0,
      recovery: {describe: () => ({}), findRemainingMs: () => 0},
    },
    orders: {describe: () => ({})},
    ownership: {requestedAt: BEGUN_AT as Instant, term: 1},
    pollLimiter: {eventFields: {}},
    sharing,
    startLimiter: new StartLimiter(),
    startThrottle: new StartThrottle(readLoop),
  });
}

/**
 * Plans rounds with an allowance of deferrable starts and returns the processor times that they take.
 *
 * @example
 * const {roundUs} = measurePlanning({minions: 100, openJobs: 60, runningTasks: 200, waitingTasks: 2_000}, 1);
 */
export function measurePlanning(size: PlanningSize, seed: number): PlanningFigures {
  const digest = createHash('sha256');
  const events = new RoundEvents();
  const load = new PlanningLoad(size, seed, events);
  const log = createRoundLog(load);
  const sweep = new PlanSweep();
  load.begin(BEGUN_AT as Instant, BEGUN_AT as WallTime);
  let logMs = 0;
  let planMs = 0;
  let starts = 0;
  for (let round = 1; round <= WARM_UP_ROUNDS + ROUNDS; round += 1) {
    const now = (BEGUN_AT + round * ROUND_INTERVAL_MS) as Instant;
    const wall = brandWall(now);
    load.advance(now, wall);
    events.take();
    const context: PlanContext = {
      advice: {isPermitted: () => true},
      deferrableStarts: ALLOWANCE,
      estimator: load.estimator,
      isTimeUp: () => false,
      now,
      sharingCosts: load.sharing,
      sweep,
      wall,
    };
    const beginMs = readCpuMs();
    const runs = planStarts(load.fleet, context);
    const plannedMs = readCpuMs();
    log.record({context, hold: undefined, now, starts: runs, wall});
    const endMs = readCpuMs();
    const placed = runs.map(({minion, number, task}) => ({minion, number, task}));
    digest.update(JSON.stringify([placed, events.take()]));
    if (round > WARM_UP_ROUNDS) {
      logMs += endMs - plannedMs;
      planMs += plannedMs - beginMs;
      starts += countDeferrable(load.fleet, runs);
    }
  }
  const us = (ms: number, count = ROUNDS): number => Math.round((ms * 10_000) / count) / 10;
  return {
    digest: digest.digest('hex').slice(0, DIGEST_LENGTH),
    logUs: us(logMs),
    minions: size.minions,
    planUs: us(planMs),
    roundUs: us(planMs + logMs),
    seed,
    startsPerRound: Math.round((10 * starts) / ROUNDS) / 10,
    startUs: us(planMs + logMs, Math.max(1, starts)),
  };
}

/** The wall clock of the simulated owner shows the same as its monotonic clock. */
function brandWall(now: Instant): WallTime {
  return Number(now) as WallTime;
}

/** Measures each size once for each seed. */
export function runPlanning({json, seed, seeds}: PlanningOptions): void {
  const figures = SIZES.flatMap((size) =>
    Array.from({length: seeds}, (_, index) => measurePlanning(size, seed + index)),
  );
  if (json) {
    console.log(JSON.stringify({figures}));
  } else {
    console.table(figures);
  }
}
