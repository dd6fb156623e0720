/** One round of decisions over the tasks that wait. */

import type {Instant, TeamId} from '@nutmegproxy/core';

import type {Placement, PlacementDecision} from './Placement.ts';
import type {LaneOrder, TaskQueue, WaitingTask} from './TaskQueue.ts';

/** A decision that calls for an action; tasks that have to wait stay in the queue. */
export interface RoundDecision {
  readonly decision: Exclude<PlacementDecision, {kind: 'wait'}>;
  readonly task: WaitingTask;
}

/** What a round may use. */
export interface Round {
  readonly heldShare: (team: TeamId) => number;
  /** Most decisions in the round, so that the loop gets back to renewals in time. */
  readonly limit: number;
  readonly order: LaneOrder;
  readonly placement: Placement;
  readonly queue: TaskQueue;
}

/**
 * Decides on waiting tasks in the given order. Placed and impossible tasks leave the queue. A lane
 * whose first task has to wait is left for this round, and others go on: they may be smaller.
 *
 * @example
 * const decisions = decideRound({heldShare, limit: 256, order, placement, queue}, now);
 */
export function decideRound(round: Round, now: Instant): readonly RoundDecision[] {
  const {heldShare, limit, order, placement, queue} = round;
  const decisions: RoundDecision[] = [];
  const lanes = [...order(queue.lanes(), heldShare, now)];
  let open = lanes;
  while (open.length > 0 && decisions.length < limit) {
    const next: typeof lanes = [];
    for (const lane of open) {
      const task = lane.first();
      if (!task || decisions.length >= limit) {
        continue;
      }
      const decision = placement.decide(task.wish, now);
      if (decision.kind === 'wait') {
        continue;
      }
      decisions.push({decision, task});
      if (decision.kind === 'evict') {
        // The task stays queued until its victims are gone.
        continue;
      }
      queue.remove(task.wish.entry, task.wish.attempt);
      next.push(lane);
    }
    open = next;
  }
  return decisions;
}
