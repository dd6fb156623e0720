/**
 * How filling tasks disturb serving ones, learned from the tails that minions report.
 *
 * A serving task is seen as a queue whose response time grows as 1 / (1 - utilization). Filling
 * tasks beside it raise its utilization in proportion to the processors they use, by a factor that
 * differs for each pair of images: utilization = load x (1 + sum of pressure x cores). The load of
 * each serving run and the pressure of each pair are estimated together by a Kalman filter with a
 * diagonal covariance.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';

/** Load of a serving task before it was seen, as a share of what it can serve. */
const PRIOR_LOAD = {mean: 0.45, variance: 0.04};
/** Growth of a load's variance per second: callers' load drifts by about 0.08 in a second. */
const LOAD_DRIFT_PER_S = 0.006;
/** Pressure of one core of a pair that was never seen; most pairs disturb little. */
const PRIOR_PRESSURE = {mean: 0.03, variance: 0.04};
/** Growth of a pressure's variance per second, so that old knowledge gives way. */
const PRESSURE_DRIFT_PER_S = 0.000_05;
/** Variance of one utilization that a report gives; reports are rough. */
const REPORT_VARIANCE = 0.002;
/** Utilization from which a report only tells that the true one is at least as high. */
const SATURATED = 0.95;
/** Share of the low quantile of an image's tails that an idle task would have. */
const IDLE_TAIL_SHARE = 0.8;
/** The quantile that stands for low load; the minimum would follow the noise of reports. */
const LOW_QUANTILE = 0.05;
/** Step of the quantile's estimate, as a share of it. */
const QUANTILE_STEP = 0.04;
/** Share of its bound that an idle task's tail has while few reports were seen. */
const UNSEEN_IDLE_SHARE = 0.2;
/** Reports of an image before their low quantile is trusted. */
const LEAST_REPORTS = 5;
/** Cores of the minion size to which pressures refer; a core weighs less on a larger minion. */
const REFERENCE_CORES = 16;
/** Age in milliseconds from which a filling run shows in the tails beside it. */
const VISIBLE_AFTER_MS = 500;

/** Images of each kind that are remembered; bounds the memory and the record in the store. */
const MOST_IMAGES = 200;

interface Estimate {
  mean: number;
  updatedAt: Instant;
  variance: number;
}

interface IdleTail {
  /** Low quantile of the tails reported, in milliseconds. */
  lowMs: number;
  reports: number;
}

/** What was learned of images, in a form that can be kept; times are not part of it. */
export interface TailKnowledge {
  /** Low quantile of the tails and number of reports, by serving image. */
  readonly idleTails: Readonly<Record<string, readonly [lowMs: number, reports: number]>>;
  /** Mean and variance of the pressure, by serving and filling image. */
  readonly pressures: Readonly<Record<string, Readonly<Record<string, readonly [number, number]>>>>;
}

/** A filling run, or one that may come, as far as it disturbs others. */
export interface Disturber {
  /** Cores in use, in units of the reference size. */
  readonly cores: number;
  readonly image: string;
}

/** Cores of a task in units of the reference size. */
export function referenceCores(cpuMilli: number, minion: MinionState): number {
  return (cpuMilli * REFERENCE_CORES) / minion.description.capacity.cpuMilli;
}

function imageOf(run: Run): string {
  return run.step.shape.image ?? '';
}

export class TailModel {
  readonly #idleTails = new Map<string, IdleTail>();
  readonly #loads = new WeakMap<Run, Estimate>();
  readonly #pressures = new Map<string, Map<string, Estimate>>();

  /** Filling runs of a minion, with the processors that they use. */
  disturbers(minion: MinionState): Disturber[] {
    const found: Disturber[] = [];
    for (const run of minion.runs) {
      if (run.step.shape.fillsSpareCpu) {
        const cpuMilli = run.reading ?? run.step.shape.resources.cpuMilli;
        found.push({cores: referenceCores(cpuMilli, minion), image: imageOf(run)});
      }
    }
    return found;
  }

  /** What was learned so far, to be kept for the next owner. */
  export(): TailKnowledge {
    return {
      idleTails: Object.fromEntries(
        [...this.#idleTails].map(([image, {lowMs, reports}]) => [image, [lowMs, reports]]),
      ),
      pressures: Object.fromEntries(
        [...this.#pressures].map(([serving, pairs]) => [
          serving,
          Object.fromEntries(
            [...pairs].map(([filling, {mean, variance}]) => [filling, [mean, variance]]),
          ),
        ]),
      ),
    };
  }

  /** Takes over what a former owner learned. */
  import({idleTails, pressures}: TailKnowledge, now: Instant): void {
    for (const [image, [lowMs, reports]] of Object.entries(idleTails)) {
      this.#idleTails.set(image, {lowMs, reports});
    }
    for (const [serving, pairs] of Object.entries(pressures)) {
      const known = new Map<string, Estimate>();
      for (const [filling, [mean, variance]] of Object.entries(pairs)) {
        known.set(filling, {mean, updatedAt: now, variance});
      }
      this.#pressures.set(serving, known);
    }
  }

  /** Load of a serving run without others' pressure, 0 to 1. */
  load(run: Run): number {
    return this.#loads.get(run)?.mean ?? PRIOR_LOAD.mean;
  }

