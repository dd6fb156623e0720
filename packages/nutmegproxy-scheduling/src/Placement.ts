/**
 * Which minion a task is placed on.
 *
 * Serving tasks are packed, by image where possible, so that filling tasks find minions whose
 * serving tasks bear them. Ordinary and filling tasks go where most processors are unused.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepShape, StepState} from '@nutmegproxy/jobs';

import type {MinionState, WorkKind} from './MinionState.ts';

import {workKind} from './MinionState.ts';

/** Time in milliseconds that an entry may be missing before its minion gets no more work. */
const UNLISTED_GRACE_MS = 2_500;
/** Share of its processors that a filling task must find unused. */
const FILLING_SHARE = 1;
/** Cost of a rack other than the one that holds the data, in thousandths of a core. */
const REMOTE_RACK_COST = 100_000;

/** Speed below which a minion is only used when no other has room. */
const SLOW_SPEED = 0.45;
const SLOW_COST = 200_000;

/** How minions stand towards sharing, as far as placement needs it. */
export interface PlacementView {
  /** Cost of a filling task; undefined when it would disturb serving tasks too much. */
  readonly fillingCost: (minion: MinionState, step: StepState, now: Instant) => number | undefined;
  /** Cost of a serving task, in thousandths of a core. */
  readonly servingCost: (minion: MinionState, shape: StepShape) => number;
}

interface KindPlacement {
  /** Lower is better; undefined when the task must not run there. */
  readonly cost: (
    minion: MinionState,
    step: StepState,
    view: PlacementView,
    now: Instant,
  ) => number | undefined;
}

const KIND_PLACEMENTS: Readonly<Record<WorkKind, KindPlacement>> = {
  filling: {
    cost: (minion, step, view, now) => {
      const sharing =
        minion.spareCpuMilli >= step.shape.resources.cpuMilli * FILLING_SHARE
          ? view.fillingCost(minion, step, now)
          : undefined;
      return sharing === undefined ? undefined : sharing - minion.spareCpuMilli;
    },
  },
  ordinary: {
    cost: (minion) => -minion.spareCpuMilli,
  },
  serving: {
    cost: (minion, {shape}, view) =>
      view.servingCost(minion, shape) + minion.fillingCpuMilli - minion.servingCpuMilli,
  },
};

/** Whether the minion takes new work at all. */
export function isUsable(minion: MinionState, now: Instant): boolean {
  const {isDraining} = minion.description;
  const isListed =
    minion.unlistedSince === undefined || now - minion.unlistedSince < UNLISTED_GRACE_MS;
  const level = minion.trust.level(now);
  return (
    minion.isEnrolled &&
    minion.isReported &&
    minion.clock.isKnown &&
    isListed &&
    !isDraining &&
    minion.missedCalls === 0 &&
    !minion.isMarkedSilent &&
    minion.foreignRuns === 0 &&
    (level === 'trusted' || (level === 'trial' && minion.runs.size === 0))
  );
}

/** Whether the conditions of a step allow one more of its tasks on the minion. */
export function isPermitted(step: StepState, minion: MinionState): boolean {
  const {maxPerMinion, requiredLabel} = step.shape;
  return (
    (requiredLabel === undefined || minion.description.labels.includes(requiredLabel)) &&
    (maxPerMinion === undefined || step.countRunsOn(minion.id) < maxPerMinion)
  );
}

/**
 * Cost of one more task of a step on a minion, in thousandths of a core; lower is better. Undefined
 * when it has no room for it or the step's conditions keep it away.
 */
export function placementCost(
  step: StepState,
  minion: MinionState,
  view: PlacementView,
  now: Instant,
): number | undefined {
  const {shape} = step;
  if (!minion.hasRoom(shape) || !isPermitted(step, minion)) {
    return undefined;
  }
  const own = KIND_PLACEMENTS[workKind(shape)].cost(minion, step, view, now);
  if (own === undefined) {
    return undefined;
  }
  const isRemote =
    shape.preferredRack !== undefined && shape.preferredRack !== minion.description.rack;
  const slowness = minion.speed(now) < SLOW_SPEED ? SLOW_COST : 0;
  return own + slowness + (isRemote ? REMOTE_RACK_COST : 0);
}
