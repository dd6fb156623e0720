/** Orders in which waiting tasks get their turn. */

import type {Instant, TeamId} from '@nutmegproxy/core';

import type {Lane, LaneOrder} from './TaskQueue.ts';

import {BATCH_AGEING_MS} from './LearnedConstants.ts';

export type LaneOrderName = 'fair' | 'first-come';

/** Rank of a lane: latency-critical, then batch that has waited long, then the rest. */
function toRank(lane: Lane, now: Instant): number {
  const first = lane.first();
  if (!first) {
    return 3;
  }
  if (first.request.class === 'latency-critical') {
    return 0;
  }
  return now - first.request.queuedAt >= BATCH_AGEING_MS ? 1 : 2;
}

function queuedAt(lane: Lane): number {
  return lane.first()?.request.queuedAt ?? Infinity;
}

function orderFairly(
  lanes: readonly Lane[],
  usedShare: (team: TeamId) => number,
  now: Instant,
): readonly Lane[] {
  const keyed = lanes.map((lane) => ({
    lane,
    rank: toRank(lane, now),
    share: usedShare(lane.team),
  }));
  keyed.sort(
    (a, b) =>
      a.rank - b.rank ||
      // Among tasks that are late already only the time counts; else the team that holds least.
      (a.rank === 2 ? a.share - b.share : 0) ||
      queuedAt(a.lane) - queuedAt(b.lane),
  );
  return keyed.map(({lane}) => lane);
}

/**
 * Orders by name. `first-come` is the baseline.
 *
 * @example
 * const lanes = LANE_ORDERS.fair(queue.lanes(), heldShare, now);
 */
export const LANE_ORDERS: Readonly<Record<LaneOrderName, LaneOrder>> = {
  fair: orderFairly,
  'first-come': (lanes) => [...lanes].sort((a, b) => queuedAt(a) - queuedAt(b)),
};
