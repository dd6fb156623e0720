/**
 * How filling tasks disturb serving ones, learned from the tails that minions report.
 *
 * A serving task is seen as a queue whose response time grows as 1 / (1 - utilization). Filling
 * tasks beside it raise its utilization in proportion to the processors they use, by a factor that
 * differs for each pair of images: utilization = load x (1 + sum of pressure x cores). The load of
 * each serving step and the pressure of each pair are estimated together by Kalman filters.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {Expectation, WaveKnowledge} from './LoadWave.ts';
import type {MinionState} from './MinionState.ts';

import {LoadWaves} from './LoadWave.ts';

/** Pressure of one core of a pair that was never seen; most pairs disturb little. */
const PRIOR_PRESSURE = {mean: 0.03, variance: 0.04};
/** Growth of a pressure's variance per second, so that old knowledge gives way. */
const PRESSURE_DRIFT_PER_S = 0.000_05;
/** Variance of one utilization that a report gives; reports are rough. */
const REPORT_VARIANCE = 0.002;
/** Reports of one listing that count as independent: what is rough in them is partly common. */
const MOST_INDEPENDENT = 4;
/** Least utilization that a report shows; below it a tail tells nothing. */
const LEAST_UTILIZATION = 0.01;
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
  readonly waves: WaveKnowledge;
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
  readonly #waves = new LoadWaves();
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
  export(now: Instant, wall: WallTime): TailKnowledge {
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
      waves: this.#waves.export(now, wall),
    };
  }

  /** Takes over what a former owner learned. */
  import({idleTails, pressures, waves}: TailKnowledge, now: Instant, wall: WallTime): void {
    this.#waves.import(waves, now, wall);
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

  /** Load of a serving run without others' pressure at an instant, also a later one. */
  load({step}: Run, at: Instant): Expectation {
    return this.#waves.forecast(step, at);
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
    // Tasks of one step share their load and their image, so their reports tell the same.
    const reports = new Map<StepState, Run[]>();
    for (const run of minion.runs) {
      const {step} = run;
      if (step.shape.tailTargetMs !== undefined && run.percent >= 100 && (run.reading ?? 0) > 0) {
        const others = reports.get(step);
        if (others === undefined) {
          reports.set(step, [run]);
        } else {
          others.push(run);
        }
      }
    }
    for (const [step, runs] of reports) {
      this.#learn(step, runs, visible, now);
    }
  }

  /** Pressure of one reference core of a filling image on a serving image. */
  pressure(serving: Run, image: string): Expectation {
    return this.#pressures.get(imageOf(serving))?.get(image) ?? PRIOR_PRESSURE;
  }

  /** Sum of the pressures on a serving run. */
  totalPressure(serving: Run, disturbers: readonly Disturber[]): Expectation {
    const total = {mean: 0, variance: 0};
    for (const {cores, image} of disturbers) {
      const {mean, variance} = this.pressure(serving, image);
      total.mean += cores * mean;
      total.variance += cores ** 2 * variance;
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

  #learn(step: StepState, runs: readonly Run[], visible: readonly Disturber[], now: Instant): void {
    const seen = runs.reduce((sum, run) => sum + this.#readUtilization(run), 0) / runs.length;
    const reportVariance = REPORT_VARIANCE / Math.min(runs.length, MOST_INDEPENDENT);
    const load = this.#waves.forecast(step, now);
    const terms = visible
      .filter(({cores}) => cores > 0)
      .map(({cores, image}) => ({
        cores,
        pair: this.#touchPair(step.shape.image ?? '', image, now),
      }));
    const factor = terms.reduce((sum, {cores, pair}) => sum + cores * pair.mean, 1);
    const error = seen - load.mean * factor;
    if (seen >= SATURATED && error < 0) {
      return;
    }
    const pressureVariance = terms.reduce(
      (sum, {cores, pair}) => sum + (load.mean * cores) ** 2 * pair.variance,
      0,
    );
    const variance = pressureVariance + factor ** 2 * load.variance + reportVariance;
    for (const {cores, pair} of terms) {
      const slope = load.mean * cores;
      const gain = (slope * pair.variance) / variance;
      pair.mean = Math.max(0, pair.mean + gain * error);
      pair.variance *= 1 - gain * slope;
    }
    const report = {slope: factor, value: seen, variance: pressureVariance + reportVariance};
    this.#waves.learn(step, report, now);
  }

  /** Utilization that a serving run's reported tail shows. */
  #readUtilization(run: Run): number {
    const {reading = 0, step} = run;
    const {tailTargetMs = Infinity} = step.shape;
    this.#noteIdleTail(run, reading);
    const utilization = 1 - this.#idleTailMs(run, tailTargetMs) / reading;
    return Math.min(SATURATED, Math.max(LEAST_UTILIZATION, utilization));
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
