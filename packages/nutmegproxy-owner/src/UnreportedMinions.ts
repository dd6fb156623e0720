/**
 * Minions that may have runs of a former owner and have not reported yet. Recovery waits until each
 * of them has reported or its leases have expired.
 */

import type {EventFields, Instant} from '@nutmegproxy/core';
import type {MinionState} from '@nutmegproxy/scheduling';

/** Maximum number of minions that a log line names. */
const MAX_NAMED_MINIONS = 5;

export class UnreportedMinions {
  readonly #minions = new Set<MinionState>();

  add(minion: MinionState): void {
    this.#minions.add(minion);
  }

  /** Removes a minion whose runs are known from elsewhere; returns whether recovery waited for it. */
  remove(minion: MinionState): boolean {
    return this.#minions.delete(minion);
  }

  /** Whether no minion is left; `confirmedAt` is when the ownership was last confirmed. */
  isEmpty(confirmedAt: Instant): boolean {
    for (const minion of this.#minions) {
      if (minion.hasReported || minion.leaseClock.isExpired(confirmedAt)) {
        this.#minions.delete(minion);
      }
    }
    return this.#minions.size === 0;
  }

  /** Returns which minions recovery waits for and at most how long, as event fields. */
  describe(now: Instant): EventFields {
    const minions = [...this.#minions];
    const expiresInMs = minions.map(({leaseClock}) => leaseClock.expiresInMs(now));
    return {
      longestMs: Math.round(Math.max(0, ...expiresInMs)),
      minions: minions.length,
      named: minions
        .slice(0, MAX_NAMED_MINIONS)
        .map(({id}) => id)
        .join(' '),
      unlisted: minions.filter(({unlistedSince}) => unlistedSince !== undefined).length,
    };
  }
}
