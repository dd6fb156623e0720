/**
 * Decides where backfill tasks may share minions with serving tasks. This matters for loads in
 * which serving tasks reserve most of the fleet and use half of it. A backfill task is placed on a
 * minion where the tail latencies of the serving tasks are expected to stay within their targets
 * while it runs. If a tail latency exceeds its target anyway, the backfill run that interferes most
 * is evicted.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepShape, StepState} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {EvictionBounds} from './EvictionTimes.ts';
import type {Fleet} from './Fleet.ts';
import type {Estimate} from './LoadForecaster.ts';
import type {MinionState} from './MinionState.ts';

import {computeEvictAllDelay} from './EvictionTimes.ts';
import {TailLatencyModel, toReferenceCores} from './TailLatencyModel.ts';

/** Highest planned utilization, as a share of the utilization at the latency target. */
const MAX_PLANNED_SHARE = 1;
/** Time in milliseconds that a step waits for a minion whose serving tasks tolerate it. */
const STRICT_LIMIT_MS = 4_000;
/** Increase of that share per second of further waiting, so that every step runs eventually. */
const LIMIT_RISE_PER_S = 0.15;
/** Share of its target at which a tail latency triggers evictions; reports are 0.5 s old. */
const EVICTION_THRESHOLD_SHARE = 0.95;
/** Standard deviations added to a forecast load: it may rise earlier than forecast. */
const LOAD_MARGIN_DEVIATIONS = 0.5;
/** Standard deviations added to a pressure: an unknown pair of images may interfere strongly. */
const PRESSURE_MARGIN_DEVIATIONS = 0.5;
/** Number of intervals of a backfill task's duration at whose ends the load is forecast. */
const FORECAST_INTERVALS = 4;
/** Time in milliseconds between two evictions on a minion; the next poll shows their effect. */
const EVICTION_INTERVAL_MS = 600;
/** Cost of a utilization that just meets the latency target, in thousandths of a core. */
const UTILIZATION_COST = 40_000;

/**
 * Cost of each other image among a minion's serving tasks, in thousandths of a core. It exceeds the
 * cost of an empty minion, which is therefore preferred.
 */
const MIXED_IMAGES_COST = 30_000;
/**
 * Cost of each thousandth of a core that an ordinary task takes from running backfill tasks, which
 * slow down.
 */
const DISPLACED_BACKFILL_COST = 2;

/** A serving step on a minion, with one of its runs there. */
interface ServedStep {
  /** Total pressure of the backfill runs on the minion. */
  readonly pressure: Estimate;
  readonly run: Run;
  readonly utilizationAtTarget: number;
}

interface ServedSteps {
  readonly at: Instant;
  readonly runChanges: number;
  readonly steps: readonly ServedStep[];
}

interface BackfillDescription {
  readonly at: Instant;
  readonly durationMs: number;
  readonly step: StepState;
  /** Highest planned utilization, as a share of the utilization at the latency target. */
  readonly utilizationLimit: number;
  readonly waitsSince: Instant;
}

interface PeakLoad {
  readonly at: Instant;
  readonly durationMs: number;
  readonly load: number;
}

export class SharingPolicy {
  readonly model = new TailLatencyModel();
  readonly #estimator: DurationEstimator;
  readonly #evictAllAfterMs: number;
  readonly #lastEvictedAt = new WeakMap<MinionState, Instant>();
  /** Last forecast peak load of each step, since one planning round needs it many times. */
  readonly #peaks = new WeakMap<StepState, PeakLoad>();
  #lastBackfill: BackfillDescription | undefined;
  readonly #servedSteps = new WeakMap<MinionState, ServedSteps>();
  readonly #nearTargetSince = new WeakMap<MinionState, Instant>();

  constructor(estimator: DurationEstimator, bounds: EvictionBounds) {
    this.#estimator = estimator;
    this.#evictAllAfterMs = computeEvictAllDelay(bounds);
  }

