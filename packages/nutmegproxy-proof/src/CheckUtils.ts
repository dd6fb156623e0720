/** Helpers shared by the history checks. */

import type {Outage} from './History.ts';

/** A time range; without `endedAt` it does not end. */
export interface Interval {
  readonly endedAt?: number;
  readonly startedAt: number;
}

export function getEnd(interval: Interval): number {
  return interval.endedAt ?? Number.POSITIVE_INFINITY;
}

export function groupBy<Item>(
  items: readonly Item[],
  readKey: (item: Item) => string | undefined,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = readKey(item);
    if (key !== undefined) {
      groups.set(key, [...(groups.get(key) ?? []), item]);
    }
  }
  return groups;
}

export function sortByStart<Item extends Interval>(items: readonly Item[]): readonly Item[] {
  return [...items].sort((a, b) => a.startedAt - b.startedAt);
}

/**
 * Returns the highest sum of `readWeight` over concurrent items. Times are whole milliseconds: an
 * item that ends in the millisecond in which another starts does not overlap it.
 */
export function computePeakTotal<Item extends Interval>(
  items: readonly Item[],
  readWeight: (item: Item) => number,
): number {
  const steps = items.flatMap((item) => [
    {at: item.startedAt, change: readWeight(item), order: 1},
    {at: getEnd(item), change: -readWeight(item), order: 0},
  ]);
  steps.sort((a, b) => a.at - b.at || a.order - b.order);
  let total = 0;
  let highest = 0;
  for (const {change} of steps) {
    total += change;
    highest = Math.max(highest, total);
  }
  return highest;
}

/** Returns `startedAt + limitMs`; each outage that overlaps this time restarts the limit at its end. */
export function extendDeadline(
  startedAt: number,
  limitMs: number,
  absences: readonly Outage[],
): number {
  let deadline = startedAt + limitMs;
  for (const {from, until} of [...absences].sort((a, b) => a.from - b.from)) {
    if (from <= deadline && until >= startedAt) {
      deadline = Math.max(deadline, until + limitMs);
    }
  }
  return deadline;
}

/** Whether an interval overlaps one of the outages. */
export function overlapsOutage(interval: Interval, absences: readonly Outage[]): boolean {
  return absences.some(({from, until}) => interval.startedAt <= until && getEnd(interval) >= from);
}
