/** Running and waiting requests and the mean service time, shared by the queue policies. */

import type {EntryId, TeamId} from '@nutmegproxy/core';

import type {QueueLimits, WaitingRequest} from './RequestQueue.ts';

import {MOVING_MEAN_WEIGHT, SERVICE_TIME_INITIAL_MS} from './AdmissionConstants.ts';

/** Counts running and waiting requests by entry and team; zero counts are removed. */
export class QueueLoad {
  readonly #entries = new Map<EntryId, number>();
  readonly #limits: QueueLimits;
  #running = 0;
  #serviceMs = SERVICE_TIME_INITIAL_MS;
  readonly #teams = new Map<TeamId, number>();
  readonly #waitingEntries = new Map<EntryId, number>();
  readonly #waitingTeams = new Map<TeamId, number>();

  constructor(limits: QueueLimits) {
    this.#limits = limits;
  }

  isEntryBlocked(entry: EntryId): boolean {
    return (this.#entries.get(entry) ?? 0) >= this.#limits.entryConcurrency(entry);
  }

  /** Returns whether this process has no share of a limit, so that waiting is pointless. */
  hasNoShare({entry, team}: WaitingRequest): boolean {
    return this.#limits.entryConcurrency(entry) <= 0 || this.#limits.teamConcurrency(team) <= 0;
  }

  /** Predicts a request's wait by the limits of its entry and team, at `serviceMs` per request. */
  predictLimitWaitMs({entry, team}: WaitingRequest, serviceMs: number): number {
    const entryCount = (this.#entries.get(entry) ?? 0) + (this.#waitingEntries.get(entry) ?? 0);
    const teamCount = (this.#teams.get(team) ?? 0) + (this.#waitingTeams.get(team) ?? 0);
    return Math.max(
      limitWaitMs(entryCount, this.#limits.entryConcurrency(entry), serviceMs),
      limitWaitMs(teamCount, this.#limits.teamConcurrency(team), serviceMs),
    );
  }

  /** Counts a request that starts (1) or stops (-1) waiting. */
  countWaiting({entry, team}: WaitingRequest, by: -1 | 1): void {
    addCount(this.#waitingEntries, entry, by);
    addCount(this.#waitingTeams, team, by);
  }

  finish(request: WaitingRequest, serviceMs: number | undefined): void {
    this.#count(request, -1);
    if (serviceMs !== undefined) {
      this.#serviceMs += MOVING_MEAN_WEIGHT * (serviceMs - this.#serviceMs);
    }
  }

  /** Predicts the wait behind `ahead` requests, assuming that all slots are equally fast. */
  predictWaitMs(ahead: number): number {
    const slots = this.#limits.slots();
    const free = slots - this.#running;
    if (ahead < free) {
      return 0;
    }
    return ((ahead - free + 1) * this.#serviceMs) / Math.max(1, slots);
  }

  start(request: WaitingRequest): void {
    this.#count(request, 1);
  }

  isTeamBlocked(team: TeamId): boolean {
    return (this.#teams.get(team) ?? 0) >= this.#limits.teamConcurrency(team);
  }

  #count(request: WaitingRequest, by: number): void {
    this.#running += by;
    addCount(this.#entries, request.entry, by);
    addCount(this.#teams, request.team, by);
  }
}

/** Returns the wait until fewer than `limit` of `count` waiting or running requests remain. */
function limitWaitMs(count: number, limit: number, serviceMs: number): number {
  return count < limit ? 0 : ((count - limit + 1) * serviceMs) / Math.max(1, limit);
}

function addCount<Key>(counts: Map<Key, number>, key: Key, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, count);
}
