/** Seeded random numbers. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/**
 * Creates a generator that returns the same numbers for the same seed.
 *
 * @example
 * const random = createRandom(42);
 * const delayMs = 100 + 50 * random();
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
