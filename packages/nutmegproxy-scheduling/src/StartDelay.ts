/**
 * Measures how long starts take from their placement to their confirmation. Where the owner's process is full they wait
 * in it for a second and more, and so do the reports of ends.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

/** Weight of a start in the mean. */
const SMOOTHING = 0.05;
/** Reports of ends wait about as long as starts, in the same process. */
const WAYS = 2;
/** Longest time in milliseconds that is expected: a start that hangs tells nothing of others. */
const MAX_MS = 1_500;

export class StartDelay {
  #meanMs = 0;

  /**
   * Time in milliseconds from the end of a run to the confirmation of one that is placed as soon as the end is known.
   */
  get turnaroundMs(): number {
    return Math.min(MAX_MS, WAYS * this.#meanMs);
  }

  /** Records that a minion has confirmed a start. */
  recordConfirmed({placedAt}: Run, now: Instant): void {
    const delayMs = Math.min(MAX_MS, now - placedAt);
    this.#meanMs += SMOOTHING * (delayMs - this.#meanMs);
  }
}