  /**
   * Returns the cost of a backfill task on a minion in thousandths of a core, without the
   * processors it uses. Undefined when a tail latency would exceed its target.
   */
  backfillCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    if (minion.servingRuns === 0) {
      return 0;
    }
    const {cpuMilli} = step.shape.resources;
    const image = step.shape.image ?? '';
    const cores = toReferenceCores(cpuMilli, minion);
    const {durationMs, utilizationLimit} = this.#describeBackfill(step, now);
    let worst = 0;
    for (const served of this.#listServedSteps(minion, now)) {
      const added = this.model.estimatePressure(served.run, image);
      const pressure = {
        mean: served.pressure.mean + cores * added.mean,
        variance: served.pressure.variance + cores ** 2 * added.variance,
      };
      const load = this.#forecastPeakLoad(served.run, durationMs, now);
      const share = computeUtilizationShare(load, pressure, served.utilizationAtTarget);
      if (share > utilizationLimit) {
        return undefined;
      }
      worst = Math.max(worst, share);
    }
    return worst * UTILIZATION_COST;
  }

  /** Whether a backfill step has waited so long that minions admit it which would not admit others. */
  dependsOnWait(step: StepState, now: Instant): boolean {
    return this.#describeBackfill(step, now).utilizationLimit !== MAX_PLANNED_SHARE;
  }

  /**
   * Returns the cost of an ordinary task on a minion: the room that is not reserved on it, so that
   * tasks are packed and minions with much room are left to large tasks, and the processors that
   * backfill tasks lose. This matters when serving tasks reserve most of the fleet and the large
   * tasks among the ordinary ones are urgent.
   */
  ordinaryCost(minion: MinionState, {resources}: StepShape): number {
    const room = minion.description.capacity.cpuMilli - minion.reserved.cpuMilli;
    const displaced = Math.max(0, resources.cpuMilli - minion.spareCpuMilli);
    return room + displaced * DISPLACED_BACKFILL_COST;
  }

  /** Returns the cost of a serving task on a minion, from the other images of its serving tasks. */
  servingCost(minion: MinionState, shape: StepShape): number {
    const images = new Set<string | undefined>();
    for (const run of minion.runs) {
      if (run.step.shape.longRunning) {
        images.add(run.step.shape.image);
      }
    }
    // A minion with a single serving image can take every backfill image that this one tolerates.
    const otherImages = images.size - (images.has(shape.image) ? 1 : 0);
    return otherImages * MIXED_IMAGES_COST;
  }

  /** Whether a tail latency on the minion is near or over its target; it is then polled often. */
  isNearTarget(minion: MinionState): boolean {
    return this.#nearTargetSince.has(minion);
  }

  /**
   * Stops backfill runs on a minion with a tail latency near or over its target: one at a time,
   * starting with the run that interferes most, and all of them when this lasts too long.
   */
  evictInterferingRuns(fleet: Fleet, minion: MinionState, now: Instant): void {
    const affected = findMostAffectedRun(minion);
    if (affected === undefined) {
      this.#nearTargetSince.delete(minion);
      return;
    }
    const since = this.#nearTargetSince.get(minion) ?? now;
    this.#nearTargetSince.set(minion, since);
    if (now - since >= this.#evictAllAfterMs) {
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

  /** Returns the backfill run with the highest pressure on a serving run. */
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

  /** Returns the highest load that is forecast for a serving run within a time, with a margin. */
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

  /** Returns the serving steps on a minion, computed once for the backfill steps of a round. */
  #listServedSteps(minion: MinionState, now: Instant): readonly ServedStep[] {
    const known = this.#servedSteps.get(minion);
    if (known?.at === now && known.runChanges === minion.runChanges) {
      return known.steps;
    }
    const interfering = this.model.listInterferingTasks(minion);
    const steps = new Map<StepState, ServedStep>();
    for (const run of minion.runs) {
      // Tasks of one step share their load and their image.
      if (run.step.shape.tailTargetMs !== undefined && !steps.has(run.step)) {
        steps.set(run.step, {
          pressure: this.model.sumPressures(run, interfering),
          run,
          utilizationAtTarget: this.model.computeUtilizationAtTarget(run),
        });
      }
    }
    const served = {at: now, runChanges: minion.runChanges, steps: [...steps.values()]};
    this.#servedSteps.set(minion, served);
    return served.steps;
  }

  /** Returns what the costs of a backfill step on all minions have in common. */
  #describeBackfill(step: StepState, now: Instant): BackfillDescription {
    const known = this.#lastBackfill;
    const waitsSince = step.placedAt ?? step.readyAt ?? now;
    if (known?.step === step && known.at === now && known.waitsSince === waitsSince) {
      return known;
    }
    const description = {
      at: now,
      durationMs: this.#estimator.estimateTaskMs(step.job.request.queue, step.shape),
      step,
      utilizationLimit: chooseUtilizationLimit(now - waitsSince),
      waitsSince,
    };
    this.#lastBackfill = description;
    return description;
  }
}

/** Returns the forecast utilization as a share of that at the serving run's latency target. */
function computeUtilizationShare(
  load: number,
  {mean, variance}: Estimate,
  utilizationAtTarget: number,
): number {
  const pressure = mean + PRESSURE_MARGIN_DEVIATIONS * Math.sqrt(variance);
  // Without pressure, backfill doesn't affect the tail latency.
  return pressure <= 0 ? 0 : (load * (1 + pressure)) / utilizationAtTarget;
}

/** Returns the share up to which utilization may be planned for a step that waited `waitedMs`. */
function chooseUtilizationLimit(waitedMs: number): number {
  return MAX_PLANNED_SHARE + (Math.max(0, waitedMs - STRICT_LIMIT_MS) / 1_000) * LIMIT_RISE_PER_S;
}

/**
 * Returns the serving run whose tail latency exceeds the eviction threshold the most; undefined
 * when none does.
 */
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
