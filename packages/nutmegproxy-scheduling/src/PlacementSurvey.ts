/** Describes, for the log, where a task that waits for a minion could run and which minions are passed over. */

import type {EventFields, Instant, MinionId} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {Unavailability} from './MinionAvailability.ts';
import type {MinionState} from './MinionState.ts';

import {findUnavailability} from './MinionAvailability.ts';
import {meetsConstraints} from './Placement.ts';

/** `label`: it lacks the required label. `per-minion`: it runs as many tasks of the step as it may. */
type Obstacle = 'label' | 'per-minion' | Unavailability;

/** What is free on one minion. */
interface FreePiece {
  /** Processors requested by backfill, of which none are reserved. */
  readonly backfillMilli: number;
  readonly cpuMilli: number;
  readonly fits: boolean;
  /** Whether the task fits once backfill has stopped, whose memory and GPUs are reserved. */
  readonly fitsWithoutBackfill: boolean;
  readonly memoryMb: number;
  readonly minion: MinionId;
}

function findObstacle(step: StepState, minion: MinionState, now: Instant): Obstacle | undefined {
  const {requiredLabel} = step.shape;
  const unavailability = findUnavailability(minion, now);
  if (unavailability !== undefined) {
    return unavailability;
  }
  if (requiredLabel !== undefined && !minion.hasLabel(requiredLabel)) {
    return 'label';
  }
  return meetsConstraints(step, minion) ? undefined : 'per-minion';
}

function measureFree({shape}: StepState, minion: MinionState): FreePiece {
  const {backfillCpuMilli, description, id, reserved} = minion;
  return {
    backfillMilli: backfillCpuMilli,
    cpuMilli: description.capacity.cpuMilli - reserved.cpuMilli,
    fits: minion.hasCapacity(shape),
    fitsWithoutBackfill: minion.hasCapacityWithoutBackfill(shape),
    memoryMb: description.capacity.memoryMb - reserved.memoryMb,
    minion: id,
  };
}

/** Returns the piece with the most processors; one that the task fits in comes before all others. */
function chooseLargest(pieces: readonly FreePiece[]): FreePiece | undefined {
  const fitting = pieces.filter(({fits}) => fits);
  let largest: FreePiece | undefined;
  for (const piece of fitting.length > 0 ? fitting : pieces) {
    largest = piece.cpuMilli > (largest?.cpuMilli ?? -Infinity) ? piece : largest;
  }
  return largest;
}

/** Returns cores with one decimal, since tasks of lasting jobs reserve fractions of a core. */
function toCores(cpuMilli: number): number {
  return Math.round(cpuMilli / 100) / 10;
}

/** Returns the numbers of minions by obstacle, each with the cores of their largest free piece. */
function formatObstacles(pieces: ReadonlyMap<Obstacle, readonly FreePiece[]>): string {
  return [...pieces]
    .map(([obstacle, each]) => {
      const cores = toCores(chooseLargest(each)?.cpuMilli ?? 0);
      return `${obstacle}=${each.length}:${cores}`;
    })
    .sort()
    .join(' ');
}

/**
 * Returns event fields on the minions of the step's service: the largest free piece of those that may
 * get its tasks and of those that are passed over, how many fit a task, and the numbers by reason. The cores of
 * backfill count as free.
 *
 * @example
 * surveyPlacement(fleet, step, now); // {freeCores: 2.4, passedOver: 'draining=1:16 trial=2:7.2', ...}
 */
export function surveyPlacement(fleet: Fleet, step: StepState, now: Instant): EventFields {
  const {service} = fleet.resolveQueuePolicy(step.job);
  const allowed: FreePiece[] = [];
  const others = new Map<Obstacle, FreePiece[]>();
  for (const minion of fleet.minions.values()) {
    if (minion.description.service !== service) {
      continue;
    }
    const piece = measureFree(step, minion);
    const obstacle = findObstacle(step, minion, now);
    if (obstacle === undefined) {
      allowed.push(piece);
    } else {
      const pieces = others.get(obstacle) ?? [];
      pieces.push(piece);
      others.set(obstacle, pieces);
    }
  }
  const free = chooseLargest(allowed);
  const passedOver = chooseLargest([...others.values()].flat());
  const {cpuMilli, memoryMb} = step.shape.resources;
  return {
    allowed: allowed.length,
    backfillCores: toCores(free?.backfillMilli ?? 0),
    fitting: allowed.filter(({fits}) => fits).length,
    fittingWithoutBackfill: allowed.filter((piece) => piece.fitsWithoutBackfill).length,
    freeCores: toCores(free?.cpuMilli ?? 0),
    freeMb: free?.memoryMb ?? 0,
    freeMinion: free?.minion,
    passedOver: formatObstacles(others),
    passedOverCores: toCores(passedOver?.cpuMilli ?? 0),
    passedOverMb: passedOver?.memoryMb ?? 0,
    passedOverMinion: passedOver?.minion,
    taskCores: toCores(cpuMilli),
    taskMb: memoryMb,
  };
}
