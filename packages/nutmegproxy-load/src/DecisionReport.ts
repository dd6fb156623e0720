/** Runs the decision benchmark at several fleet sizes and prints the results. */

import type {PlacementName} from '@nutmegproxy/placement';

import {PLACEMENTS} from '@nutmegproxy/placement';

import {measureDecisions} from './DecisionBench.ts';

const FLEET_SIZES = [100, 1000, 6200];

/** Options of the decision benchmark. */
export interface DecisionOptions {
  readonly json: boolean;
  readonly seed: number;
  readonly steps: number;
}

/** Measures every placement policy at every fleet size with the same seed. */
export function runDecisions({json, seed, steps}: DecisionOptions): void {
  const policies = Object.keys(PLACEMENTS) as PlacementName[];
  const figures = policies.flatMap((policy) =>
    FLEET_SIZES.map((workers) => measureDecisions(policy, workers, steps, seed)),
  );
  if (json) {
    console.log(JSON.stringify({figures, seed, steps}));
  } else {
    console.table(figures);
  }
}
