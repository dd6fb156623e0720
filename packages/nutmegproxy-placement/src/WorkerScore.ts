/** Scores workers for a wish: the lower, the better for tail latency, then for throughput. */

import type {EntryId, Instant, RackId} from '@nutmegproxy/core';
import type {Resources, WorkClass} from '@nutmegproxy/schema';

import type {CoRunner, Interference} from './Interference.ts';
import type {PlacementWish} from './Placement.ts';
import type {WorkerLoad} from './WorkerLedger.ts';

import {
  CAUTION_DEVIATIONS,
  EXPLORATION_DEVIATIONS,
  FRAGMENTATION_WEIGHT,
  LATENCY_CRITICAL_WEIGHT,
  SAME_RACK_WEIGHT,
} from './LearnedConstants.ts';
import {addResources, dominantShare} from './ResourcesUtils.ts';

/** An attempt that is on the worker already. */
export interface Resident extends CoRunner {
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

/** Counts running attempts of an entry in a rack. */
export type RackCount = (entry: EntryId, rack: RackId) => number;

/** Predicted harm of putting the wish on a worker. */
export function scoreWorker(
  wish: PlacementWish,
  reserved: Resources,
  load: WorkerLoad,
  residents: readonly Resident[],
  interference: Interference,
  rackCount: RackCount,
  now: Instant,
): number {
  const share = load.profile.capacity.cpu > 0 ? reserved.cpu / load.profile.capacity.cpu : 0;
  const newcomer: Resident = {class: wish.class, entry: wish.entry, share};
  let score = 0;
  for (const resident of residents) {
    score += harm(newcomer, resident, interference, now);
    score += harm(resident, newcomer, interference, now);
  }
  const used = addResources(load.reserved, reserved);
  score += FRAGMENTATION_WEIGHT * (1 - dominantShare(used, load.profile.capacity));
  if (wish.class === 'latency-critical') {
    score += SAME_RACK_WEIGHT * rackCount(wish.entry, load.profile.rack);
  }
  return score;
}

function harm(victim: Resident, by: Resident, interference: Interference, now: Instant): number {
  const {deviations, weight} = CLASS_WEIGHTS[victim.class];
  const {deviation, mean} = interference.predict(victim.entry, by, now);
  return weight * Math.max(0, mean + deviations * deviation);
}