  /** Learns from the newest reports of a minion. */
  observe(minion: MinionState, now: Instant): void {
    const visible: Disturber[] = [];
    for (const run of minion.runs) {
      const isVisible =
        run.step.shape.fillsSpareCpu &&
        run.confirmedAt !== undefined &&
        now - run.confirmedAt >= VISIBLE_AFTER_MS;
      if (isVisible) {
        visible.push({
          cores: referenceCores(run.reading ?? 0, minion),
          image: imageOf(run),
        });
      }
    }
    for (const run of minion.runs) {
      const {tailTargetMs} = run.step.shape;
      if (tailTargetMs !== undefined && run.percent >= 100 && (run.reading ?? 0) > 0) {
        this.#learn(run, run.reading ?? 0, tailTargetMs, visible, now);
      }
    }
  }

  /** Pressure of one reference core of a filling image on a serving image. */
  pressure(serving: Run, image: string): number {
    return this.#pressures.get(imageOf(serving))?.get(image)?.mean ?? PRIOR_PRESSURE.mean;
  }

  /** Sum of the pressures on a serving run. */
  totalPressure(serving: Run, disturbers: readonly Disturber[]): number {
    let total = 0;
    for (const {cores, image} of disturbers) {
      total += cores * this.pressure(serving, image);
    }
    return total;
  }

  /** Utilization at which the run's tail reaches its bound. */
  utilizationBound(run: Run): number {
    const target = run.step.shape.tailTargetMs ?? Infinity;
    return 1 - this.#idleTailMs(run, target) / target;
  }

  #idleTailMs(run: Run, targetMs: number): number {
    const idle = this.#idleTails.get(imageOf(run));
    return idle === undefined || idle.reports < LEAST_REPORTS
      ? targetMs * UNSEEN_IDLE_SHARE
      : idle.lowMs * IDLE_TAIL_SHARE;
  }

  #learn(
    run: Run,
    tailMs: number,
    targetMs: number,
    visible: readonly Disturber[],
    now: Instant,
  ): void {
    this.#noteIdleTail(run, tailMs);
    const seen = Math.min(SATURATED, Math.max(0.01, 1 - this.#idleTailMs(run, targetMs) / tailMs));
    const load = this.#touchLoad(run, now);
    const terms = visible
      .filter(({cores}) => cores > 0)
      .map(({cores, image}) => ({cores, pair: this.#touchPair(imageOf(run), image, now)}));
    const factor = terms.reduce((sum, {cores, pair}) => sum + cores * pair.mean, 1);
    const error = seen - load.mean * factor;
    if (seen >= SATURATED && error < 0) {
      return;
    }
    const variance = terms.reduce(
      (sum, {cores, pair}) => sum + (load.mean * cores) ** 2 * pair.variance,
      factor ** 2 * load.variance + REPORT_VARIANCE,
    );
    for (const {cores, pair} of terms) {
      const slope = load.mean * cores;
      const gain = (slope * pair.variance) / variance;
      pair.mean = Math.max(0, pair.mean + gain * error);
      pair.variance *= 1 - gain * slope;
    }
    const gain = (factor * load.variance) / variance;
    load.mean = Math.min(1, Math.max(0.01, load.mean + gain * error));
    load.variance *= 1 - gain * factor;
  }

  /** Forgets the image that was learned first when there are too many. */
  #bound(images: Map<string, unknown>): void {
    const [oldest] = images.keys();
    if (images.size > MOST_IMAGES && oldest !== undefined) {
      images.delete(oldest);
    }
  }

  #noteIdleTail(run: Run, tailMs: number): void {
    const image = imageOf(run);
    const idle = this.#idleTails.get(image) ?? {lowMs: tailMs, reports: 0};
    const step = idle.lowMs * QUANTILE_STEP;
    idle.lowMs += tailMs < idle.lowMs ? -step * (1 - LOW_QUANTILE) : step * LOW_QUANTILE;
    idle.reports += 1;
    this.#idleTails.set(image, idle);
    this.#bound(this.#idleTails);
  }

  #touchLoad(run: Run, now: Instant): Estimate {
    const load = this.#loads.get(run) ?? {...PRIOR_LOAD, updatedAt: now};
    load.variance = Math.min(
      PRIOR_LOAD.variance,
      load.variance + ((now - load.updatedAt) / 1000) * LOAD_DRIFT_PER_S,
    );
    load.updatedAt = now;
    this.#loads.set(run, load);
    return load;
  }

  #touchPair(serving: string, filling: string, now: Instant): Estimate {
    const pairs = this.#pressures.get(serving) ?? new Map<string, Estimate>();
    this.#pressures.set(serving, pairs);
    this.#bound(this.#pressures);
    const pair = pairs.get(filling) ?? {...PRIOR_PRESSURE, updatedAt: now};
    pairs.set(filling, pair);
    this.#bound(pairs);
    pair.variance = Math.min(
      PRIOR_PRESSURE.variance,
      pair.variance + ((now - pair.updatedAt) / 1000) * PRESSURE_DRIFT_PER_S,
    );
    pair.updatedAt = now;
    return pair;
  }
}
