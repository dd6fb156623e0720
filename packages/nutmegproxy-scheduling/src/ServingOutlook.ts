/**
 * Forecasts how close the serving tasks of minions come to their latency targets if a backfill task is added.
 * One planning round asks this for many minions and few backfill steps, so what depends on only one of the two is
 * computed once.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {Estimate, WavePhase} from './LoadForecaster.ts';
import type {MinionState} from './MinionState.ts';
import type {TailLatencyModel} from './TailLatencyModel.ts';

import {toReferenceCores} from './TailLatencyModel.ts';

/** Standard deviations added to a forecast load: it may rise earlier than forecast. */
const LOAD_MARGIN_DEVIATIONS = 0.5;
/** Standard deviations added to a pressure: an unknown pair of images may interfere strongly. */
const PRESSURE_MARGIN_DEVIATIONS = 0.5;
/** Number of intervals of a backfill task's duration at whose ends the load is forecast. */
const FORECAST_INTERVALS = 4;

/** Pressure without any backfill. */
const NO_PRESSURE: Estimate = {mean: 0, variance: 0};

/** A backfill task that may be added to a minion. */
export interface AddedBackfill {
  /** Cores, scaled to a minion of the reference size. */
  readonly cores: number;
  readonly durationMs: number;
  readonly image: string;
}

/** What the forecasts for all minions have in common. */
interface Outlook {
  readonly at: Instant;
  readonly durationMs: number;
  readonly image: string;
  readonly modelChanges: number;
  readonly phases: readonly WavePhase[];
}

/** A serving step on any number of minions. */
interface ServingStep {
  /** Pressure of one reference core of the outlook's image. */
  added: Estimate;
  /** Outlook that the values are of; undefined before the first. */
  outlook: Outlook | undefined;
  /** Highest load that is forecast while the backfill task runs, with a margin. */
  peakLoad: number;
  /** One of its runs, which share their load and their image. */
  readonly run: Run;
  utilizationAtTarget: number;
}

/** The serving steps on one minion. */
interface ServedSteps {
  readonly backfill: readonly Run[];
  /** Changes of the model's pairs as of which `pairs` are. */
  readonly pairChanges: number;
  /** Pressures of one core of each backfill run, by serving step; the model keeps them up to date. */
  readonly pairs: readonly (readonly Estimate[])[];
  /** Total pressures of the backfill runs on the serving steps. */
  readonly pressures: {mean: number; variance: number}[];
  /** As of when the pressures are. */
  pressuresAt: Instant;
  readonly runChanges: number;
  readonly steps: readonly ServingStep[];
}

/**
 * @example
 * const outlook = new ServingOutlook(new TailLatencyModel());
 * outlook.computeWorstShare(minion, {cores: 2, durationMs: 1_500, image: 'digest'}, 1, now); // 0.8
 */
export class ServingOutlook {
  readonly #model: TailLatencyModel;
  #outlook: Outlook | undefined;
  readonly #served = new WeakMap<MinionState, ServedSteps>();
  readonly #serving = new WeakMap<StepState, ServingStep>();

  constructor(model: TailLatencyModel) {
    this.#model = model;
  }

  /**
   * Returns the highest forecast utilization of the minion's serving tasks, as a share of the utilization at
   * their latency target; undefined when it exceeds `limit`.
   */
  computeWorstShare(
    minion: MinionState,
    backfill: AddedBackfill,
    limit: number,
    now: Instant,
  ): number | undefined {
    const outlook = this.#chooseOutlook(backfill, now);
    const {cores} = backfill;
    const {pressures, steps} = this.#findServed(minion, now);
    let worst = 0;
    for (let index = 0; index < steps.length; index += 1) {
      const serving = steps[index];
      const pressure = pressures[index] ?? NO_PRESSURE;
      if (serving === undefined) {
        continue;
      }
      if (serving.outlook !== outlook) {
        this.#forecast(serving, outlook);
      }
      const mean = pressure.mean + cores * serving.added.mean;
      const variance = pressure.variance + cores ** 2 * serving.added.variance;
      const total = mean + PRESSURE_MARGIN_DEVIATIONS * Math.sqrt(variance);
      // Without pressure, backfill doesn't affect the tail latency.
      const share = total <= 0 ? 0 : (serving.peakLoad * (1 + total)) / serving.utilizationAtTarget;
      if (share > limit) {
        return undefined;
      }
      worst = Math.max(worst, share);
    }
    return worst;
  }

