/**
 * When this process first knew that the store had reached which revision. What is stored with a
 * revision was stored by then, although it may be read later.
 */

import type {Instant} from '@nutmegproxy/core';

import {findFirstIndex} from '@nutmegproxy/core';

/** Revisions that are remembered: those of the longest minion lease at hundreds of changes a second. */
const MAX_ENTRIES = 4_096;
/** Least time in milliseconds between two revisions before these that are remembered, and their number: for a minute. */
const FORMER_GAP_MS = 250;
const MAX_FORMER_ENTRIES = 240;

/** A revision, and an instant by which the store had reached it. */
export interface Sighting {
  readonly revision: number;
  readonly seenAt: Instant;
}

/**
 * @example
 * const log = new RevisionLog();
 * log.record(7, clock.monotonic());
 * log.findSeenAt(6, clock.monotonic()); // when revision 7 was recorded
 */
export class RevisionLog {
  /** Some of the sightings before the others. */
  readonly #former: Sighting[] = [];
  readonly #sightings: Sighting[] = [];

  /** Records that the store had reached a revision by `now`. */
  record(revision: number, now: Instant): void {
    if (revision <= (this.#sightings.at(-1)?.revision ?? -1)) {
      return;
    }
    this.#sightings.push({revision, seenAt: now});
    const oldest = this.#sightings.length > MAX_ENTRIES ? this.#sightings.shift() : undefined;
    if (oldest !== undefined) {
      this.#thin(oldest);
    }
  }

  /** Returns the earliest known instant by which the store had reached a revision; at most `now`. */
  findSeenAt(revision: number, now: Instant): Instant {
    const list = revision <= (this.#former.at(-1)?.revision ?? -1) ? this.#former : this.#sightings;
    return list[findFirstIndex(list, (each) => each.revision < revision)]?.seenAt ?? now;
  }

  /** Returns what is remembered, oldest first. */
  list(): readonly Sighting[] {
    return [...this.#former, ...this.#sightings];
  }

  /** Keeps one of the sightings that are over in each interval. */
  #thin(sighting: Sighting): void {
    if (sighting.seenAt - (this.#former.at(-1)?.seenAt ?? -Infinity) < FORMER_GAP_MS) {
      return;
    }
    this.#former.push(sighting);
    if (this.#former.length > MAX_FORMER_ENTRIES) {
      this.#former.shift();
    }
  }

  /**
   * Returns the latest known instant at which the store was not known to have reached a revision; -Infinity when
   * this process knew none before.
   *
   * @example
   * log.findUnseenAt(7); // when revision 6 was recorded last
   */
  findUnseenAt(revision: number): Instant {
    const last = this.#sightings.findLast((each) => each.revision < revision);
    return last?.seenAt ?? (-Infinity as Instant);
  }
}
