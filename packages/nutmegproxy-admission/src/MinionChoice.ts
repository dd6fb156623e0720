/** Policies that choose a minion with a free slot for a request. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import type {Random} from './Random.ts';

import {ESTIMATE_HALF_LIFE_MS, MOVING_MEAN_WEIGHT} from './AdmissionConstants.ts';

/** Moving average of a minion's response times, as measured by this process. */
export interface LatencyEstimate {
  readonly at: Instant;
  readonly meanMs: number;
}

/** A minion that can be given a request now. */
export interface MinionCandidate {
  readonly inFlight: number;
  readonly latency: LatencyEstimate | undefined;
  readonly minion: MinionId;
  /** Slots on the minion that this process may use. */
  readonly slots: number;
}

/** Returns one of the candidates, or undefined when there are none. */
export type MinionChoice = (
  candidates: readonly MinionCandidate[],
  now: Instant,
) => MinionCandidate | undefined;

/** Names of the minion choice policies. */
export type MinionChoicePolicy = 'least-loaded' | 'power-of-two' | 'round-robin';

/**
 * Returns the estimate updated with a measurement.
 *
 * @example
 * const latency = updateEstimate(undefined, 12.5, now);
 */
export function updateEstimate(
  estimate: LatencyEstimate | undefined,
  measuredMs: number,
  now: Instant,
): LatencyEstimate {
  const meanMs = estimate?.meanMs ?? measuredMs;
  return {at: now, meanMs: meanMs + MOVING_MEAN_WEIGHT * (measuredMs - meanMs)};
}

/** Returns the candidate's latency estimate; it moves towards `medianMs` as it becomes outdated. */
function currentEstimateMs(candidate: MinionCandidate, medianMs: number, now: Instant): number {
  if (candidate.latency === undefined) {
    return medianMs;
  }
  const weight = 0.5 ** ((now - candidate.latency.at) / ESTIMATE_HALF_LIFE_MS);
  return medianMs + weight * (candidate.latency.meanMs - medianMs);
}

function medianLatencyMs(candidates: readonly MinionCandidate[]): number {
  const known = candidates.flatMap(({latency}) => (latency === undefined ? [] : [latency.meanMs]));
  known.sort((a, b) => a - b);
  return known[known.length >> 1] ?? 1;
}

function createRoundRobin(): MinionChoice {
  let next = 0;
  return (candidates) => {
    const chosen = candidates[next % Math.max(1, candidates.length)];
    next = (next + 1) % Number.MAX_SAFE_INTEGER;
    return chosen;
  };
}

function createLeastLoaded(random: Random): MinionChoice {
  return (candidates) => {
    const start = Math.floor(random() * candidates.length);
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    return rotated.reduce<MinionCandidate | undefined>(
      (best, each) =>
        best === undefined || each.inFlight / each.slots < best.inFlight / best.slots ? each : best,
      undefined,
    );
  };
}

function createPowerOfTwo(random: Random): MinionChoice {
  return (candidates, now) => {
    const first = candidates[Math.floor(random() * candidates.length)];
    const rest = candidates.filter((each) => each !== first);
    const second = rest[Math.floor(random() * rest.length)];
    if (first === undefined || second === undefined) {
      return first;
    }
    const medianMs = medianLatencyMs(candidates);
    const cost = (each: MinionCandidate): number =>
      (1 + each.inFlight / each.slots) * currentEstimateMs(each, medianMs, now);
    return cost(second) < cost(first) ? second : first;
  };
}

/** Minion choice policies by name. `round-robin` is the baseline for comparisons. */
export const MINION_CHOICES: Record<MinionChoicePolicy, (random: Random) => MinionChoice> = {
  'least-loaded': createLeastLoaded,
  'power-of-two': createPowerOfTwo,
  'round-robin': createRoundRobin,
};
