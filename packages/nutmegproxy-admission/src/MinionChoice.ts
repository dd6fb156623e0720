/** Which minion a request goes to, of those with a free slot. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import type {Random} from './Random.ts';

import {ESTIMATE_HALF_LIFE_MS, MOVING_MEAN_WEIGHT} from './AdmissionConstants.ts';

/** Moving mean of a minion's answer times, as seen by this process. */
export interface LatencyEstimate {
  readonly at: Instant;
  readonly meanMs: number;
}

/** A minion that may be given a request now. */
export interface MinionCandidate {
  readonly inFlight: number;
  readonly latency: LatencyEstimate | undefined;
  readonly minion: MinionId;
  /** Slots that this process may use there. */
  readonly slots: number;
}

/** Picks one of the candidates; undefined only when there is none. */
export type MinionChoice = (
  candidates: readonly MinionCandidate[],
  now: Instant,
) => MinionCandidate | undefined;

/** Names of the choice policies. */
export type MinionChoicePolicy = 'least-loaded' | 'power-of-two' | 'round-robin';

/**
 * Adds a measurement to an estimate.
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

/** An estimate that has grown old says little, so it moves towards `typicalMs`. */
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

/** The choice policies; `round-robin` is the baseline. */
export const MINION_CHOICES: Record<MinionChoicePolicy, (random: Random) => MinionChoice> = {
  'least-loaded': createLeastLoaded,
  'power-of-two': createPowerOfTwo,
  'round-robin': createRoundRobin,
};
