/**
 * Ends the leases of minions that do not respond, and tells the next owner so: the record of what a silent
 * minion may run gives a time that counts from its write, or from the read of an owner that did not know
 * when that was.
 */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {Fleet, MinionState} from '@nutmegproxy/scheduling';

import {after} from '@nutmegproxy/core';

import type {Journal} from './Journal.ts';
import type {Roster} from './Roster.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';
import {listUnconfirmedStarts} from './SilentRecords.ts';

export interface LeaseEndOptions {
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly roster: Roster;
}

/**
 * Ends the runs of a minion whose lease has certainly expired.
 *
 * @example
 * if (minion.leaseClock.isExpired(ownership.confirmedAt)) expireLease({events, fleet, roster}, minion, now);
 */
export function expireLease(
  {events, fleet, roster}: LeaseEndOptions,
  minion: MinionState,
  now: Instant,
): void {
  const runs = minion.listUnresolvedRuns().length;
  if (runs === 0) {
    return;
  }
  events.record(OWNER_EVENTS.LEASE_EXPIRED, {minion: minion.id, runs});
  recordLeaseEnd(roster, minion, findLastStartEnd(minion, now), now);
  fleet.expireLease(minion);
}

/**
 * Ends the runs of a minion whose own lease has certainly expired, while others may hold a longer one.
 *
 * @example
 * expireRuns({events, fleet, roster}, minion, ownership.confirmedAt);
 */
export function expireRuns(
  {events, fleet, roster}: LeaseEndOptions,
  minion: MinionState,
  confirmedAt: Instant,
): void {
  const expired: Run[] = [];
  for (const run of minion.runs) {
    if (run.leasedUntil !== undefined && run.leasedUntil <= confirmedAt) {
      expired.push(run);
    }
  }
  if (expired.length === 0) {
    return;
  }
  events.record(OWNER_EVENTS.LEASE_EXPIRED, {minion: minion.id, runs: expired.length});
  roster.storeTimes();
  fleet.expireLease(minion, expired);
}

/**
 * Stores that nothing runs on a minion any more that is gone for good, whose life this owner has ended.
 *
 * @example
 * session.endLife();
 * void recordGone({clock, roster}, journal, minion);
 */
export async function recordGone(
  {clock, roster}: {readonly clock: Clock; readonly roster: Roster},
  journal: Journal,
  minion: MinionState,
): Promise<void> {
  // The next owner does not judge a crash of the minion any more, so what this one found is stored first.
  await journal.flush();
  const now = clock.monotonic();
  if (minion.leaseClock.isExpired(now)) {
    recordLeaseEnd(roster, minion, now, now);
  }
}

/** Returns when the starts of the minion that may have reached another incarnation hold no lease; at least `now`. */
function findLastStartEnd(minion: MinionState, now: Instant): Instant {
  const ends = listUnconfirmedStarts(minion, now).map(({sentAt}) =>
    after(sentAt, minion.leaseClock.times.maxStartLeaseMs),
  );
  return Math.max(now, ...ends) as Instant;
}

/**
 * Stores when the lease of a minion has ended, and that of its confirmed runs, if it is recorded as silent.
 * The runs stay named, since it may still list their results.
 */
function recordLeaseEnd(
  roster: Roster,
  {description}: MinionState,
  endedAt: Instant,
  confirmedEndedAt: Instant,
): void {
  const silent = roster.find(description.id)?.silent;
  if (silent !== undefined) {
    roster.markSilent(description, silent, endedAt, confirmedEndedAt);
  }
}
