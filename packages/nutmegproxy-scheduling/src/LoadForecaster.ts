/**
 * Forecasts the load of serving steps. The tasks of a step serve the same users, so they share one
 * load. The number of users oscillates, so the load of the next seconds can be forecast from the
 * last ones. Each step's load is modeled as a mean plus one sine wave and estimated by a Kalman
 * filter. The period is common to all steps: of several candidate periods, the one is used whose
 * filters have forecast the reports with the highest likelihood.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

/** Expected load of a serving task without reports, as a share of what it can serve. */
const PRIOR_MEAN_LOAD = 0.45;
/** Lower bound on a forecast load: a running step is never completely idle. */
const MIN_LOAD = 0.01;
/** Variances of the mean and of the cosine and sine amplitudes for a step without reports. */
const PRIOR_VARIANCES = [0.01, 0.03, 0.03] as const;
/** Variance of an imported load, which is seconds old and from an owner whose clock may differ. */
const IMPORTED_VARIANCE = 0.003;
/** Growth of each variance per second; reports lose their weight within about ten seconds. */
const VARIANCE_DRIFT_PER_S = 0.000_3;
/** Shortest period in milliseconds: shorter waves are over within one backfill task. */
const MIN_PERIOD_MS = 8_000;
/** Ratio of neighboring periods; ten seconds of reports can't distinguish closer ones. */
const PERIOD_RATIO = 1.1;
/** Number of candidate periods; the longest is 33 s, and longer waves look like a drifting mean. */
const PERIOD_COUNT = 16;
/** Weight of a report in a candidate's average likelihood; about a thousand reports count. */
const LIKELIHOOD_SMOOTHING = 0.001;
/** Gain in log-likelihood per report at which another period replaces the selected one. */
const MIN_SWITCH_GAIN = 0.01;

/** Mean and variance of an estimated value. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
}

/** A measured value that depends linearly on a load. */
export interface LoadObservation {
  /** Growth of the value per unit of load. */
  readonly slope: number;
  readonly value: number;
  /** Variance of the value from causes other than the load. */
  readonly variance: number;
}

/** Mean of a load, its deviation from the mean, and its deviation a quarter of a period later. */
export type LoadRecord = readonly [mean: number, deviation: number, quarterLater: number];

/** Loads that one owner exports for the next. */
export interface LoadSnapshot {
  /** When the loads were exported. */
  readonly at: WallTime;
  /** Index of the selected period among the candidates. */
  readonly period: number;
  /** Loads by step key. */
  readonly steps: Readonly<Record<string, LoadRecord>>;
}

