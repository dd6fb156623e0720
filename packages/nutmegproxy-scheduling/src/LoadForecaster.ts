/**
 * The load of serving steps over time. The tasks of a step serve the same users, so they share one
 * load; users come and go in waves, so the load of the next seconds can be told from the last ones.
 * Each step's load is a mean with one wave, estimated by a Kalman filter. The period is common to all
 * steps: of some candidates the one counts whose filters foretold the reports best.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

/** Load of a serving task before it was seen, as a share of what it can serve. */
const PRIOR_MEAN_LOAD = 0.45;
/** Least load that is expected: a step at work is never quite idle. */
const MIN_LOAD = 0.01;
/** Variances of the mean and of both parts of the wave before a step was seen. */
const PRIOR_VARIANCES = [0.01, 0.03, 0.03] as const;
/** Variance of what a former owner left: its clock may differ, and its last record is seconds old. */
const IMPORTED_VARIANCE = 0.003;
/** Growth of each variance per second, so that old reports give way within some ten seconds. */
const VARIANCE_DRIFT_PER_S = 0.000_3;
/** Shortest period in milliseconds: shorter waves pass within a filling task. */
const MIN_PERIOD_MS = 8_000;
/** Ratio of neighbouring periods; within a memory of ten seconds, closer ones look the same. */
const PERIOD_RATIO = 1.1;
/** Number of candidate periods; the longest is 33 s, and a longer wave looks like a drifting mean. */
const PERIOD_COUNT = 16;
/** Weight of a report in a candidate's record; some thousand reports count. */
const LIKELIHOOD_SMOOTHING = 0.001;
/** Advantage in log-likelihood per report at which another period replaces the present one. */
const MIN_SWITCH_GAIN = 0.01;

/** A value that is expected, and its variance. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
}

/** What a report tells of a load: a value that grows with it. */
export interface LoadObservation {
  /** How much the value grows per unit of load. */
  readonly slope: number;
  readonly value: number;
  /** Variance of the reading for other causes than the load. */
  readonly variance: number;
}

/** A load's mean, its distance from the mean, and that distance a quarter of a period later. */
export type LoadRecord = readonly [mean: number, distance: number, quarterLater: number];

/** The loads that one owner leaves to the next. */
export interface LoadSnapshot {
  /** When the loads were so. */
  readonly at: WallTime;
  /** Number of the period that counted, among the candidates. */
  readonly period: number;
  /** By name of the step. */
  readonly steps: Readonly<Record<string, LoadRecord>>;
}

/** Mean and wave of one step's load, for one period. */
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

  /** The load's present course. */
  exportRecord(now: Instant): LoadRecord {
    const [mean = 0, cosine = 0, sine = 0] = this.#state;
    const [, x = 0, y = 0] = this.#basis(now);
    return [round(mean), round(cosine * x + sine * y), round(sine * x - cosine * y)];
  }

  /** Takes over the course that a load had at an instant. */
  importRecord([mean, distance, quarterLater]: LoadRecord, at: Instant): void {
    const [, x = 0, y = 0] = this.#basis(at);
    this.#state.splice(
      0,
      3,
      mean,
      distance * x - quarterLater * y,
      distance * y + quarterLater * x,
    );
    for (const [row, covariances] of this.#covariance.entries()) {
      covariances[row] = IMPORTED_VARIANCE;
    }
  }

  forecast(at: Instant): Estimate {
    const basis = this.#basis(at);
    const projected = this.#projectCovariance(basis);
    const mean = Math.min(1, Math.max(MIN_LOAD, dot(basis, this.#state)));
    // Rounding may leave a variance of nothing slightly below it.
    return {mean, variance: Math.max(0, dot(basis, projected))};
  }

  /** Takes a report in; returns the log-likelihood that it had. */
  update({slope, value, variance}: LoadObservation, now: Instant): number {
    this.#addDrift(now);
    const basis = this.#basis(now);
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

  #basis(at: Instant): readonly number[] {
    const angle = (2 * Math.PI * at) / this.#periodMs;
    return [1, Math.cos(angle), Math.sin(angle)];
  }

  #projectCovariance(basis: readonly number[]): number[] {
    return this.#covariance.map((row) => dot(row, basis));
  }
}

/** Loads of all serving steps. */
export class LoadForecaster {
  readonly #filters = new Map<StepState, LoadFilter[]>();
  /** What a former owner left, and the instant here at which it was so. */
  #imported: undefined | {readonly at: Instant; readonly snapshot: LoadSnapshot};
  #selected = Math.floor(PERIOD_COUNT / 2);
  /** Log-likelihood per report that each candidate period had of late. */
  readonly #logLikelihoods: number[] = Array.from({length: PERIOD_COUNT}, () => 0);

  /** The load of a step at an instant, also a later one. */
  forecast(step: StepState, at: Instant): Estimate {
    const filter = this.#filters.get(step)?.[this.#selected];
    return filter?.forecast(at) ?? {mean: PRIOR_MEAN_LOAD, variance: PRIOR_VARIANCES[0]};
  }

  /** What the next owner may take over; forgets the steps that are over. */
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

  /** Takes over what a former owner left. */
  import(snapshot: LoadSnapshot, now: Instant, wall: WallTime): void {
    this.#imported = {at: (now - (wall - snapshot.at)) as Instant, snapshot: snapshot};
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

  /** The period that counts at present, in milliseconds. */
  get periodMs(): number {
    return periodMs(this.#selected);
  }

  #createFilters(step: StepState, now: Instant): LoadFilter[] {
    const filters = this.#logLikelihoods.map((_, index) => new LoadFilter(periodMs(index), now));
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

function periodMs(index: number): number {
  return MIN_PERIOD_MS * PERIOD_RATIO ** index;
}
