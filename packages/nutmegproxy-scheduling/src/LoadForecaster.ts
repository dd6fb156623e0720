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
/** Variances of the mean and of the amplitudes of cosine and sine for a step without reports. */
const PRIOR_VARIANCES = {amplitude: 0.03, mean: 0.01};
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
/** The candidate periods in milliseconds. */
const PERIODS_MS = Array.from(
  {length: PERIOD_COUNT},
  (_, index) => MIN_PERIOD_MS * PERIOD_RATIO ** index,
);
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

/** Cosine and sine of a period's wave at an instant. */
export interface WavePhase {
  readonly cosine: number;
  readonly sine: number;
}

function computePhase(periodMs: number, at: Instant): WavePhase {
  const angle = (2 * Math.PI * at) / periodMs;
  return {cosine: Math.cos(angle), sine: Math.sin(angle)};
}

/**
 * Kalman filter of one step's load with a given period. Its state is the mean and the amplitudes of
 * cosine and sine. A listing updates the filters of all its serving steps, so the three dimensions
 * are written out, without arrays.
 */
class LoadFilter {
  #mean = PRIOR_MEAN_LOAD;
  #cosine = 0;
  #sine = 0;
  /** Covariance of mean, cosine and sine; it is symmetric. */
  #meanVariance = PRIOR_VARIANCES.mean;
  #cosineVariance = PRIOR_VARIANCES.amplitude;
  #sineVariance = PRIOR_VARIANCES.amplitude;
  #meanCosine = 0;
  #meanSine = 0;
  #cosineSine = 0;
  #updatedAt: Instant;

  constructor(now: Instant) {
    this.#updatedAt = now;
  }

  /** Returns the load at an instant in a form that doesn't depend on the clock. */
  exportRecord({cosine, sine}: WavePhase): LoadRecord {
    return [
      round(this.#mean),
      round(this.#cosine * cosine + this.#sine * sine),
      round(this.#sine * cosine - this.#cosine * sine),
    ];
  }

  /** Sets the state from a record of the load at an instant. */
  importRecord([mean, deviation, quarterLater]: LoadRecord, {cosine, sine}: WavePhase): void {
    this.#mean = mean;
    this.#cosine = deviation * cosine - quarterLater * sine;
    this.#sine = deviation * sine + quarterLater * cosine;
    this.#meanVariance = IMPORTED_VARIANCE;
    this.#cosineVariance = IMPORTED_VARIANCE;
    this.#sineVariance = IMPORTED_VARIANCE;
    this.#meanCosine = 0;
    this.#meanSine = 0;
    this.#cosineSine = 0;
  }

  forecast({cosine, sine}: WavePhase): Estimate {
    const mean = this.#mean + this.#cosine * cosine + this.#sine * sine;
    const variance =
      this.#projectMean(cosine, sine) +
      cosine * this.#projectCosine(cosine, sine) +
      sine * this.#projectSine(cosine, sine);
    // Rounding errors may make a variance of zero slightly negative.
    return {mean: Math.min(1, Math.max(MIN_LOAD, mean)), variance: Math.max(0, variance)};
  }

  /** Updates the state with an observation; returns the observation's log-likelihood. */
  update(
    {slope, value, variance}: LoadObservation,
    {cosine, sine}: WavePhase,
    now: Instant,
  ): number {
    this.#addDrift(now);
    const mean = this.#projectMean(cosine, sine);
    const cosineShare = this.#projectCosine(cosine, sine);
    const sineShare = this.#projectSine(cosine, sine);
    const projected = Math.max(0, mean + cosine * cosineShare + sine * sineShare);
    const total = slope ** 2 * projected + variance;
    const expected = this.#mean + this.#cosine * cosine + this.#sine * sine;
    const residual = value - slope * expected;
    const gain = (slope * residual) / total;
    this.#mean += gain * mean;
    this.#cosine += gain * cosineShare;
    this.#sine += gain * sineShare;
    const reduction = slope ** 2 / total;
    this.#meanVariance -= reduction * mean ** 2;
    this.#cosineVariance -= reduction * cosineShare ** 2;
    this.#sineVariance -= reduction * sineShare ** 2;
    this.#meanCosine -= reduction * mean * cosineShare;
    this.#meanSine -= reduction * mean * sineShare;
    this.#cosineSine -= reduction * cosineShare * sineShare;
    return -(residual ** 2 / total + Math.log(total)) / 2;
  }

  #addDrift(now: Instant): void {
    const drift = (Math.max(0, now - this.#updatedAt) / 1000) * VARIANCE_DRIFT_PER_S;
    const {amplitude, mean} = PRIOR_VARIANCES;
    this.#updatedAt = now;
    this.#meanVariance = Math.min(mean, this.#meanVariance + drift);
    this.#cosineVariance = Math.min(amplitude, this.#cosineVariance + drift);
    this.#sineVariance = Math.min(amplitude, this.#sineVariance + drift);
  }

  /** The covariance's row of the mean, multiplied with the basis (1, cosine, sine). */
  #projectMean(cosine: number, sine: number): number {
    return this.#meanVariance + this.#meanCosine * cosine + this.#meanSine * sine;
  }

  #projectCosine(cosine: number, sine: number): number {
    return this.#meanCosine + this.#cosineVariance * cosine + this.#cosineSine * sine;
  }

  #projectSine(cosine: number, sine: number): number {
    return this.#meanSine + this.#cosineSine * cosine + this.#sineVariance * sine;
  }
}

/** Forecasts the loads of all serving steps. */
export class LoadForecaster {
  readonly #filters = new Map<StepState, LoadFilter[]>();
  /** Snapshot of a former owner, and when it was exported on this process's clock. */
  #imported: undefined | {readonly at: Instant; readonly snapshot: LoadSnapshot};
  /** Phases at the instant of the last reports. */
  #phases: undefined | {readonly at: Instant; readonly phases: readonly WavePhase[]};
  #selected = Math.floor(PERIOD_COUNT / 2);
  /** Moving average of the log-likelihood per report, for each candidate period. */
  readonly #logLikelihoods: number[] = Array.from({length: PERIOD_COUNT}, () => 0);