  #chooseOutlook({durationMs, image}: AddedBackfill, now: Instant): Outlook {
    const known = this.#outlook;
    const {changes: modelChanges} = this.#model;
    const isCurrent = known?.at === now && known.modelChanges === modelChanges;
    if (isCurrent && known.image === image && known.durationMs === durationMs) {
      return known;
    }
    const instants = Array.from(
      {length: FORECAST_INTERVALS + 1},
      (_, index) => (now + (durationMs * index) / FORECAST_INTERVALS) as Instant,
    );
    const phases = this.#model.listPhases(instants);
    this.#outlook = {at: now, durationMs, image, modelChanges, phases};
    return this.#outlook;
  }

  /** Updates what is forecast for a serving step. */
  #forecast(serving: ServingStep, outlook: Outlook): void {
    const {run} = serving;
    let peakLoad = 0;
    for (const phase of outlook.phases) {
      const {mean, variance} = this.#model.forecastLoad(run, phase);
      peakLoad = Math.max(peakLoad, mean + LOAD_MARGIN_DEVIATIONS * Math.sqrt(variance));
    }
    serving.added = this.#model.estimatePressure(run, outlook.image);
    serving.outlook = outlook;
    serving.peakLoad = peakLoad;
    serving.utilizationAtTarget = this.#model.computeUtilizationAtTarget(run);
  }

  /** Returns the serving steps on a minion, with the pressures as of the round. */
  #findServed(minion: MinionState, now: Instant): ServedSteps {
    const {pairChanges} = this.#model;
    let served = this.#served.get(minion);
    if (served?.runChanges !== minion.runChanges || served.pairChanges !== pairChanges) {
      served = this.#listServed(minion);
      this.#served.set(minion, served);
    }
    if (served.pressuresAt !== now) {
      served.pressuresAt = now;
      updatePressures(served, minion);
    }
    return served;
  }

  #listServed({runChanges, runs}: MinionState): ServedSteps {
    const backfill: Run[] = [];
    const steps: ServingStep[] = [];
    for (const run of runs) {
      const {shape} = run.step;
      if (shape.fillsSpareCpu) {
        backfill.push(run);
      }
      const serving = shape.tailTargetMs === undefined ? undefined : this.#findServing(run);
      if (serving !== undefined && !steps.includes(serving)) {
        steps.push(serving);
      }
    }
    return {
      backfill,
      pairChanges: this.#model.pairChanges,
      pairs: steps.map((each) =>
        backfill.map(({step}) => this.#model.estimatePressure(each.run, step.shape.image ?? '')),
      ),
      pressures: steps.map(() => ({...NO_PRESSURE})),
      pressuresAt: -Infinity as Instant,
      runChanges,
      steps,
    };
  }

  #findServing(run: Run): ServingStep {
    const known = this.#serving.get(run.step);
    if (known !== undefined) {
      return known;
    }
    const serving = {
      added: NO_PRESSURE,
      outlook: undefined,
      peakLoad: 0,
      run,
      utilizationAtTarget: 1,
    };
    this.#serving.set(run.step, serving);
    return serving;
  }
}

/** Sums the pressures of the backfill runs by the processors that they use now. */
function updatePressures({backfill, pairs, pressures}: ServedSteps, minion: MinionState): void {
  for (const [index, total] of pressures.entries()) {
    const perCore = pairs[index] ?? [];
    total.mean = 0;
    total.variance = 0;
    for (let at = 0; at < backfill.length; at += 1) {
      const run = backfill[at];
      const {mean, variance} = perCore[at] ?? NO_PRESSURE;
      const cpuMilli = run?.reading ?? run?.step.shape.resources.cpuMilli ?? 0;
      const cores = toReferenceCores(cpuMilli, minion);
      total.mean += cores * mean;
      total.variance += cores ** 2 * variance;
    }
  }
}
