/**
 * Tells how old the owner's view of the directory of minions may be. A minion that has reported
 * meanwhile that it drains must get no more work.
 */

import type {Instant} from '@nutmegproxy/core';

import type {MinionWatch} from './MinionDirectory.ts';

export class DirectoryAge {
  #isListing = true;
  #listedAt = -Infinity as Instant;
  #watch: MinionWatch | undefined;

  /** As of when the directory is known; -Infinity before it was listed. */
  get seenAt(): Instant {
    return Math.max(this.#listedAt, this.#watch?.currentAsOf ?? -Infinity) as Instant;
  }

  /** Called when the directory has to be listed again, since its watch broke. */
  beginListing(): void {
    this.#isListing = true;
  }

  /** Called when the directory was listed by a call at `listedAt` and is watched from there on. */
  finishListing(watch: MinionWatch, listedAt: Instant): void {
    this.#isListing = false;
    this.#listedAt = listedAt;
    this.#watch = watch;
  }

  /**
   * Returns the largest age of the view in milliseconds. While calls to the directory fail, it grows
   * only until the store last confirmed the ownership: no minion can report to a store that is down.
   */
  compute(confirmedAt: Instant, now: Instant): number {
    const isFailing = this.#isListing || this.#watch?.isFailing === true;
    return Math.max(0, (isFailing ? confirmedAt : now) - this.seenAt);
  }
}
