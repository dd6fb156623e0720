/** Scores workers for a placement request, by predicted slowdown, fragmentation and rack spread. */

import type {EntryId, Instant, RackId} from '@nutmegproxy/core';
import type {Resources, WorkClass} from '@nutmegproxy/schema';

import type {CoRunner, Interference} from './Interference.ts';
import type {PlacementRequest} from './Placement.ts';
import type {WorkerLoad} from './WorkerLedger.ts';

import {
  CAUTION_DEVIATIONS,
  EXPLORATION_DEVIATIONS,
  FRAGMENTATION_WEIGHT,
  LATENCY_CRITICAL_WEIGHT,
  SAME_RACK_WEIGHT,
} from './LearnedConstants.ts';
import {addResources, dominantShare} from './ResourcesUtils.ts';

/** An attempt that runs on a worker, or would run there. */
export interface RunningAttempt extends CoRunner {
  readonly class: WorkClass;
}

interface ClassWeight {
  readonly deviations: number;
  readonly weight: number;
}

const CLASS_WEIGHTS: Record<WorkClass, ClassWeight> = {
  batch: {deviations: -EXPLORATION_DEVIATIONS, weight: 1},
  'latency-critical': {deviations: CAUTION_DEVIATIONS, weight: LATENCY_CRITICAL_WEIGHT},
};

/** Returns the number of running attempts of an entry in a rack. */
export type RackCount = (entry: EntryId, rack: RackId) => number;

/**
 * Returns the predicted cost of placing the request on a worker; lower is better. Tail latency
 * counts more than throughput.
 */
export function scoreWorker(
  request: PlacementRequest,
  reserved: Resources,
  load: WorkerLoad,
  runningAttempts: readonly RunningAttempt[],
  interference: Interference,
  rackCount: RackCount,
  now: Instant,
): number {
  const share = load.profile.capacity.cpu > 0 ? reserved.cpu / load.profile.capacity.cpu : 0;
  const candidate: RunningAttempt = {class: request.class, entry: request.entry, share};
  let score = 0;
  for (const running of runningAttempts) {
    score += weightedSlowdown(candidate, running, interference, now);
    score += weightedSlowdown(running, candidate, interference, now);
  }
  const used = addResources(load.reserved, reserved);
  score += FRAGMENTATION_WEIGHT * (1 - dominantShare(used, load.profile.capacity));
  if (request.class === 'latency-critical') {
    score += SAME_RACK_WEIGHT * rackCount(request.entry, load.profile.rack);
  }
  return score;
}

function weightedSlowdown(
  affected: RunningAttempt,
  by: RunningAttempt,
  interference: Interference,
  now: Instant,
): number {
  const {deviations, weight} = CLASS_WEIGHTS[affected.class];
  const {deviation, mean} = interference.predict(affected.entry, by, now);
  return weight * Math.max(0, mean + deviations * deviation);
}
