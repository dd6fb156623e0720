/** Arithmetic on amounts of processors, memory and accelerators. */

import type {Resources} from '@nutmegproxy/schema';

/** Sums of many reservations drift by rounding; differences below this are none. */
const ROUNDING_TOLERANCE = 1e-6;

export const NO_RESOURCES: Resources = {accelerators: 0, cpu: 0, memoryMb: 0};

/** Joins two amounts by the same operation on each kind. */
function combine(
  a: Resources,
  b: Resources,
  operation: (x: number, y: number) => number,
): Resources {
  return {
    accelerators: operation(a.accelerators, b.accelerators),
    cpu: operation(a.cpu, b.cpu),
    memoryMb: operation(a.memoryMb, b.memoryMb),
  };
}

/** The sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y);
}

/** What is left of `a` without `b`; never below zero. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => Math.max(0, x - y));
}

/** The larger of two amounts, kind by kind. */
export function maxResources(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max);
}

/** The smaller of two amounts, kind by kind. */
export function minResources(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min);
}

/** Multiplies processors and memory; accelerators are whole and stay. */
export function scaleResources(amount: Resources, factor: number): Resources {
  return {
    accelerators: amount.accelerators,
    cpu: amount.cpu * factor,
    memoryMb: amount.memoryMb * factor,
  };
}

/** Whether `amount` fits into `room` in every kind. */
export function fitsInto(amount: Resources, available: Resources): boolean {
  return (
    amount.cpu <= available.cpu + ROUNDING_TOLERANCE &&
    amount.memoryMb <= available.memoryMb + ROUNDING_TOLERANCE &&
    amount.accelerators <= available.accelerators
  );
}

/** The largest share of `capacity` that `amount` takes of any kind, 0 to 1 and above. */
export function dominantShare(amount: Resources, capacity: Resources): number {
  return Math.max(
    capacity.cpu > 0 ? amount.cpu / capacity.cpu : 0,
    capacity.memoryMb > 0 ? amount.memoryMb / capacity.memoryMb : 0,
    capacity.accelerators > 0 ? amount.accelerators / capacity.accelerators : 0,
  );
}
