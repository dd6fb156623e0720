/**
 * A pass over the waiting steps that may take several rounds of planning, as the time for placement in a round is
 * limited. Without it, steps that find no minion would use up the time of each round before the others.
 */

import type {StepState} from '@nutmegproxy/jobs';

export class PlanSweep {
  #isOpen = false;
  #tried = new WeakSet<StepState>();

  /** Whether the last round was cut, so that the next one continues it. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  endRound(wasCut: boolean): void {
    this.#isOpen = wasCut;
    if (!wasCut) {
      this.#tried = new WeakSet();
    }
  }

  /** Whether the step found no minion in an earlier round of this pass. */
  hasTried(step: StepState): boolean {
    return this.#isOpen && this.#tried.has(step);
  }

  recordTried(step: StepState): void {
    this.#tried.add(step);
  }
}
