/** The placement policies by the names that the settings use. */

import type {EntryKnowledge} from './EntryKnowledge.ts';
import type {Placement} from './Placement.ts';

import {FirstFit} from './FirstFit.ts';
import {LearnedPlacement} from './LearnedPlacement.ts';

/** Creates a policy for one cell; policies with the same `knowledge` share what they learn. */
export type PlacementFactory = (knowledge?: EntryKnowledge) => Placement;

export type PlacementName = 'first-fit' | 'learned';

/**
 * Placement policies by name. `first-fit` is the baseline for comparisons.
 *
 * @example
 * const placement = PLACEMENTS['first-fit']();
 */
export const PLACEMENTS: Readonly<Record<PlacementName, PlacementFactory>> = {
  'first-fit': () => new FirstFit(),
  learned: (knowledge) => new LearnedPlacement(knowledge),
};
