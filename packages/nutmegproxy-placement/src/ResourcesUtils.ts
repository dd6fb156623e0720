/** Arithmetic on amounts of processors, memory and accelerators. */

import type {Resources} from '@nutmegproxy/schema';

/** Sums of many reservations accumulate rounding errors; smaller differences are ignored. */
const ROUNDING_TOLERANCE = 1e-6;

export const NO_RESOURCES: Resources = {accelerators: 0, cpu: 0, memoryMb: 0};

/** Applies an operation to each kind of resource of two amounts. */
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

/** Returns the sum of two amounts. */
export function addResources(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => x + y);
}

/** Returns `a` minus `b`, at least zero for each kind of resource. */
export function subtractResources(a: Resources, b: Resources): Resources {
  return combine(a, b, (x, y) => Math.max(0, x - y));
}

/** Returns the larger of two amounts for each kind of resource. */
export function maxResources(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.max);
}

/** Returns the smaller of two amounts for each kind of resource. */
export function minResources(a: Resources, b: Resources): Resources {
  return combine(a, b, Math.min);
}

/** Multiplies processors and memory; accelerators are indivisible and stay unchanged. */
export function scaleResources(amount: Resources, factor: number): Resources {
  return {
    accelerators: amount.accelerators,
    cpu: amount.cpu * factor,
    memoryMb: amount.memoryMb * factor,
  };
}

/** Returns whether `amount` fits into `available` for every kind of resource. */
export function fitsInto(amount: Resources, available: Resources): boolean {
  return (
    amount.cpu <= available.cpu + ROUNDING_TOLERANCE &&
    amount.memoryMb <= available.memoryMb + ROUNDING_TOLERANCE &&
    amount.accelerators <= available.accelerators
  );
}

/**
 * Returns the largest share of `capacity` that `amount` takes of any kind: 0 to 1, or more when
 * `amount` exceeds the capacity.
 */
export function dominantShare(amount: Resources, capacity: Resources): number {
  return Math.max(
    capacity.cpu > 0 ? amount.cpu / capacity.cpu : 0,
    capacity.memoryMb > 0 ? amount.memoryMb / capacity.memoryMb : 0,
    capacity.accelerators > 0 ? amount.accelerators / capacity.accelerators : 0,
  );
}
