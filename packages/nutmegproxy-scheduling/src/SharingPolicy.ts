/**
 * Filling work beside serving work, for loads in which serving tasks reserve most of the fleet and
 * use half of it. A filling task goes where the tails beside it are expected to stay within their
 * bounds for as long as it runs. Where a tail passes its bound all the same, the filling task that
 * presses it most moves off.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepShape, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

import {type Disturber, referenceCores, TailModel} from './TailModel.ts';

/** Share of its bound up to which a utilization may be planned. */
const PLANNED_SHARE = 1;
/** Time in milliseconds that a step waits for a minion whose serving tasks bear it. */
const STRICT_LIMIT_MS = 4_000;
/** Rise of the planned share with each second beyond that: a step that no minion bears still runs. */
const LIMIT_RISE_PER_S = 0.15;
/** Share of its bound at which a tail is acted upon; reports are half a second old. */
const TAIL_ALERT_SHARE = 0.95;
/** Standard deviations of a load that are added to the one expected: its users may come early. */
const LOAD_MARGIN = 0.5;
/** The same for pressures: a pair of images that was never seen may disturb much. */
const PRESSURE_MARGIN = 0.5;
/** Instants within a filling task's duration at which the load beside it is looked at. */
const FORECASTS = 4;
/** Time between two moves on one minion in milliseconds; a tail shows the effect after one look. */
const MOVE_PAUSE_MS = 600;
/**
 * Time in milliseconds after which no filling task stays beside a tail that is over its bound; with
 * a look and a stop it is well below the platform's bound on harm, 4 s.
 */
const MOVE_ALL_AFTER_MS = 1_500;
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
  readonly model = new TailModel();
  readonly #estimate: WorkEstimate;
  readonly #lastMove = new WeakMap<MinionState, Instant>();
  /** The peak that was last expected for a step: one round of planning asks for it many times. */
  readonly #peaks = new WeakMap<StepState, PeakLoad>();
  readonly #nearBoundSince = new WeakMap<MinionState, Instant>();

  constructor(estimate: WorkEstimate) {
    this.#estimate = estimate;
  }

  /**
   * Cost of a filling task on a minion in thousandths of a core, beside the processors it uses;
   * undefined when it would press a tail over its bound.
   */
  fillingCost(minion: MinionState, step: StepState, now: Instant): number | undefined {
    if (minion.servingRuns === 0) {
      return 0;
    }
    const {shape} = step;
    const durationMs = this.#estimate.taskMs(step.job.request.queue, shape);
    const added = {
      cores: referenceCores(shape.resources.cpuMilli, minion),
      image: shape.image ?? '',
    };
    const disturbers = [...this.model.disturbers(minion), added];
    const limit = chooseLimit(now - (step.placedAt ?? step.readyAt ?? now));
    const judged = new Set<StepState>();
    let worst = 0;
    for (const serving of minion.runs) {
      // Tasks of one step share their load and their image.
      if (serving.step.shape.tailTargetMs === undefined || judged.has(serving.step)) {
        continue;
      }
      judged.add(serving.step);
      const load = this.#peakLoad(serving, durationMs, now);
      const share = this.#plannedShare(serving, disturbers, load);
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
  isNearBound(minion: MinionState): boolean {
    return this.#nearBoundSince.has(minion);
  }

  /**
   * Orders filling runs off a minion whose serving tasks are near or over their bounds: the one that
   * presses most, one after the other, and all of them once a tail has been over for long.
   */
  moveDisturbers(fleet: Fleet, minion: MinionState, now: Instant): void {
    const pressed = findMostPressed(minion);
    if (pressed === undefined) {
      this.#nearBoundSince.delete(minion);
      return;
    }
    const since = this.#nearBoundSince.get(minion) ?? now;
    this.#nearBoundSince.set(minion, since);
    if (now - since >= MOVE_ALL_AFTER_MS) {
      for (const run of minion.runs) {
        if (run.step.shape.fillsSpareCpu) {
          fleet.stopRun(run, 'interference');
        }
      }
      return;
    }
    const isPaused = now - (this.#lastMove.get(minion) ?? -Infinity) < MOVE_PAUSE_MS;
    const disturber = isPaused ? undefined : this.#findDisturber(minion, pressed);
    if (disturber !== undefined) {
      this.#lastMove.set(minion, now);
      fleet.stopRun(disturber, 'interference');
    }
  }

  /** The filling run that presses a serving run most. */
  #findDisturber(minion: MinionState, pressed: Run): Run | undefined {
    let worst: Run | undefined;
    let worstPressure = 0;
    for (const run of minion.runs) {
      if (!run.step.shape.fillsSpareCpu || run.phase !== 'running') {
        continue;
      }
      const cores = referenceCores(run.reading ?? 0, minion);
      const pressure = cores * this.model.pressure(pressed, run.step.shape.image ?? '').mean;
      if (pressure > worstPressure) {
        worst = run;
        worstPressure = pressure;
      }
    }
    return worst;
  }

  /** Highest load of a serving run that is expected within a time, with a margin. */
  #peakLoad(serving: Run, durationMs: number, now: Instant): number {
    const known = this.#peaks.get(serving.step);
    if (known?.at === now && known.durationMs === durationMs) {
      return known.load;
    }
    let load = 0;
    for (let index = 0; index <= FORECASTS; index += 1) {
      const at = (now + (durationMs * index) / FORECASTS) as Instant;
      const {mean, variance} = this.model.load(serving, at);
      load = Math.max(load, mean + LOAD_MARGIN * Math.sqrt(variance));
    }
    this.#peaks.set(serving.step, {at: now, durationMs, load});
    return load;
  }

  /** Share of its bound that a serving run's utilization is expected to reach. */
  #plannedShare(serving: Run, disturbers: readonly Disturber[], load: number): number {
    const {mean, variance} = this.model.totalPressure(serving, disturbers);
    const pressure = mean + PRESSURE_MARGIN * Math.sqrt(variance);
    // Without pressure the tail is the serving task's own matter.
    return pressure <= 0 ? 0 : (load * (1 + pressure)) / this.model.utilizationBound(serving);
  }
}

/** The share of its bound that may be planned for a step that has waited for `waitedMs`. */
function chooseLimit(waitedMs: number): number {
  return PLANNED_SHARE + (Math.max(0, waitedMs - STRICT_LIMIT_MS) / 1_000) * LIMIT_RISE_PER_S;
}

/** The serving run whose tail is furthest over the bound; undefined when all are within. */
function findMostPressed(minion: MinionState): Run | undefined {
  let pressed: Run | undefined;
  let worst = TAIL_ALERT_SHARE;
  for (const run of minion.runs) {
    const target = run.step.shape.tailTargetMs;
    const share = target === undefined ? 0 : (run.reading ?? 0) / target;
    if (share > worst) {
      pressed = run;
      worst = share;
    }
  }
  return pressed;
}
