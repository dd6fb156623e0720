/**
 * Filling work beside serving work, for loads in which serving tasks reserve most of the fleet and
 * use half of it. A filling task goes where the tails beside it are expected to stay within their
 * bounds for as long as it runs. Where a tail passes its bound all the same, the filling task that
 * presses it most moves off.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepShape, StepState} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {type InterferingTask, TailLatencyModel, toReferenceCores} from './TailLatencyModel.ts';

/** Share of its bound up to which a utilization may be planned. */
const MAX_PLANNED_SHARE = 1;
/** Time in milliseconds that a step waits for a minion whose serving tasks bear it. */
const STRICT_LIMIT_WAIT_MS = 4_000;
/** Rise of the planned share with each second beyond that: a step that no minion bears still runs. */
const LIMIT_INCREASE_PER_S = 0.15;
/** Share of its bound at which a tail is acted upon; reports are half a second old. */
const EVICTION_THRESHOLD_SHARE = 0.95;
/** Standard deviations of a load that are added to the one expected: its users may come early. */
const LOAD_MARGIN_DEVIATIONS = 0.5;
/** The same for pressures: a pair of images that was never seen may disturb much. */
const PRESSURE_MARGIN_DEVIATIONS = 0.5;
/** Instants within a filling task's duration at which the load beside it is looked at. */
const FORECAST_INTERVALS = 4;
/** Time between two moves on one minion in milliseconds; a tail shows the effect after one look. */
const EVICTION_INTERVAL_MS = 600;
/**
 * Time in milliseconds after which no filling task stays beside a tail that is over its bound; with
 * a look and a stop it is well below the platform's bound on harm, 4 s.
 */
const EVICT_ALL_AFTER_MS = 1_500;
/** Cost of one unit of utilization beside unused processors, in thousandths of a core. */
const UTILIZATION_COST = 40_000;

/** Cost of another image among a minion's serving tasks, above that of an empty minion. */
const MIXED_IMAGES_COST = 30_000;

interface PeakLoad {
  readonly at: Instant;
  readonly durationMs: number;
  readonly load: number;
}

export class SharingPolicy {
  readonly model = new TailLatencyModel();
  readonly #estimator: DurationEstimator;
  readonly #lastEvictedAt = new WeakMap<MinionState, Instant>();
  /** The peak that was last expected for a step: one round of planning asks for it many times. */
  readonly #peaks = new WeakMap<StepState, PeakLoad>();
  readonly #nearTargetSince = new WeakMap<MinionState, Instant>();

  constructor(estimator: DurationEstimator) {
    this.#estimator = estimator;
  }

