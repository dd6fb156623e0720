/**
 * Estimates how backfill tasks interfere with serving tasks, from the tail latencies that minions
 * report.
 *
 * A serving task is modeled as a queue whose response time grows as 1 / (1 - utilization).
 * Backfill tasks on the same minion raise its utilization in proportion to the processors they use.
 * The factor is called pressure and differs for each pair of images:
 *
 *     utilization = load x (1 + sum of pressure x cores)
 *
 * The load of each serving step and the pressure of each pair are estimated together by Kalman
 * filters.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {Estimate, LoadSnapshot, WavePhase} from './LoadForecaster.ts';
import type {MinionState} from './MinionState.ts';

import {LoadForecaster} from './LoadForecaster.ts';

/** Pressure per core of a pair without reports; most pairs interfere little. */
const PRIOR_PRESSURE = {mean: 0.03, variance: 0.04};
/** Growth of a pressure's variance per second, so that old reports lose their weight. */
const PRESSURE_DRIFT_PER_S = 0.000_05;
/** Variance of a utilization inferred from one report; reports are noisy. */
const REPORT_VARIANCE = 0.002;
/** Reports of one listing that count as independent: part of their noise is common. */
const MAX_INDEPENDENT_REPORTS = 4;
/** Lower bound on an inferred utilization; tail latency doesn't show lower ones. */
const MIN_UTILIZATION = 0.01;
/** Utilization from which a report only shows that the true one is at least as high. */
const SATURATED_UTILIZATION = 0.95;
/** Tail latency of an idle task, as a share of the low quantile of its image's tail latencies. */
const IDLE_TAIL_SHARE = 0.8;
/** Quantile that represents low load; the minimum would follow the noise of reports. */
const LOW_QUANTILE = 0.05;
/** Step by which the estimated quantile is adjusted, as a share of it. */
const QUANTILE_STEP_SHARE = 0.04;
/** Assumed tail latency of an idle task with few reports, as a share of its target. */
const DEFAULT_IDLE_TAIL_SHARE = 0.2;
/** Reports of an image after which their low quantile is used. */
const MIN_REPORTS = 5;
/** Cores of the minion to which pressures refer; one core matters less on a larger minion. */
const REFERENCE_CORES = 16;
/** Lower bound on the processors of a minion, which may shrink to none, in thousandths of a core. */
const MIN_CAPACITY_CPU_MILLI = 1_000;
/** Age in milliseconds from which a backfill run affects the reported tail latencies. */
const MIN_VISIBLE_AGE_MS = 500;

/** Maximum number of images of each kind; bounds the memory and the record in the store. */
const MAX_IMAGES = 200;

interface PressureEstimate {
  mean: number;
  updatedAt: Instant;
  variance: number;
}

interface IdleTail {
  /** Low quantile of the reported tail latencies, in milliseconds. */
  lowMs: number;
  reports: number;
}

/** State of the model that is stored for the next owner; the update times are left out. */
export interface TailModelSnapshot {
  /** Low quantile of the tail latencies and number of reports, by serving image. */
  readonly idleTails: Readonly<Record<string, readonly [lowMs: number, reports: number]>>;
  /** Mean and variance of the pressure, by serving and backfill image. */
  readonly pressures: Readonly<Record<string, Readonly<Record<string, readonly [number, number]>>>>;
  readonly waves: LoadSnapshot;
}

/** Processor use and image of a backfill task that runs or may be placed on a minion. */
export interface InterferingTask {
  /** Cores in use, scaled to a minion of the reference size. */
  readonly cores: number;
  readonly image: string;
}

/** Returns the cores of a task, scaled to a minion of the reference size. */
export function toReferenceCores(cpuMilli: number, minion: MinionState): number {
  const capacityCpuMilli = Math.max(MIN_CAPACITY_CPU_MILLI, minion.description.capacity.cpuMilli);
  return (cpuMilli * REFERENCE_CORES) / capacityCpuMilli;
}

function getImage(run: Run): string {
  return run.step.shape.image ?? '';
}

export class TailLatencyModel {
  /** Number of changes of the estimates so far; shows whether a derived value is current. */
  changes = 0;
  /** Number of times so far that a pair of images was added or removed, so that its estimate is another object. */
  pairChanges = 0;
  readonly #idleTails = new Map<string, IdleTail>();
  readonly #loadForecaster = new LoadForecaster();
  readonly #pressures = new Map<string, Map<string, PressureEstimate>>();

  /** Returns a snapshot for the next owner. */
  export(now: Instant, wall: WallTime): TailModelSnapshot {
    return {
      idleTails: Object.fromEntries(
        [...this.#idleTails].map(([image, {lowMs, reports}]) => [image, [lowMs, reports]]),
      ),
      pressures: Object.fromEntries(
        [...this.#pressures].map(([serving, pairs]) => [
          serving,
          Object.fromEntries(
            [...pairs].map(([backfill, {mean, variance}]) => [backfill, [mean, variance]]),
          ),
        ]),
      ),
      waves: this.#loadForecaster.export(now, wall),
    };
  }

  /** Imports the snapshot of a former owner. */
  import({idleTails, pressures, waves}: TailModelSnapshot, now: Instant, wall: WallTime): void {
    this.changes += 1;
    this.pairChanges += 1;
    this.#loadForecaster.import(waves, now, wall);
    for (const [image, [lowMs, reports]] of Object.entries(idleTails)) {
      this.#idleTails.set(image, {lowMs, reports});
    }
    for (const [serving, pairs] of Object.entries(pressures)) {
      const known = new Map<string, PressureEstimate>();
      for (const [backfill, [mean, variance]] of Object.entries(pairs)) {
        known.set(backfill, {mean, updatedAt: now, variance});
      }
      this.#pressures.set(serving, known);
    }
  }

