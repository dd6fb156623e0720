/**
 * Candidates for the tasks of one step within one round of planning, with their costs. A round of a
 * large fleet with much waiting work compares each minion once for a step, not once for a task: a
 * placed task changes the cost of its own minion alone.
 */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {computePlacementCost} from './Placement.ts';

interface Candidate {
  /** Lower is better; undefined when the step's tasks must not run there. */
  cost: number | undefined;
  readonly minion: MinionState;
}

export class MinionRanking {
  readonly #candidates: readonly Candidate[];
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
   * The best minion for one more task; undefined when none has room. `isAllowed` narrows the choice,
   * for instance to minions on which the task has not failed. The caller books the task there before
   * it asks again.
   *
   * @example
   * const minion = new MinionRanking(step, usable, view, now).choose(() => true);
   */
  choose(isAllowed: (minion: MinionState) => boolean): MinionState | undefined {
    let best: Candidate | undefined;
    for (const candidate of this.#candidates) {
      const {cost, minion} = candidate;
      if (cost !== undefined && cost < (best?.cost ?? Infinity) && isAllowed(minion)) {
        best = candidate;
      }
    }
    return best?.minion;
  }

  /** Looks at a minion's cost again, after a task was booked there or taken back. */
  refresh(minion: MinionState): void {
    const candidate = this.#candidates.find((each) => each.minion === minion);
    if (candidate !== undefined) {
      candidate.cost = computePlacementCost(this.#step, minion, this.#sharingCosts, this.#now);
    }
  }
}
