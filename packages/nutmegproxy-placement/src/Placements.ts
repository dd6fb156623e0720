/** The placement policies by name; settings name the one to use. */

import type {Placement} from './Placement.ts';

import {FirstFit} from './FirstFit.ts';
import {LearnedPlacement} from './LearnedPlacement.ts';

/** Makes a policy. */
export type PlacementMaker = () => Placement;

export type PlacementName = 'first-fit' | 'learned';

/**
 * Placement policies by name. `first-fit` is the baseline that the others are compared with.
 *
 * @example
 * const placement = PLACEMENTS['first-fit']();
 */
export const PLACEMENTS: Readonly<Record<PlacementName, PlacementMaker>> = {
  'first-fit': () => new FirstFit(),
  learned: () => new LearnedPlacement(),
};
