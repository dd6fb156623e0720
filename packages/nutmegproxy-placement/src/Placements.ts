/** The placement policies by name; settings name the one to use. */

import type {Placement} from './Placement.ts';

import {FirstFit} from './FirstFit.ts';

/** Makes a policy; `seed` fixes its random choices. */
export type PlacementMaker = (seed: number) => Placement;

/**
 * Placement policies by name. `first-fit` is the baseline that the others are compared with.
 *
 * @example
 * const placement = PLACEMENTS['first-fit'](42);
 */
export const PLACEMENTS = {
  'first-fit': () => new FirstFit(),
} satisfies Record<string, PlacementMaker>;

export type PlacementName = keyof typeof PLACEMENTS;
