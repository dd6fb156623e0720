/**
 * The load of serving steps over time. The tasks of a step serve the same users, so they share one
 * load; users come and go in waves, so the load of the next seconds can be told from the last ones.
 * Each step's load is a mean with one wave, estimated by a Kalman filter. The period is common to all
 * steps: of some candidates the one counts whose filters foretold the reports best.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

/** Load of a serving task before it was seen, as a share of what it can serve. */
const PRIOR_MEAN = 0.45;
/** Least load that is expected: a step at work is never quite idle. */
const LEAST_LOAD = 0.01;
/** Variances of the mean and of both parts of the wave before a step was seen. */
const PRIOR_VARIANCES = [0.01, 0.03, 0.03] as const;
/** Variance of what a former owner left: its clock may differ, and its last record is seconds old. */
const ADOPTED_VARIANCE = 0.003;
/** Growth of each variance per second, so that old reports give way within some ten seconds. */
const DRIFT_PER_S = 0.000_3;
/** Shortest period in milliseconds: shorter waves pass within a filling task. */
const SHORTEST_PERIOD_MS = 8_000;
/** Ratio of neighbouring periods; within a memory of ten seconds, closer ones look the same. */
const PERIOD_RATIO = 1.1;
/** Number of candidate periods; the longest is 33 s, and a longer wave looks like a drifting mean. */
const PERIODS = 16;
/** Weight of a report in a candidate's record; some thousand reports count. */
const RECORD_RATE = 0.001;
/** Advantage in log-likelihood per report at which another period replaces the present one. */
const SWITCH_ADVANTAGE = 0.01;

/** A value that is expected, and its variance. */
export interface Expectation {
  readonly mean: number;
  readonly variance: number;
}

/** What a report tells of a load: a value that grows with it. */
export interface LoadReport {
  /** How much the value grows per unit of load. */
  readonly slope: number;
  readonly value: number;
  /** Variance of the reading for other causes than the load. */
  readonly variance: number;
}

/** A load's mean, its distance from the mean, and that distance a quarter of a period later. */
export type WaveRecord = readonly [mean: number, distance: number, quarterLater: number];

/** The loads that one owner leaves to the next. */
export interface WaveKnowledge {
  /** When the loads were so. */
  readonly at: WallTime;
  /** Number of the period that counted, among the candidates. */
  readonly period: number;
  /** By name of the step. */
  readonly steps: Readonly<Record<string, WaveRecord>>;
}

