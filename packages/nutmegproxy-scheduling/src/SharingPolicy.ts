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
import type {MinionState} from './MinionState.ts';
import type {Tolerance} from './ToleratedBackfill.ts';

import {BackfillExposure} from './BackfillExposure.ts';
import {isDisruptionExcluded} from './DisruptionBudget.ts';
import {computeEvictAllDelay, computeMaxExposure} from './EvictionTimes.ts';
import {INTERFERENCE_COST} from './Placement.ts';
import {ServingOutlook} from './ServingOutlook.ts';
import {TailLatencyModel, toReferenceCores} from './TailLatencyModel.ts';
import {findMostAffectedRun, findTailLevel} from './TailLevel.ts';
import {ToleratedBackfill} from './ToleratedBackfill.ts';

/** Highest planned utilization, as a share of the utilization at the latency target. */
const MAX_PLANNED_SHARE = 1;
/** Time in milliseconds that a step waits for a minion whose serving tasks tolerate it. */
const STRICT_LIMIT_MS = 4_000;
/** Increase of that share per second of further waiting, so that every step runs eventually. */
const LIMIT_RISE_PER_S = 0.15;
/** Time in milliseconds between two evictions on a minion; the next poll shows their effect. */
const EVICTION_INTERVAL_MS = 600;
/** Cost of a utilization that just meets the latency target, in thousandths of a core. */
const UTILIZATION_COST = 40_000;

/**
 * Cost of an overdue backfill task beside serving tasks that are over their targets without backfill, in thousandths
 * of a core. Beside others that it brings over them it costs more, as the users count that as harm.
 */
const OVER_TARGET_COST = 500_000;

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

interface BackfillDescription {
  readonly at: Instant;
  readonly durationMs: number;
  readonly step: StepState;
  /** Highest planned utilization, as a share of the utilization at the latency target. */
  readonly utilizationLimit: number;
  readonly waitsSince: Instant;
}

/** A minion with backfill beside tail latencies that are near or over their targets. */
export interface ExposedMinion {
  /** The serving run that exceeds its target the most. */
  readonly affected: Run;
  readonly backfill: readonly (Tolerance & {readonly run: Run})[];
  readonly firstReportAt: Instant;
  /** Report that showed it first. */
  readonly nearSince: Instant;
  /** Since when it may be so; -Infinity where no report of the minion has shown anything else. */
  readonly since: number;
}

export class SharingPolicy {
  readonly model = new TailLatencyModel();
  readonly #estimator: DurationEstimator;
  readonly #evictAllAfterMs: number;
  readonly #maxExposureMs: number;
  readonly #lastEvictedAt = new WeakMap<MinionState, Instant>();
  #lastBackfill: BackfillDescription | undefined;
  readonly #exposure = new BackfillExposure();
  readonly #outlook = new ServingOutlook(this.model);
  readonly #tolerated: ToleratedBackfill;

  constructor(estimator: DurationEstimator, bounds: EvictionBounds) {
    this.#estimator = estimator;
    this.#evictAllAfterMs = computeEvictAllDelay(bounds);
    this.#maxExposureMs = computeMaxExposure(bounds);
    this.#tolerated = new ToleratedBackfill(bounds, this.#exposure);
  }

