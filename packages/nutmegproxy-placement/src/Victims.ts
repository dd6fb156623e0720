/** Chooses batch attempts to evict so that a placement request fits on a worker. */

import type {Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {PlacedAttempt} from './Placement.ts';

import {addResources, fitsInto, subtractResources} from './ResourcesUtils.ts';

/** Attempts to evict on one worker, with the work that is lost. */
export interface VictimChoice {
  /** Core-milliseconds since the victims' last checkpoints. */
  readonly cost: number;
  readonly victims: readonly PlacedAttempt[];
}

/** Returns the work lost by evicting an attempt, in core-milliseconds. */
export function evictionCost(attempt: PlacedAttempt, now: Instant): number {
  return Math.max(0, now - attempt.startedAt) * attempt.reserved.cpu;
}

/**
 * Chooses victims, cheapest first, until `amount` fits into their reservations plus the free
 * capacity; returns `undefined` when evicting all of them would not be enough.
 */
export function chooseVictims(
  evictable: readonly PlacedAttempt[],
  amount: Resources,
  free: Resources,
  now: Instant,
): undefined | VictimChoice {
  const byCost = [...evictable].sort((a, b) => evictionCost(a, now) - evictionCost(b, now));
  const chosen: PlacedAttempt[] = [];
  let available = free;
  for (const attempt of byCost) {
    if (fitsInto(amount, available)) {
      break;
    }
    chosen.push(attempt);
    available = addResources(available, attempt.reserved);
  }
  if (!fitsInto(amount, available)) {
    return undefined;
  }
  const victims = dropUnneeded(chosen, amount, available);
  const cost = victims.reduce((sum, attempt) => sum + evictionCost(attempt, now), 0);
  return {cost, victims};
}

/** Removes victims whose capacity is not needed after all, the most expensive first. */
function dropUnneeded(
  chosen: readonly PlacedAttempt[],
  amount: Resources,
  available: Resources,
): PlacedAttempt[] {
  const kept = new Set(chosen);
  let remaining = available;
  for (const attempt of [...chosen].reverse()) {
    const reduced = subtractResources(remaining, attempt.reserved);
    if (fitsInto(amount, reduced)) {
      kept.delete(attempt);
      remaining = reduced;
    }
  }
  return [...kept];
}
