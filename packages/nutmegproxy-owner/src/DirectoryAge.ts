/**
 * Tells how old the owner's view of the directory of minions may be. A minion that has reported
 * meanwhile that it drains must get no more work.
 */

import type {Instant} from '@nutmegproxy/core';

import type {MinionWatch} from './MinionDirectory.ts';

/** Age in milliseconds beyond which nothing is started, unless a draining minion serves for a shorter time. */
const MAX_DIRECTORY_AGE_MS = 2_000;
/** Shortest time in milliseconds for which a draining minion counts as serving; below it nothing would ever start. */
export const SHORTEST_DRAIN_MS = 200;

export class DirectoryAge {
  #isListing = true;
  #listedAt = -Infinity as Instant;
  readonly #maxAgeMs: number;
  #watch: MinionWatch | undefined;

  /** `drainMs` is the time for which a draining minion serves. */
  constructor(drainMs: number) {
    this.#maxAgeMs = Math.min(MAX_DIRECTORY_AGE_MS, Math.max(SHORTEST_DRAIN_MS, drainMs));
  }

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

  /**
   * Whether a minion may have begun to drain so long ago, unseen, that nothing may start now.
   *
   * @example
   * const age = new DirectoryAge(500);
   * age.finishListing(watch, listedAt);
   * age.isOutdated(confirmedAt, after(listedAt, 501)); // true
   */
  isOutdated(confirmedAt: Instant, now: Instant): boolean {
    return this.compute(confirmedAt, now) > this.#maxAgeMs;
  }
}
