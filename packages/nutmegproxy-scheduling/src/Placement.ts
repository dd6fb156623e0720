/**
 * Computes the cost of placing a task on a minion.
 *
 * Serving tasks are packed, by image where possible, so that backfill tasks find minions whose
 * serving tasks tolerate them. Ordinary tasks are packed too, so that large ones find room. Backfill
 * tasks prefer minions with the most unused processors.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepShape, StepState} from '@nutmegproxy/jobs';

import type {MinionState, WorkKind} from './MinionState.ts';

import {findUnavailability} from './MinionAvailability.ts';
import {classifyWork} from './MinionState.ts';

/** Share of a backfill task's processors that must be unused on the minion. */
const BACKFILL_UNUSED_SHARE = 1;
/** Cost of a rack other than the preferred one, which holds the data, in thousandths of a core. */
const REMOTE_RACK_COST = 100_000;

/** Speed below which a minion is only used when no other has capacity. */
const SLOW_SPEED_THRESHOLD = 0.45;
/** Cost of a minion below that speed, in thousandths of a core. */
const SLOW_MINION_COST = 200_000;
/** Cost of a minion on trial, in thousandths of a core; it is used when no trusted one has capacity. */
const TRIAL_MINION_COST = 400_000;

/** Cost of a backfill task that brings serving tasks over their targets, in thousandths of a core: more than any other. */
export const INTERFERENCE_COST = 1_000_000;

/** Costs of running tasks of different kinds on the same minion. */
export interface SharingCosts {
  /**
   * Cost of a backfill task, in thousandths of a core; undefined when it would interfere too much
   * with serving tasks.
   */
  readonly backfillCost: (minion: MinionState, step: StepState, now: Instant) => number | undefined;
  /**
   * Whether the costs of a backfill step may rise on any minion once a task of it is placed, since the step has
   * waited. Without it, they may change in any way.
   */
  readonly dependsOnWait?: (step: StepState, now: Instant) => boolean;
  /** Cost of an ordinary task, in thousandths of a core. */
  readonly ordinaryCost: (minion: MinionState, shape: StepShape) => number;
  /** Cost of a task of an overdue backfill step; without it, minions that admit no other backfill are alike. */
  readonly overdueCost?: (minion: MinionState, step: StepState, now: Instant) => number | undefined;
  /** Cost of a serving task, in thousandths of a core. */
  readonly servingCost: (minion: MinionState, shape: StepShape) => number;
  /** Cost of such a task where serving tasks tolerate it; without it, they tolerate what they admit. */
  readonly toleratedCost?: (
    minion: MinionState,
    step: StepState,
    now: Instant,
  ) => number | undefined;
}

interface KindPlacement {
  /** Lower is better; undefined when the task must not run on the minion. */
  readonly cost: (
    minion: MinionState,
    step: StepState,
    sharingCosts: SharingCosts,
    now: Instant,
  ) => number | undefined;
}

const KIND_PLACEMENTS: Readonly<Record<WorkKind, KindPlacement>> = {
  filling: {
    cost: (minion, step, sharingCosts, now) => {
      const isOpen = now >= minion.backfillHeldUntil;
      const sharing =
        isOpen && minion.spareCpuMilli >= step.shape.resources.cpuMilli * BACKFILL_UNUSED_SHARE
          ? sharingCosts.backfillCost(minion, step, now)
          : undefined;
      return sharing === undefined ? undefined : sharing - minion.spareCpuMilli;
    },
  },
  ordinary: {
    cost: (minion, {shape}, sharingCosts) => sharingCosts.ordinaryCost(minion, shape),
  },
  serving: {
    cost: (minion, {shape}, sharingCosts) =>
      sharingCosts.servingCost(minion, shape) + minion.backfillCpuMilli - minion.servingCpuMilli,
  },
};

/** Whether the minion can get new work. */
export function isSchedulable(minion: MinionState, now: Instant): boolean {
  return findUnavailability(minion, now) === undefined;
}

/** Whether the constraints of a step allow one more of its tasks on the minion. */
export function meetsConstraints(step: StepState, minion: MinionState): boolean {
  const {maxPerMinion, requiredLabel} = step.shape;
  return (
    (requiredLabel === undefined || minion.hasLabel(requiredLabel)) &&
    (maxPerMinion === undefined || step.countRunsOn(minion.id) < maxPerMinion)
  );
}

/**
 * Returns the cost of one more task of a step on a minion, in thousandths of a core; lower is
 * better. Undefined when the minion lacks the capacity or does not meet the step's constraints.
 */
export function computePlacementCost(
  step: StepState,
  minion: MinionState,
  sharingCosts: SharingCosts,
  now: Instant,
): number | undefined {
  const {shape} = step;
  if (!minion.hasCapacity(shape) || !meetsConstraints(step, minion)) {
    return undefined;
  }
  const kindCost = KIND_PLACEMENTS[classifyWork(shape)].cost(minion, step, sharingCosts, now);
  if (kindCost === undefined) {
    return undefined;
  }
  const isRemote =
    shape.preferredRack !== undefined && shape.preferredRack !== minion.description.rack;
  const slowCost = minion.estimateSpeed(now) < SLOW_SPEED_THRESHOLD ? SLOW_MINION_COST : 0;
  const trialCost = minion.trust.level(now) === 'trusted' ? 0 : TRIAL_MINION_COST;
  return kindCost + slowCost + trialCost + (isRemote ? REMOTE_RACK_COST : 0);
}
