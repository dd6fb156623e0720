/**
 * How long ago the store is known to have reached which revision, by this VM and by former owners. Each owner passes on
 * what it knows with its term, as durations, so that waits count on under VMs that have just started. Only waits for
 * something better may rest on it: the clocks of several VMs may run at different rates.
 */

import type {Instant} from '@nutmegproxy/core';

import type {RevisionLog, Sighting} from './RevisionLog.ts';

/** Least time in milliseconds between two revisions that are passed on, and the longest time of one. */
const GAP_MS = 1_000;
const MAX_AGE_MS = 20_000;

/** A revision, and for how long in milliseconds the store is known to have reached it. */
export type RevisionAge = readonly [revision: number, ageMs: number];

/** Returns what a record names; nothing where it is malformed or of an earlier version. */
function parseAges(stored: unknown): readonly RevisionAge[] {
  const pairs: readonly unknown[] = Array.isArray(stored) ? stored : [];
  return pairs.filter((pair): pair is RevisionAge => {
    const [revision, ageMs] = Array.isArray(pair) ? (pair as readonly unknown[]) : [];
    const isAge = Number.isFinite(ageMs) && Number(ageMs) >= 0 && Number(ageMs) <= MAX_AGE_MS;
    return Number.isFinite(revision) && isAge;
  });
}

/**
 * @example
 * const ages = new RevisionAges(revisions, stored, storedBy); // when the record is read
 * ages.findSeenAt(7, now);
 * ages.export(now); // for the record of the next term
 */
export class RevisionAges {
  readonly #former: readonly Sighting[];
  readonly #own: RevisionLog;

  /** `stored` is a value of `export` that was stored by `storedBy`. */
  constructor(own: RevisionLog, stored: unknown = [], storedBy = 0 as Instant) {
    this.#own = own;
    this.#former = parseAges(stored).map(([revision, ageMs]) => ({
      revision,
      seenAt: (storedBy - ageMs) as Instant,
    }));
  }

  /** Returns the earliest known instant by which the store had reached a revision; at most `now`. */
  findSeenAt(revision: number, now: Instant): Instant {
    const former = this.#former.find((each) => each.revision >= revision)?.seenAt ?? now;
    return Math.min(former, this.#own.findSeenAt(revision, now)) as Instant;
  }

  /** Returns what the next owner may count from, oldest first. What was passed on once stays until it is too old. */
  export(now: Instant): readonly RevisionAge[] {
    const passedOn: Sighting[] = [];
    for (const sighting of [...this.#former, ...this.#own.list()]) {
      const {revision, seenAt} = sighting;
      const last = passedOn.at(-1);
      const isLater =
        last === undefined || (revision > last.revision && seenAt - last.seenAt >= GAP_MS);
      if (isLater && now - seenAt <= MAX_AGE_MS) {
        passedOn.push(sighting);
      }
    }
    return passedOn.map(({revision, seenAt}) => [revision, Math.max(0, Math.floor(now - seenAt))]);
  }
}