  /** Returns the expected load of a step at an instant, which may be in the future. */
  forecast(step: StepState, at: Instant): Estimate {
    return this.forecastPhase(step, this.computePhase(at));
  }

  /** Returns the phase of the selected period at an instant, for the forecasts of several steps. */
  computePhase(at: Instant): WavePhase {
    return computePhase(this.periodMs, at);
  }

  /** Returns the expected load of a step at the instant of a phase of the selected period. */
  forecastPhase(step: StepState, phase: WavePhase): Estimate {
    const filter = this.#filters.get(step)?.[this.#selected];
    return filter?.forecast(phase) ?? {mean: PRIOR_MEAN_LOAD, variance: PRIOR_VARIANCES.mean};
  }

  /** Returns a snapshot for the next owner; removes the steps of jobs that are over. */
  export(now: Instant, wall: WallTime): LoadSnapshot {
    const steps: Record<string, LoadRecord> = {};
    const phase = computePhase(this.periodMs, now);
    for (const [step, filters] of this.#filters) {
      const filter = filters[this.#selected];
      if (step.job.isFinal || filter === undefined) {
        this.#filters.delete(step);
      } else {
        steps[formatStepKey(step)] = filter.exportRecord(phase);
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
    const phases = this.#listPhases(now);
    for (let index = 0; index < PERIOD_COUNT; index += 1) {
      const filter = filters[index];
      const phase = phases[index];
      if (filter !== undefined && phase !== undefined) {
        const average = this.#logLikelihoods[index] ?? 0;
        const likelihood = filter.update(observation, phase, now);
        this.#logLikelihoods[index] = average + LIKELIHOOD_SMOOTHING * (likelihood - average);
      }
    }
    this.#selectPeriod();
  }

  /** The selected period, in milliseconds. */
  get periodMs(): number {
    return PERIODS_MS[this.#selected] ?? MIN_PERIOD_MS;
  }

  #createFilters(step: StepState, now: Instant): LoadFilter[] {
    const filters = this.#logLikelihoods.map(() => new LoadFilter(now));
    const record = this.#imported?.snapshot.steps[formatStepKey(step)];
    if (record !== undefined && this.#imported !== undefined) {
      const {at, snapshot} = this.#imported;
      const periodMs = PERIODS_MS[snapshot.period];
      if (periodMs !== undefined) {
        filters[snapshot.period]?.importRecord(record, computePhase(periodMs, at));
      }
    }
    this.#filters.set(step, filters);
    return filters;
  }

  /** Returns the phases of all candidate periods, computed once for the reports of an instant. */
  #listPhases(now: Instant): readonly WavePhase[] {
    if (this.#phases?.at !== now) {
      const phases = PERIODS_MS.map((periodMs) => computePhase(periodMs, now));
      this.#phases = {at: now, phases};
    }
    return this.#phases.phases;
  }

  /** Selects the period with the highest likelihood if it is clearly higher. */
  #selectPeriod(): void {
    let best = this.#selected;
    for (let index = 0; index < PERIOD_COUNT; index += 1) {
      if ((this.#logLikelihoods[index] ?? 0) > (this.#logLikelihoods[best] ?? 0)) {
        best = index;
      }
    }
    const gain = (this.#logLikelihoods[best] ?? 0) - (this.#logLikelihoods[this.#selected] ?? 0);
    if (gain > MIN_SWITCH_GAIN) {
      this.#selected = best;
    }
  }
}

function formatStepKey({job, number, occurrence}: StepState): string {
  return `${job.id}.${occurrence}.${number}`;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