/** Mean and wave of one step's load, for one period. */
class WaveFilter {
  readonly #covariance: number[][] = PRIOR_VARIANCES.map((variance, row) =>
    PRIOR_VARIANCES.map((_, column) => (row === column ? variance : 0)),
  );
  readonly #periodMs: number;
  readonly #state: number[] = [PRIOR_MEAN, 0, 0];
  #updatedAt: Instant;

  constructor(periodMs: number, now: Instant) {
    this.#periodMs = periodMs;
    this.#updatedAt = now;
  }

  /** The load's present course. */
  describe(now: Instant): WaveRecord {
    const [mean = 0, cosine = 0, sine = 0] = this.#state;
    const [, x = 0, y = 0] = this.#basis(now);
    return [round(mean), round(cosine * x + sine * y), round(sine * x - cosine * y)];
  }

  /** Takes over the course that a load had at an instant. */
  adopt([mean, distance, quarterLater]: WaveRecord, at: Instant): void {
    const [, x = 0, y = 0] = this.#basis(at);
    this.#state.splice(
      0,
      3,
      mean,
      distance * x - quarterLater * y,
      distance * y + quarterLater * x,
    );
    for (const [row, covariances] of this.#covariance.entries()) {
      covariances[row] = ADOPTED_VARIANCE;
    }
  }

  forecast(at: Instant): Expectation {
    const basis = this.#basis(at);
    const spread = this.#spread(basis);
    const mean = Math.min(1, Math.max(LEAST_LOAD, dot(basis, this.#state)));
    // Rounding may leave a variance of nothing slightly below it.
    return {mean, variance: Math.max(0, dot(basis, spread))};
  }

  /** Takes a report in; returns the log-likelihood that it had. */
  learn({slope, value, variance}: LoadReport, now: Instant): number {
    this.#age(now);
    const basis = this.#basis(now);
    const spread = this.#spread(basis);
    const total = slope ** 2 * Math.max(0, dot(basis, spread)) + variance;
    const error = value - slope * dot(basis, this.#state);
    const gains = spread.map((each) => (slope * each) / total);
    for (const [row, gain] of gains.entries()) {
      this.#state[row] = (this.#state[row] ?? 0) + gain * error;
      const covariances = this.#covariance[row] ?? [];
      for (const [column, each] of spread.entries()) {
        covariances[column] = (covariances[column] ?? 0) - gain * slope * each;
      }
    }
    return -(error ** 2 / total + Math.log(total)) / 2;
  }

  #age(now: Instant): void {
    const grown = (Math.max(0, now - this.#updatedAt) / 1000) * DRIFT_PER_S;
    this.#updatedAt = now;
    for (const [row, prior] of PRIOR_VARIANCES.entries()) {
      const covariances = this.#covariance[row] ?? [];
      covariances[row] = Math.min(prior, (covariances[row] ?? 0) + grown);
    }
  }

  #basis(at: Instant): readonly number[] {
    const angle = (2 * Math.PI * at) / this.#periodMs;
    return [1, Math.cos(angle), Math.sin(angle)];
  }

  #spread(basis: readonly number[]): number[] {
    return this.#covariance.map((row) => dot(row, basis));
  }
}

/** Loads of all serving steps. */
export class LoadWaves {
  readonly #filters = new Map<StepState, WaveFilter[]>();
  /** What a former owner left, and the instant here at which it was so. */
  #former: undefined | {readonly at: Instant; readonly knowledge: WaveKnowledge};
  #chosen = Math.floor(PERIODS / 2);
  /** Log-likelihood per report that each candidate period had of late. */
  readonly #records: number[] = Array.from({length: PERIODS}, () => 0);

  /** The load of a step at an instant, also a later one. */
  forecast(step: StepState, at: Instant): Expectation {
    const filter = this.#filters.get(step)?.[this.#chosen];
    return filter?.forecast(at) ?? {mean: PRIOR_MEAN, variance: PRIOR_VARIANCES[0]};
  }

  /** What the next owner may take over; forgets the steps that are over. */
  export(now: Instant, wall: WallTime): WaveKnowledge {
    const steps: Record<string, WaveRecord> = {};
    for (const [step, filters] of this.#filters) {
      const filter = filters[this.#chosen];
      if (step.job.isFinal || filter === undefined) {
        this.#filters.delete(step);
      } else {
        steps[formatStepName(step)] = filter.describe(now);
      }
    }
    return {at: wall, period: this.#chosen, steps};
  }

  /** Takes over what a former owner left. */
  import(knowledge: WaveKnowledge, now: Instant, wall: WallTime): void {
    this.#former = {at: (now - (wall - knowledge.at)) as Instant, knowledge};
    if (knowledge.period < PERIODS) {
      this.#chosen = knowledge.period;
      this.#records[this.#chosen] = SWITCH_ADVANTAGE;
    }
  }

  learn(step: StepState, report: LoadReport, now: Instant): void {
    const filters = this.#filters.get(step) ?? this.#open(step, now);
    for (const [index, filter] of filters.entries()) {
      const record = this.#records[index] ?? 0;
      this.#records[index] = record + RECORD_RATE * (filter.learn(report, now) - record);
    }
    const best = this.#records.indexOf(Math.max(...this.#records));
    if ((this.#records[best] ?? 0) > (this.#records[this.#chosen] ?? 0) + SWITCH_ADVANTAGE) {
      this.#chosen = best;
    }
  }

  /** The period that counts at present, in milliseconds. */
  get periodMs(): number {
    return periodMs(this.#chosen);
  }

  #open(step: StepState, now: Instant): WaveFilter[] {
    const filters = this.#records.map((_, index) => new WaveFilter(periodMs(index), now));
    const record = this.#former?.knowledge.steps[formatStepName(step)];
    if (record !== undefined && this.#former !== undefined) {
      filters[this.#former.knowledge.period]?.adopt(record, this.#former.at);
    }
    this.#filters.set(step, filters);
    return filters;
  }
}

function dot(a: readonly number[], b: readonly number[]): number {
  return a.reduce((sum, each, index) => sum + each * (b[index] ?? 0), 0);
}

function formatStepName({job, number, occurrence}: StepState): string {
  return `${job.id}.${occurrence}.${number}`;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

function periodMs(index: number): number {
  return SHORTEST_PERIOD_MS * PERIOD_RATIO ** index;
}
