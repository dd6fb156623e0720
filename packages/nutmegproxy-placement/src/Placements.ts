/** The placement policies by name; settings name the one to use. */

import type {EntryKnowledge} from './EntryKnowledge.ts';
import type {Placement} from './Placement.ts';

import {FirstFit} from './FirstFit.ts';
import {LearnedPlacement} from './LearnedPlacement.ts';

/** Makes a policy for one cell; policies that are given the same knowledge learn together. */
export type PlacementFactory = (knowledge?: EntryKnowledge) => Placement;

export type PlacementName = 'first-fit' | 'learned';

/**
 * Placement policies by name. `first-fit` is the baseline that the others are compared with.
 *
 * @example
 * const placement = PLACEMENTS['first-fit']();
 */
export const PLACEMENTS: Readonly<Record<PlacementName, PlacementFactory>> = {
  'first-fit': () => new FirstFit(),
  learned: (knowledge) => new LearnedPlacement(knowledge),
};
