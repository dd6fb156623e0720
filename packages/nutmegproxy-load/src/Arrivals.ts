/** Arrivals of an open loop: intended times, service times and callers, all from one seed. */

import type {Fault, Scenario, Traffic} from '@nutmegproxy/schema';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {SERVICE_TIME_SPREAD_MAX} from './LoadConstants.ts';
import {slotCapacity} from './Scenario.ts';

/** One request that a caller means to send. */
export interface Arrival {
  /** Intended time after the start of the warm-up. */
  readonly atMs: number;
  /** 0 to 1; says whether a fault of a share of the callers strikes this one. */
  readonly draw: number;
  readonly serviceMs: number;
  readonly traffic: Traffic;
}

/** Whether a fault is in force at a time after the warm-up. */
export function isActive(fault: Fault, atMs: number): boolean {
  return atMs >= fault.atMs && atMs < (fault.untilMs ?? Infinity);
}

function computeLoadFactor({faults = []}: Scenario, atMs: number): number {
  return faults
    .filter((fault) => fault.kind === 'load' && isActive(fault, atMs))
    .reduce((product, {factor}) => product * (factor ?? 1), 1);
}

function drawExponential(random: RandomGenerator): number {
  return -Math.log(1 - uniformFloat64(random));
}

/** Half of the mean is fixed, half exponential, so that times differ as those of real work. */
function drawServiceMs(random: RandomGenerator, meanMs: number): number {
  const factor = 0.5 + 0.5 * drawExponential(random);
  return Math.max(1, Math.round(meanMs * Math.min(SERVICE_TIME_SPREAD_MAX, factor)));
}

function drawTraffic(random: RandomGenerator, traffic: readonly Traffic[]): Traffic | undefined {
  const total = traffic.reduce((sum, {share}) => sum + share, 0);
  let left = uniformFloat64(random) * total;
  for (const each of traffic) {
    left -= each.share;
    if (left < 0) {
      return each;
    }
  }
  return traffic.at(-1);
}

/**
 * Draws all arrivals of a scenario; the same seed gives the same ones.
 *
 * @example
 * const arrivals = drawArrivals(scenario, 7);
 */
export function drawArrivals(scenario: Scenario, seed: number): readonly Arrival[] {
  const random = xoroshiro128plus(seed);
  const meanGapMs = 1000 / (slotCapacity(scenario) * scenario.load);
  const endMs = scenario.warmUpMs + scenario.durationMs;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    const factor = computeLoadFactor(scenario, atMs - scenario.warmUpMs);
    atMs += (drawExponential(random) * meanGapMs) / factor;
    const traffic = drawTraffic(random, scenario.traffic);
    if (atMs >= endMs || traffic === undefined) {
      return arrivals;
    }
    const serviceMs = drawServiceMs(random, traffic.serviceMs);
    arrivals.push({atMs, draw: uniformFloat64(random), serviceMs, traffic});
  }
}
