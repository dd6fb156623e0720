/** Quarantines minions and ends their trials, each with a line in the log. */

import type {Instant} from '@nutmegproxy/core';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/**
 * Quarantines a minion whose runs stall or that refuses starts.
 *
 * @example
 * quarantineMinion(fleet, minion, 'stalls', now);
 */
export function quarantineMinion(
  {events}: Fleet,
  {id, trust}: MinionState,
  reason: string,
  now: Instant,
): void {
  if (trust.recordStall(now)) {
    events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: id, reason});
  }
}

/** Ends the trial of a minion whose run goes on without failing. */
export function endTrial({events}: Fleet, {id, trust}: MinionState): void {
  trust.endTrial();
  events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: id, proof: 'live'});
}