  /**
   * Cost of a filling task on a minion in thousandths of a core, beside the processors it uses;
   * undefined when it would press a tail over its bound.
   */
  backfillCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    if (minion.servingRuns === 0) {
      return 0;
    }
    const {shape} = step;
    const durationMs = this.#estimator.taskMs(step.job.request.queue, shape);
    const added = {
      cores: toReferenceCores(shape.resources.cpuMilli, minion),
      image: shape.image ?? '',
    };
    const interfering = [...this.model.listInterferingTasks(minion), added];
    const limit = chooseUtilizationLimit(now - (step.placedAt ?? step.readyAt ?? now));
    const checkedSteps = new Set<StepState>();
    let worst = 0;
    for (const serving of minion.runs) {
      // Tasks of one step share their load and their image.
      if (serving.step.shape.tailTargetMs === undefined || checkedSteps.has(serving.step)) {
        continue;
      }
      checkedSteps.add(serving.step);
      const load = this.#forecastPeakLoad(serving, durationMs, now);
      const share = this.#forecastUtilizationShare(serving, interfering, load);
      if (share > limit) {
        return undefined;
      }
      worst = Math.max(worst, share);
    }
    return worst * UTILIZATION_COST;
  }

  /** Cost of a serving task on a minion: other images among its serving tasks. */
  servingCost(minion: MinionState, shape: StepShape): number {
    const images = new Set<string | undefined>();
    for (const run of minion.runs) {
      if (run.step.shape.longRunning) {
        images.add(run.step.shape.image);
      }
    }
    // Minions of one image leave room beside them for every filling image that it bears.
    const otherImages = images.size - (images.has(shape.image) ? 1 : 0);
    return otherImages * MIXED_IMAGES_COST;
  }

  /** Whether a serving task of the minion is near or over its bound, so that it is watched closely. */
  isNearTarget(minion: MinionState): boolean {
    return this.#nearTargetSince.has(minion);
  }

  /**
   * Orders filling runs off a minion whose serving tasks are near or over their bounds: the one that
   * presses most, one after the other, and all of them once a tail has been over for long.
   */
  evictInterferingRuns(fleet: Fleet, minion: MinionState, now: Instant): void {
    const affected = findMostAffectedRun(minion);
    if (affected === undefined) {
      this.#nearTargetSince.delete(minion);
      return;
    }
    const since = this.#nearTargetSince.get(minion) ?? now;
    this.#nearTargetSince.set(minion, since);
    if (now - since >= EVICT_ALL_AFTER_MS) {
      for (const run of minion.runs) {
        if (run.step.shape.fillsSpareCpu) {
          fleet.stopRun(run, 'interference');
        }
      }
      return;
    }
    const isPaused = now - (this.#lastEvictedAt.get(minion) ?? -Infinity) < EVICTION_INTERVAL_MS;
    const interfering = isPaused ? undefined : this.#findWorstInterferingRun(minion, affected);
    if (interfering !== undefined) {
      this.#lastEvictedAt.set(minion, now);
      fleet.stopRun(interfering, 'interference');
    }
  }

  /** The filling run that presses a serving run most. */
  #findWorstInterferingRun(minion: MinionState, affected: Run): Run | undefined {
    let worst: Run | undefined;
    let worstPressure = 0;
    for (const run of minion.runs) {
      if (!run.step.shape.fillsSpareCpu || run.phase !== 'running') {
        continue;
      }
      const cores = toReferenceCores(run.reading ?? 0, minion);
      const pressure =
        cores * this.model.estimatePressure(affected, run.step.shape.image ?? '').mean;
      if (pressure > worstPressure) {
        worst = run;
        worstPressure = pressure;
      }
    }
    return worst;
  }

  /** Highest load of a serving run that is expected within a time, with a margin. */
  #forecastPeakLoad(serving: Run, durationMs: number, now: Instant): number {
    const known = this.#peaks.get(serving.step);
    if (known?.at === now && known.durationMs === durationMs) {
      return known.load;
    }
    let load = 0;
    for (let index = 0; index <= FORECAST_INTERVALS; index += 1) {
      const at = (now + (durationMs * index) / FORECAST_INTERVALS) as Instant;
      const {mean, variance} = this.model.forecastLoad(serving, at);
      load = Math.max(load, mean + LOAD_MARGIN_DEVIATIONS * Math.sqrt(variance));
    }
    this.#peaks.set(serving.step, {at: now, durationMs, load});
    return load;
  }

  /** Share of its bound that a serving run's utilization is expected to reach. */
  #forecastUtilizationShare(
    serving: Run,
    interfering: readonly InterferingTask[],
    load: number,
  ): number {
    const {mean, variance} = this.model.sumPressures(serving, interfering);
    const pressure = mean + PRESSURE_MARGIN_DEVIATIONS * Math.sqrt(variance);
    // Without pressure the tail is the serving task's own matter.
    return pressure <= 0
      ? 0
      : (load * (1 + pressure)) / this.model.computeUtilizationAtTarget(serving);
  }
}

/** The share of its bound that may be planned for a step that has waited for `waitedMs`. */
function chooseUtilizationLimit(waitedMs: number): number {
  return (
    MAX_PLANNED_SHARE +
    (Math.max(0, waitedMs - STRICT_LIMIT_WAIT_MS) / 1_000) * LIMIT_INCREASE_PER_S
  );
}

/** The serving run whose tail is furthest over the bound; undefined when all are within. */
function findMostAffectedRun(minion: MinionState): Run | undefined {
  let affected: Run | undefined;
  let worst = EVICTION_THRESHOLD_SHARE;
  for (const run of minion.runs) {
    const target = run.step.shape.tailTargetMs;
    const share = target === undefined ? 0 : (run.reading ?? 0) / target;
    if (share > worst) {
      affected = run;
      worst = share;
    }
  }
  return affected;
}
