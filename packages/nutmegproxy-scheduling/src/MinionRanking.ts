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

export class MinionRanking {
  /** Index of the minion that was chosen last, which is refreshed most often; -1 for none. */
  #chosen = -1;
  /** Costs of the minions; lower is better, Infinity where the step's tasks must not run. */
  readonly #costs: number[];
  /** Whether the costs may be higher now, by minion. */
  #isOutdated: boolean[] = [];
  readonly #minions: readonly MinionState[];
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
    this.#minions = minions;
    this.#costs = minions.map((minion) => this.#computeCost(minion));
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
    let chosen: MinionState | undefined;
    let chosenAt = -1;
    let lowest = Infinity;
    for (let index = 0; index < this.#costs.length; index += 1) {
      const known = this.#costs[index] ?? Infinity;
      const minion = known < lowest ? this.#minions[index] : undefined;
      if (minion === undefined) {
        continue;
      }
      const cost = this.#isOutdated[index] === true ? this.#update(index, minion) : known;
      if (cost < lowest && isAllowed(minion)) {
        chosen = minion;
        chosenAt = index;
        lowest = cost;
      }
    }
    this.#chosen = chosenAt;
    return chosen;
  }

  /** Recomputes a minion's cost after a run was added to it or removed from it. */
  refresh(minion: MinionState): void {
    const wasChosen = this.#minions[this.#chosen] === minion;
    const index = wasChosen ? this.#chosen : this.#minions.indexOf(minion);
    if (index >= 0) {
      this.#update(index, minion);
    }
  }

  /**
   * Called when the costs may have risen, but not fallen: each is recomputed only once its minion would be
   * chosen by it.
   */
  expire(): void {
    this.#isOutdated = this.#minions.map(() => true);
  }

  #update(index: number, minion: MinionState): number {
    const cost = this.#computeCost(minion);
    this.#costs[index] = cost;
    this.#isOutdated[index] = false;
    return cost;
  }

  #computeCost(minion: MinionState): number {
    return computePlacementCost(this.#step, minion, this.#sharingCosts, this.#now) ?? Infinity;
  }
}