  /**
   * Returns the cost of a backfill task on a minion in thousandths of a core, without the
   * processors it uses. Undefined when a tail latency would exceed its target.
   */
  backfillCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    if (minion.servingRuns === 0) {
      return 0;
    }
    if (this.#exposure.isOver(minion) && !this.#tolerated.hasPaused(minion, now)) {
      return undefined;
    }
    const {utilizationLimit} = this.#describeBackfill(step, now);
    const worst = this.#computeWorstShare(minion, step, utilizationLimit, now);
    return worst === undefined ? undefined : worst * UTILIZATION_COST;
  }

  /**
   * Returns the cost of a task of an overdue backfill step, which serving tasks have to bear: least where it harms them
   * least. Undefined where another one works or has just worked, so that tail latencies fall in between.
   */
  overdueCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    const isNearTarget = this.isNearTarget(minion);
    if (minion.servingRuns === 0) {
      return 0;
    }
    if (!this.#tolerated.mayStart(minion, step, isNearTarget, now)) {
      return undefined;
    }
    const worst = this.#computeWorstShare(minion, step, Infinity, now) ?? 0;
    const harmCost = worst > MAX_PLANNED_SHARE ? INTERFERENCE_COST : 0;
    return worst * UTILIZATION_COST + (isNearTarget ? OVER_TARGET_COST : harmCost);
  }

  /**
   * Returns the cost of a task of an overdue backfill step where serving tasks tolerate it: beside tails below their
   * targets, within the planned utilization. Undefined elsewhere, however long the step has waited.
   */
  toleratedCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    if (minion.servingRuns === 0) {
      return 0;
    }
    const worst = this.isNearTarget(minion)
      ? undefined
      : this.#computeWorstShare(minion, step, MAX_PLANNED_SHARE, now);
    return worst === undefined ? undefined : worst * UTILIZATION_COST;
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
    return this.#exposure.findNearSince(minion) !== undefined;
  }

  /** Returns what is known of backfill beside tail latencies near or over their targets; undefined without any. */
  describeExposure(minion: MinionState): ExposedMinion | undefined {
    const affected = findMostAffectedRun(minion);
    const firstReportAt = this.#exposure.findFirstReport(minion);
    const nearSince = this.#exposure.findNearSince(minion);
    if (affected === undefined || firstReportAt === undefined || nearSince === undefined) {
      return undefined;
    }
    const backfill = [...minion.runs]
      .filter(({step}) => step.shape.fillsSpareCpu)
      .map((run) => ({...this.#tolerated.describe(run), run}));
    const since = this.#exposure.findSince(minion) ?? nearSince;
    return backfill.length === 0
      ? undefined
      : {affected, backfill, firstReportAt, nearSince, since};
  }

  /**
   * Stops backfill runs on a minion that has reported a tail latency near or over its target: one at a time, starting with
   * the run that interferes most, and all of them when this lasts too long.
   */
  evictInterferingRuns(fleet: Fleet, minion: MinionState, now: Instant): void {
    const affected = findMostAffectedRun(minion);
    this.#exposure.review(minion, findTailLevel(affected), now);
    this.#tolerated.review(minion, now);
    if (affected === undefined) {
      return;
    }
    const evictable = [...minion.runs].filter(
      (run) =>
        run.step.shape.fillsSpareCpu &&
        !isDisruptionExcluded(run) &&
        !this.#tolerated.isTolerated(fleet, run, now),
    );
    if (this.#isTimeUp(minion, now)) {
      for (const run of evictable) {
        this.#evict(fleet, run, now);
      }
      return;
    }
    const isPaused = now - (this.#lastEvictedAt.get(minion) ?? -Infinity) < EVICTION_INTERVAL_MS;
    const interfering = isPaused
      ? undefined
      : this.#findWorstInterferingRun(minion, evictable, affected);
    if (interfering !== undefined) {
      this.#lastEvictedAt.set(minion, now);
      this.#evict(fleet, interfering, now);
    }
  }

  /** Stops the backfill whose time beside tail latencies over their targets is up before the next report. */
  evictExpiredRuns(fleet: Fleet, minion: MinionState, now: Instant): void {
    if (!this.#exposure.isOver(minion) || !this.#isTimeUp(minion, now)) {
      return;
    }
    for (const run of minion.runs) {
      if (run.step.shape.fillsSpareCpu && !this.#tolerated.isInTurn(run, now)) {
        this.#evict(fleet, run, now);
      }
    }
  }

  #evict(fleet: Fleet, run: Run, now: Instant): void {
    if (run.phase === 'stopping' || isDisruptionExcluded(run)) {
      return;
    }
    fleet.stopRun(run, 'interference');
    this.#tolerated.endTurn(run, now);
  }

  /** Whether all backfill that is in no turn has to be stopped, as a tail latency has been near its target for long. */
  #isTimeUp(minion: MinionState, now: Instant): boolean {
    const since = this.#exposure.findSince(minion) ?? now;
    const shownSince = Math.max(since, this.#exposure.findNearSince(minion) ?? now);
    const isOverForLong = this.#exposure.isOver(minion) && now - since >= this.#maxExposureMs;
    return isOverForLong || now - shownSince >= this.#evictAllAfterMs;
  }

  #computeWorstShare(
    minion: MinionState,
    step: StepState,
    limit: number,
    now: Instant,
  ): number | undefined {
    const {image = '', resources} = step.shape;
    const {durationMs} = this.#describeBackfill(step, now);
    const cores = toReferenceCores(resources.cpuMilli, minion);
    return this.#outlook.computeWorstShare(minion, {cores, durationMs, image}, limit, now);
  }

  /** Returns the one of the backfill runs with the highest pressure on a serving run. */
  #findWorstInterferingRun(
    minion: MinionState,
    backfill: readonly Run[],
    affected: Run,
  ): Run | undefined {
    let worst: Run | undefined;
    let worstPressure = 0;
    for (const run of backfill) {
      if (run.phase !== 'running') {
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

/** Returns the share up to which utilization may be planned for a step that waited `waitedMs`. */
function chooseUtilizationLimit(waitedMs: number): number {
  return MAX_PLANNED_SHARE + (Math.max(0, waitedMs - STRICT_LIMIT_MS) / 1_000) * LIMIT_RISE_PER_S;
}