/** Kalman filter of one step's load with a given period. Its state is mean, cosine and sine. */
class LoadFilter {
  readonly #covariance: number[][] = PRIOR_VARIANCES.map((variance, row) =>
    PRIOR_VARIANCES.map((_, column) => (row === column ? variance : 0)),
  );
  readonly #periodMs: number;
  readonly #state: number[] = [PRIOR_MEAN_LOAD, 0, 0];
  #updatedAt: Instant;

  constructor(periodMs: number, now: Instant) {
    this.#periodMs = periodMs;
    this.#updatedAt = now;
  }

  /** Returns the load at an instant in a form that doesn't depend on the clock. */
  exportRecord(now: Instant): LoadRecord {
    const [mean = 0, cosine = 0, sine = 0] = this.#state;
    const [, x = 0, y = 0] = this.#computeBasis(now);
    return [round(mean), round(cosine * x + sine * y), round(sine * x - cosine * y)];
  }

  /** Sets the state from a record of the load at an instant. */
  importRecord([mean, deviation, quarterLater]: LoadRecord, at: Instant): void {
    const [, x = 0, y = 0] = this.#computeBasis(at);
    this.#state.splice(
      0,
      3,
      mean,
      deviation * x - quarterLater * y,
      deviation * y + quarterLater * x,
    );
    for (const [row, covariances] of this.#covariance.entries()) {
      covariances[row] = IMPORTED_VARIANCE;
    }
  }

  forecast(at: Instant): Estimate {
    const basis = this.#computeBasis(at);
    const projected = this.#projectCovariance(basis);
    const mean = Math.min(1, Math.max(MIN_LOAD, dot(basis, this.#state)));
    // Rounding errors may make a variance of zero slightly negative.
    return {mean, variance: Math.max(0, dot(basis, projected))};
  }

  /** Updates the state with an observation; returns the observation's log-likelihood. */
  update({slope, value, variance}: LoadObservation, now: Instant): number {
    this.#addDrift(now);
    const basis = this.#computeBasis(now);
    const projected = this.#projectCovariance(basis);
    const total = slope ** 2 * Math.max(0, dot(basis, projected)) + variance;
    const residual = value - slope * dot(basis, this.#state);
    const gains = projected.map((each) => (slope * each) / total);
    for (const [row, gain] of gains.entries()) {
      this.#state[row] = (this.#state[row] ?? 0) + gain * residual;
      const covariances = this.#covariance[row] ?? [];
      for (const [column, each] of projected.entries()) {
        covariances[column] = (covariances[column] ?? 0) - gain * slope * each;
      }
    }
    return -(residual ** 2 / total + Math.log(total)) / 2;
  }

  #addDrift(now: Instant): void {
    const drift = (Math.max(0, now - this.#updatedAt) / 1000) * VARIANCE_DRIFT_PER_S;
    this.#updatedAt = now;
    for (const [row, prior] of PRIOR_VARIANCES.entries()) {
      const covariances = this.#covariance[row] ?? [];
      covariances[row] = Math.min(prior, (covariances[row] ?? 0) + drift);
    }
  }

  #computeBasis(at: Instant): readonly number[] {
    const angle = (2 * Math.PI * at) / this.#periodMs;
    return [1, Math.cos(angle), Math.sin(angle)];
  }

  #projectCovariance(basis: readonly number[]): number[] {
    return this.#covariance.map((row) => dot(row, basis));
  }
}

/** Forecasts the loads of all serving steps. */
export class LoadForecaster {
  readonly #filters = new Map<StepState, LoadFilter[]>();
  /** Snapshot of a former owner, and when it was exported on this process's clock. */
  #imported: undefined | {readonly at: Instant; readonly snapshot: LoadSnapshot};
  #selected = Math.floor(PERIOD_COUNT / 2);
  /** Moving average of the log-likelihood per report, for each candidate period. */
  readonly #logLikelihoods: number[] = Array.from({length: PERIOD_COUNT}, () => 0);

  /** Returns the expected load of a step at an instant, which may be in the future. */
  forecast(step: StepState, at: Instant): Estimate {
    const filter = this.#filters.get(step)?.[this.#selected];
    return filter?.forecast(at) ?? {mean: PRIOR_MEAN_LOAD, variance: PRIOR_VARIANCES[0]};
  }

  /** Returns a snapshot for the next owner; removes the steps of jobs that are over. */
  export(now: Instant, wall: WallTime): LoadSnapshot {
    const steps: Record<string, LoadRecord> = {};
    for (const [step, filters] of this.#filters) {
      const filter = filters[this.#selected];
      if (step.job.isFinal || filter === undefined) {
        this.#filters.delete(step);
      } else {
        steps[formatStepKey(step)] = filter.exportRecord(now);
      }
    }
    return {at: wall, period: this.#selected, steps};
  }

  /** Imports the snapshot of a former owner. */
  import(snapshot: LoadSnapshot, now: Instant, wall: WallTime): void {
    this.#imported = {at: (now - (wall - snapshot.at)) as Instant, snapshot};
    if (snapshot.period < PERIOD_COUNT) {
      this.#selected = snapshot.period;
      this.#logLikelihoods[this.#selected] = MIN_SWITCH_GAIN;
    }
  }

  update(step: StepState, observation: LoadObservation, now: Instant): void {
    const filters = this.#filters.get(step) ?? this.#createFilters(step, now);
    for (const [index, filter] of filters.entries()) {
      const average = this.#logLikelihoods[index] ?? 0;
      this.#logLikelihoods[index] =
        average + LIKELIHOOD_SMOOTHING * (filter.update(observation, now) - average);
    }
    const best = this.#logLikelihoods.indexOf(Math.max(...this.#logLikelihoods));
    if (
      (this.#logLikelihoods[best] ?? 0) >
      (this.#logLikelihoods[this.#selected] ?? 0) + MIN_SWITCH_GAIN
    ) {
      this.#selected = best;
    }
  }

  /** The selected period, in milliseconds. */
  get periodMs(): number {
    return computePeriodMs(this.#selected);
  }

  #createFilters(step: StepState, now: Instant): LoadFilter[] {
    const filters = this.#logLikelihoods.map(
      (_, index) => new LoadFilter(computePeriodMs(index), now),
    );
    const record = this.#imported?.snapshot.steps[formatStepKey(step)];
    if (record !== undefined && this.#imported !== undefined) {
      filters[this.#imported.snapshot.period]?.importRecord(record, this.#imported.at);
    }
    this.#filters.set(step, filters);
    return filters;
  }
}

function dot(a: readonly number[], b: readonly number[]): number {
  return a.reduce((sum, each, index) => sum + each * (b[index] ?? 0), 0);
}

function formatStepKey({job, number, occurrence}: StepState): string {
  return `${job.id}.${occurrence}.${number}`;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

function computePeriodMs(index: number): number {
  return MIN_PERIOD_MS * PERIOD_RATIO ** index;
}
