/** Generates the arrivals of an open-loop run from a seed: send times, service times and traffic. */

import type {Fault, Scenario, Traffic} from '@nutmegproxy/schema';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {SERVICE_TIME_SPREAD_MAX} from './LoadConstants.ts';
import {slotCapacity} from './Scenario.ts';

/** One planned request of a caller. */
export interface Arrival {
  /** Intended send time, counted from the start of the warm-up. */
  readonly atMs: number;
  /** Uniform draw from 0 to 1; a fault that affects a share of the callers compares it with the share. */
  readonly draw: number;
  readonly serviceMs: number;
  readonly traffic: Traffic;
}

/** Returns whether a fault is active at a time counted from the end of the warm-up. */
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

/** Draws a service time: half of the mean is fixed, half exponential, to vary as real work does. */
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
 * Draws all arrivals of a scenario; the same seed yields the same arrivals.
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
