/**
 * Ranks the minions for the tasks of one step within one planning round. The costs are computed
 * once per step instead of once per task, because a placed task changes the cost of its own minion
 * only. This keeps rounds short in a large fleet with much waiting work.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {computePlacementCost} from './Placement.ts';

interface Candidate {
  /** Lower is better; undefined when the step's tasks must not run on the minion. */
  cost: number | undefined;
  readonly minion: MinionState;
}

export class MinionRanking {
  readonly #candidates: readonly Candidate[];
  /** The candidate that was chosen last, which is refreshed most often. */
  #chosen: Candidate | undefined;
  readonly #now: Instant;
  readonly #step: StepState;
  readonly #sharingCosts: SharingCosts;

  constructor(
    step: StepState,
    minions: readonly MinionState[],
    sharingCosts: SharingCosts,
    now: Instant,
  ) {
    this.#now = now;
    this.#step = step;
    this.#sharingCosts = sharingCosts;
    this.#candidates = minions.map((minion) => ({
      cost: computePlacementCost(step, minion, sharingCosts, now),
      minion,
    }));
  }

  /**
   * Returns the minion with the lowest cost for one more task; undefined when none has capacity.
   * `isAllowed` filters the minions, for instance to those on which the task has not failed. The
   * caller adds the task's run to the minion and calls `refresh` before the next call.
   *
   * @example
   * const minion = new MinionRanking(step, minions, sharingCosts, now).choose(() => true);
   */
  choose(isAllowed: (minion: MinionState) => boolean): MinionState | undefined {
    let best: Candidate | undefined;
    for (const candidate of this.#candidates) {
      const {cost, minion} = candidate;
      if (cost !== undefined && cost < (best?.cost ?? Infinity) && isAllowed(minion)) {
        best = candidate;
      }
    }
    this.#chosen = best;
    return best?.minion;
  }

  /** Recomputes a minion's cost after a run was added to it or removed from it. */
  refresh(minion: MinionState): void {
    const candidate =
      this.#chosen?.minion === minion
        ? this.#chosen
        : this.#candidates.find((each) => each.minion === minion);
    if (candidate !== undefined) {
      candidate.cost = computePlacementCost(this.#step, minion, this.#sharingCosts, this.#now);
    }
  }
}
