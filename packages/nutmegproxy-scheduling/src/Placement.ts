/**
 * Which minion a task is placed on.
 *
 * Serving tasks are packed onto few minions, so that filling tasks, which disturb them, have the
 * rest. Ordinary tasks take what serving minions leave first, since they disturb nobody there and
 * take no processors from filling tasks. Filling tasks go where most processors are unused.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepShape, StepState} from '@nutmegproxy/jobs';

import type {MinionState, WorkKind} from './MinionState.ts';

import {workKind} from './MinionState.ts';

/** Time in milliseconds that an entry may be missing before its minion gets no more work. */
const UNLISTED_GRACE_MS = 2_500;
/** Share of a minion's processors that serving tasks may reserve; tails grow with the load. */
const SERVING_DENSITY = 1;
/** Share of its processors that a filling task must find unused. */
const FILLING_SHARE = 1;
/** Cost of a rack other than the one that holds the data, in thousandths of a core. */
const REMOTE_RACK_COST = 100_000;

/** How minions stand towards serving work, as far as placement needs it. */
export interface PlacementView {
  /** Whether the minion is kept free of filling tasks for serving ones. */
  readonly isReserved: (minion: MinionState) => boolean;
  /** Whether a filling task may start beside the minion's serving tasks. */
  readonly mayFill: (minion: MinionState, shape: StepShape) => boolean;
}

interface KindPlacement {
  /** Lower is better. */
  readonly cost: (minion: MinionState, shape: StepShape, view: PlacementView) => number;
  readonly fits: (minion: MinionState, shape: StepShape, view: PlacementView) => boolean;
}

const SERVED_MINION_BONUS = 1_000_000;

const KIND_PLACEMENTS: Readonly<Record<WorkKind, KindPlacement>> = {
  filling: {
    cost: (minion) => -minion.spareCpuMilli + minion.servingRuns * SERVED_MINION_BONUS,
    fits: (minion, shape, view) =>
      minion.spareCpuMilli >= shape.resources.cpuMilli * FILLING_SHARE &&
      view.mayFill(minion, shape),
  },
  ordinary: {
    cost: (minion, _shape, view) =>
      -minion.spareCpuMilli -
      (minion.servingRuns > 0 || view.isReserved(minion) ? SERVED_MINION_BONUS : 0),
    fits: () => true,
  },
  serving: {
    cost: (minion, _shape, view) =>
      minion.servingRuns > 0
        ? -minion.servingCpuMilli - 2 * SERVED_MINION_BONUS + minion.fillingCpuMilli
        : minion.fillingCpuMilli - (view.isReserved(minion) ? SERVED_MINION_BONUS : 0),
    fits: (minion, shape) =>
      minion.servingCpuMilli + shape.resources.cpuMilli <=
      minion.description.capacity.cpuMilli * SERVING_DENSITY,
  },
};

/** Whether the minion takes new work at all. */
export function isUsable(minion: MinionState, now: Instant): boolean {
  const {isDraining} = minion.description;
  const isListed =
    minion.unlistedSince === undefined || now - minion.unlistedSince < UNLISTED_GRACE_MS;
  const level = minion.trust.level(now);
  return (
    minion.isReported &&
    isListed &&
    !isDraining &&
    minion.missedCalls === 0 &&
    minion.foreignRuns === 0 &&
    (level === 'trusted' || (level === 'trial' && minion.runs.size === 0))
  );
}

/** Whether the conditions of a step allow one more of its tasks on the minion. */
export function isPermitted(step: StepState, minion: MinionState): boolean {
  const {maxPerMinion, requiredLabel} = step.shape;
  return (
    (requiredLabel === undefined || minion.description.labels.includes(requiredLabel)) &&
    (maxPerMinion === undefined || step.countOn(minion.id) < maxPerMinion)
  );
}

/**
 * The best minion for one task of a step; undefined when none has room. `isAllowed` narrows the
 * choice, for instance to minions on which the task has not failed.
 *
 * @example
 * const minion = chooseMinion(step, usable, view, () => true);
 */
export function chooseMinion(
  step: StepState,
  minions: readonly MinionState[],
  view: PlacementView,
  isAllowed: (minion: MinionState) => boolean,
): MinionState | undefined {
  const {shape} = step;
  const {cost, fits} = KIND_PLACEMENTS[workKind(shape)];
  let best: MinionState | undefined;
  let bestCost = Infinity;
  for (const minion of minions) {
    const isCandidate =
      minion.hasRoom(shape) &&
      isPermitted(step, minion) &&
      fits(minion, shape, view) &&
      isAllowed(minion);
    if (!isCandidate) {
      continue;
    }
    const isRemote =
      shape.preferredRack !== undefined && shape.preferredRack !== minion.description.rack;
    const total = cost(minion, shape, view) + (isRemote ? REMOTE_RACK_COST : 0);
    if (total < bestCost) {
      best = minion;
      bestCost = total;
    }
  }
  return best;
}
