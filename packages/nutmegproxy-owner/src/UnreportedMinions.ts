/**
 * Minions that may have runs of a former owner and have not reported yet, and what the former owner
 * knew of their runs when its ownership ended. Recovery waits until the runs of each of them are
 * known or its leases have expired.
 */

import type {EventFields, Instant, MinionId} from '@nutmegproxy/core';
import type {MinionState} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';

import type {MinionAccount} from './ClosingRecords.ts';
import type {RecordedRuns} from './SilentRecords.ts';

import {findEnd} from './OwnerUtils.ts';
import {intersectRuns} from './PossibleRuns.ts';

/** Maximum number of minions that a log line names. */
const MAX_NAMED_MINIONS = 5;

/** Runs that a minion may have, by a former owner's record. */
interface FormerRuns extends Pick<RecordedRuns, 'runs' | 'unconfirmed'> {
  /** When the lease of the runs that are not unconfirmed has certainly expired; undefined as there. */
  readonly confirmedUntil?: Instant | undefined;
}

export class UnreportedMinions {
  readonly #minions = new Set<MinionState>();
  /** Runs that minions may have, as far as records of former owners name them. */
  readonly #runs = new Map<MinionId, FormerRuns>();

  /** Adds a minion, with the runs that the roster names, if any. */
  add(minion: MinionState, runs?: RecordedRuns['runs']): void {
    minion.areRunsKnown = false;
    this.#minions.add(minion);
    if (runs !== undefined) {
      this.#runs.set(minion.id, {runs});
    }
  }

  /** Whether recovery waits for the minion. */
  has(minion: MinionState): boolean {
    return this.#minions.has(minion) && !minion.areRunsKnown;
  }

  /** Keeps the accounts of the former owner, which were read at `now`, until they are needed. */
  keepAccounts(accounts: readonly MinionAccount[], now: Instant): void {
    const accountById = new Map(accounts.map((account) => [account.id, account]));
    for (const {id, leaseClock} of this.#minions) {
      const account = accountById.get(id);
      if (account !== undefined) {
        leaseClock.shortenAssumedLease(after(now, account.heldForMs));
      }
      // The owner before may not have reached a minion whose runs the roster names.
      if (account?.runs !== undefined) {
        const {confirmedForMs, unconfirmed} = account;
        const runs = intersectRuns(account.runs, this.#runs.get(id)?.runs);
        this.#runs.set(id, {confirmedUntil: findEnd(now, confirmedForMs), runs, unconfirmed});
      }
    }
  }

  /**
   * Returns the runs that an unreported minion may have, by the former owner's account; undefined
   * when recovery does not wait for the minion, or when its runs are not known.
   */
  findRuns(minion: MinionState, now: Instant): RecordedRuns | undefined {
    const former = this.has(minion) ? this.#runs.get(minion.id) : undefined;
    if (former === undefined) {
      return undefined;
    }
    const {confirmedUntil, runs, unconfirmed} = former;
    const remainingMs = minion.leaseClock.expiresInMs(now);
    return confirmedUntil === undefined || unconfirmed === undefined
      ? {remainingMs, runs}
      : {confirmedMs: Math.max(0, confirmedUntil - now), remainingMs, runs, unconfirmed};
  }

  /** Returns the runs that a record named for a minion, whether or not it was used since. */
  findNamedRuns(id: MinionId): RecordedRuns['runs'] | undefined {
    return this.#runs.get(id)?.runs;
  }

  /** Whether no minion is left; `confirmedAt` is when the ownership was last confirmed. */
  isEmpty(confirmedAt: Instant): boolean {
    for (const minion of this.#minions) {
      const isOver = minion.leaseClock.isExpired(confirmedAt) && !minion.isListingResults;
      if (minion.areRunsKnown || isOver) {
        // Nothing runs there once every lease has expired.
        minion.areRunsKnown = true;
        this.#minions.delete(minion);
      }
    }
    return this.#minions.size === 0;
  }

  /** Returns the longest time in milliseconds until the leases of all minions have expired. */
  findRemainingMs(now: Instant): number {
    return Math.max(0, ...[...this.#minions].map(({leaseClock}) => leaseClock.expiresInMs(now)));
  }

  /** Returns which minions recovery waits for and at most how long, as event fields. */
  describe(now: Instant): EventFields {
    const minions = [...this.#minions];
    return {
      accounts: minions.filter(({id}) => this.#runs.has(id)).length,
      longestMs: Math.round(this.findRemainingMs(now)),
      minions: minions.length,
      named: minions
        .slice(0, MAX_NAMED_MINIONS)
        .map(({id}) => id)
        .join(' '),
      unlisted: minions.filter(({unlistedSince}) => unlistedSince !== undefined).length,
    };
  }
}
