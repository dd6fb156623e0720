/** What is at the minions and how long requests take there: shared by the queue policies. */

import type {EntryId, TeamId} from '@nutmegproxy/core';

import type {QueueLimits, WaitingRequest} from './RequestQueue.ts';

import {MOVING_MEAN_WEIGHT, SERVICE_TIME_INITIAL_MS} from './AdmissionConstants.ts';

/** Counts of requests that were taken, by entry and team; empty counts are dropped. */
export class QueueLoad {
  readonly #entries = new Map<EntryId, number>();
  readonly #limits: QueueLimits;
  #running = 0;
  #serviceMs = SERVICE_TIME_INITIAL_MS;
  readonly #teams = new Map<TeamId, number>();

  constructor(limits: QueueLimits) {
    this.#limits = limits;
  }

  entryBlocked(entry: EntryId): boolean {
    return (this.#entries.get(entry) ?? 0) >= this.#limits.entryConcurrency(entry);
  }

  finish(request: WaitingRequest, serviceMs: number | undefined): void {
    this.#count(request, -1);
    if (serviceMs !== undefined) {
      this.#serviceMs += MOVING_MEAN_WEIGHT * (serviceMs - this.#serviceMs);
    }
  }

  /** Wait behind `ahead` requests, all slots being used alike. */
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

  teamBlocked(team: TeamId): boolean {
    return (this.#teams.get(team) ?? 0) >= this.#limits.teamConcurrency(team);
  }

  #count(request: WaitingRequest, by: number): void {
    this.#running += by;
    addCount(this.#entries, request.entry, by);
    addCount(this.#teams, request.team, by);
  }
}

function addCount<Key>(counts: Map<Key, number>, key: Key, by: number): void {
  const count = (counts.get(key) ?? 0) + by;
  if (count === 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, count);
}
