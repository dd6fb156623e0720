/** Orders in which the lanes of waiting tasks are served. */

import type {Instant, TeamId} from '@nutmegproxy/core';

import type {Lane, LaneOrder} from './TaskQueue.ts';

import {BATCH_AGEING_MS} from './LearnedConstants.ts';

export type LaneOrderName = 'fair' | 'first-come';

/** Ranks a lane by its first task: latency-critical, then aged batch, then other batch, then empty. */
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
      // Only unaged batch lanes are ordered by the team's share; all others by waiting time alone.
      (a.rank === 2 ? a.share - b.share : 0) ||
      queuedAt(a.lane) - queuedAt(b.lane),
  );
  return keyed.map(({lane}) => lane);
}

/**
 * Lane orders by name. `first-come` is the baseline for comparisons.
 *
 * @example
 * const lanes = LANE_ORDERS.fair(queue.lanes(), usedShare, now);
 */
export const LANE_ORDERS: Readonly<Record<LaneOrderName, LaneOrder>> = {
  fair: orderFairly,
  'first-come': (lanes) => [...lanes].sort((a, b) => queuedAt(a) - queuedAt(b)),
};
