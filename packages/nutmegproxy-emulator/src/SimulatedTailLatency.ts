/**
 * Tail latencies of simulated serving tasks: the load of a step is a wave, and backfill tasks on the
 * same minion raise the utilization by a pressure that differs for each pair of images.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {toReferenceCores} from '@nutmegproxy/scheduling';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Tail latency of an idle serving task, as a share of its target. */
const IDLE_TAIL_SHARE = 0.2;
/** Load of a serving task: its mean, its swing as a share of it, and its period in milliseconds. */
const SERVING_LOAD = {mean: 0.45, periodMs: 14_000, swing: 0.5};
/** Highest utilization of a serving task that the simulation knows. */
const MAX_UTILIZATION = 0.98;
/** Highest pressure of one reference core of backfill. */
const MAX_PRESSURE = 0.1;
/** Exponent of the distribution of pressures; most pairs of images interfere little. */
const PRESSURE_EXPONENT = 3;

export class SimulatedTailLatency {
  readonly #random: RandomGenerator;
  /** Numbers from 0 to 1, drawn once for each step and pair of images. */
  readonly #shares = new Map<string, number>();

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  /** Sets the readings of the minion's runs; returns how many serving runs exceed their target. */
  report(minion: MinionState, now: Instant): number {
    let overTarget = 0;
    for (const run of minion.runs) {
      const {resources, tailTargetMs} = run.step.shape;
      if (tailTargetMs === undefined) {
        run.reading = resources.cpuMilli;
        continue;
      }
      const utilization = Math.min(MAX_UTILIZATION, this.#computeUtilization(minion, run, now));
      run.reading = Math.round((tailTargetMs * IDLE_TAIL_SHARE) / (1 - utilization));
      overTarget += run.reading > tailTargetMs ? 1 : 0;
    }
    return overTarget;
  }

  #computeUtilization(minion: MinionState, {step}: Run, now: Instant): number {
    const phase = this.#drawShare(step.job.id) * 2 * Math.PI;
    const angle = (2 * Math.PI * now) / SERVING_LOAD.periodMs + phase;
    const load = SERVING_LOAD.mean * (1 + SERVING_LOAD.swing * Math.sin(angle));
    let pressure = 0;
    for (const {step: other} of minion.runs) {
      if (other.shape.fillsSpareCpu) {
        const cores = toReferenceCores(other.shape.resources.cpuMilli, minion);
        const share = this.#drawShare(`${step.shape.image ?? ''} ${other.shape.image ?? ''}`);
        pressure += cores * MAX_PRESSURE * share ** PRESSURE_EXPONENT;
      }
    }
    return load * (1 + pressure);
  }

  /** Returns a number from 0 to 1 that stays the same for a key. */
  #drawShare(key: string): number {
    const share = this.#shares.get(key) ?? uniformFloat64(this.#random);
    this.#shares.set(key, share);
    return share;
  }
}
