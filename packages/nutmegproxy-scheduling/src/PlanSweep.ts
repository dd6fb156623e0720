/**
 * A pass over the waiting steps that may take several rounds of planning, as the time for placement in a round is
 * limited. Without it, steps that find no minion would use up the time of each round before the others.
 */

import type {StepState} from '@nutmegproxy/jobs';

export class PlanSweep {
  #isOpen = false;
  #tried = new WeakSet<StepState>();
  #triedWithTrials = new WeakSet<StepState>();

  /** Whether the last round was cut, so that the next one continues it. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  endRound(wasCut: boolean): void {
    this.#isOpen = wasCut;
    if (!wasCut) {
      this.#tried = new WeakSet();
      this.#triedWithTrials = new WeakSet();
    }
  }

  /**
   * Whether the step found no minion in an earlier round of this pass. Steps that have failed trials are tried
   * twice in a pass, at last with minions on trial (`admitsFailedTrials`).
   */
  hasTried(step: StepState, admitsFailedTrials: boolean): boolean {
    return this.#isOpen && this.#findTried(admitsFailedTrials).has(step);
  }

  recordTried(step: StepState, admitsFailedTrials: boolean): void {
    this.#findTried(admitsFailedTrials).add(step);
  }

  #findTried(admitsFailedTrials: boolean): WeakSet<StepState> {
    return admitsFailedTrials ? this.#triedWithTrials : this.#tried;
  }
}
