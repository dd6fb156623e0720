/** One round of placement decisions over the waiting tasks. */

import type {Instant, TeamId} from '@nutmegproxy/core';

import type {Placement, PlacementDecision} from './Placement.ts';
import type {LaneOrder, TaskQueue, WaitingTask} from './TaskQueue.ts';

/** A decision that requires an action; tasks that have to wait stay in the queue without one. */
export interface RoundDecision {
  readonly decision: Exclude<PlacementDecision, {kind: 'wait'}>;
  readonly task: WaitingTask;
}

/** Inputs of one placement round. */
export interface PlacementRound {
  /** Maximum number of decisions, so that the event loop returns to lease renewals in time. */
  readonly limit: number;
  readonly order: LaneOrder;
  readonly placement: Placement;
  readonly queue: TaskQueue;
  readonly usedShare: (team: TeamId) => number;
}

/**
 * Decides on waiting tasks in the given order. Placed and impossible tasks leave the queue. A lane
 * whose first task has to wait is skipped for the rest of the round; the other lanes continue, since
 * their tasks may be smaller.
 *
 * @example
 * const decisions = decideRound({limit: 256, order, placement, queue, usedShare}, now);
 */
export function decideRound(round: PlacementRound, now: Instant): readonly RoundDecision[] {
  const {limit, order, placement, queue, usedShare} = round;
  const decisions: RoundDecision[] = [];
  const lanes = [...order(queue.lanes(), usedShare, now)];
  let remaining = lanes;
  while (remaining.length > 0 && decisions.length < limit) {
    const next: typeof lanes = [];
    for (const lane of remaining) {
      const task = lane.first();
      if (!task || decisions.length >= limit) {
        continue;
      }
      const decision = placement.decide(task.request, now);
      if (decision.kind === 'wait') {
        continue;
      }
      decisions.push({decision, task});
      if (decision.kind === 'evict') {
        // The task stays queued until its victims have stopped.
        continue;
      }
      queue.remove(task.request.entry, task.request.attempt);
      next.push(lane);
    }
    remaining = next;
  }
  return decisions;
}