  /** Returns the expected load of a serving run without interference, at the instant of a phase. */
  forecastLoad({step}: Run, phase: WavePhase): Estimate {
    return this.#loadForecaster.forecastPhase(step, phase);
  }

  /** Returns the phases of the loads at instants that may be in the future, as of the present estimates. */
  listPhases(instants: readonly Instant[]): readonly WavePhase[] {
    return instants.map((at) => this.#loadForecaster.computePhase(at));
  }

  /** Updates the model with the latest reports of a minion. */
  observe(minion: MinionState, now: Instant): void {
    const visibleTasks: InterferingTask[] = [];
    for (const run of minion.runs) {
      const isVisible =
        run.step.shape.fillsSpareCpu &&
        run.confirmedAt !== undefined &&
        now - run.confirmedAt >= MIN_VISIBLE_AGE_MS;
      if (isVisible) {
        visibleTasks.push({
          cores: toReferenceCores(run.reading ?? 0, minion),
          image: getImage(run),
        });
      }
    }
    // Tasks of one step share their load and their image, so their reports are combined.
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
      this.changes += 1;
      this.#update(step, runs, visibleTasks, now);
    }
  }

  /**
   * Returns the pressure of one reference core of a backfill image on a serving run. The object follows the
   * reports until `pairChanges` differs.
   */
  estimatePressure(serving: Run, image: string): Estimate {
    return this.#pressures.get(getImage(serving))?.get(image) ?? PRIOR_PRESSURE;
  }

  /** Returns the utilization at which the run's tail latency reaches its target. */
  computeUtilizationAtTarget(run: Run): number {
    const target = run.step.shape.tailTargetMs ?? Infinity;
    return 1 - this.#estimateIdleTailMs(run, target) / target;
  }

  #estimateIdleTailMs(run: Run, targetMs: number): number {
    const idle = this.#idleTails.get(getImage(run));
    return idle === undefined || idle.reports < MIN_REPORTS
      ? targetMs * DEFAULT_IDLE_TAIL_SHARE
      : idle.lowMs * IDLE_TAIL_SHARE;
  }

  #update(
    step: StepState,
    runs: readonly Run[],
    visibleTasks: readonly InterferingTask[],
    now: Instant,
  ): void {
    const utilization =
      runs.reduce((sum, run) => sum + this.#inferUtilization(run), 0) / runs.length;
    const reportVariance = REPORT_VARIANCE / Math.min(runs.length, MAX_INDEPENDENT_REPORTS);
    const expectedLoad = this.#loadForecaster.forecast(step, now);
    const terms = visibleTasks
      .filter(({cores}) => cores > 0)
      .map(({cores, image}) => ({
        cores,
        pair: this.#updatePair(step.shape.image ?? '', image, now),
      }));
    const factor = terms.reduce((sum, {cores, pair}) => sum + cores * pair.mean, 1);
    const residual = utilization - expectedLoad.mean * factor;
    if (utilization >= SATURATED_UTILIZATION && residual < 0) {
      return;
    }
    const pressureVariance = terms.reduce(
      (sum, {cores, pair}) => sum + (expectedLoad.mean * cores) ** 2 * pair.variance,
      0,
    );
    const variance = pressureVariance + factor ** 2 * expectedLoad.variance + reportVariance;
    for (const {cores, pair} of terms) {
      const slope = expectedLoad.mean * cores;
      const gain = (slope * pair.variance) / variance;
      pair.mean = Math.max(0, pair.mean + gain * residual);
      pair.variance *= 1 - gain * slope;
    }
    const observation = {
      slope: factor,
      value: utilization,
      variance: pressureVariance + reportVariance,
    };
    this.#loadForecaster.update(step, observation, now);
  }

  /** Returns the utilization that corresponds to a serving run's reported tail latency. */
  #inferUtilization(run: Run): number {
    const {reading = 0, step} = run;
    const {tailTargetMs = Infinity} = step.shape;
    this.#recordIdleTail(run, reading);
    const utilization = 1 - this.#estimateIdleTailMs(run, tailTargetMs) / reading;
    return Math.min(SATURATED_UTILIZATION, Math.max(MIN_UTILIZATION, utilization));
  }

  /** Removes the image that was added first when there are too many. */
  #evictOldest(images: Map<string, unknown>): void {
    const [oldest] = images.keys();
    if (images.size > MAX_IMAGES && oldest !== undefined) {
      images.delete(oldest);
      this.pairChanges += 1;
    }
  }

  #recordIdleTail(run: Run, tailMs: number): void {
    const image = getImage(run);
    const idle = this.#idleTails.get(image) ?? {lowMs: tailMs, reports: 0};
    const step = idle.lowMs * QUANTILE_STEP_SHARE;
    idle.lowMs += tailMs < idle.lowMs ? -step * (1 - LOW_QUANTILE) : step * LOW_QUANTILE;
    idle.reports += 1;
    this.#idleTails.set(image, idle);
    this.#evictOldest(this.#idleTails);
  }

  #updatePair(serving: string, backfill: string, now: Instant): PressureEstimate {
    const pairs = this.#pressures.get(serving) ?? new Map<string, PressureEstimate>();
    this.#pressures.set(serving, pairs);
    this.#evictOldest(this.#pressures);
    const known = pairs.get(backfill);
    const pair = known ?? {...PRIOR_PRESSURE, updatedAt: now};
    pairs.set(backfill, pair);
    this.#evictOldest(pairs);
    this.pairChanges += known === undefined ? 1 : 0;
    pair.variance = Math.min(
      PRIOR_PRESSURE.variance,
      pair.variance + ((now - pair.updatedAt) / 1000) * PRESSURE_DRIFT_PER_S,
    );
    pair.updatedAt = now;
    return pair;
  }
}
