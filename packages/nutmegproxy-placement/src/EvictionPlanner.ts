/** Decides when batch attempts are evicted, and which. */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {CapacityClaims} from './CapacityClaims.ts';
import type {PlacedAttempt, PlacementDecision, PlacementRequest} from './Placement.ts';
import type {VictimChoice} from './Victims.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {predictRunTimes, timeToFitMs} from './CapacityForecast.ts';
import {
  INITIAL_EVICTION_MS,
  LATENCY_CRITICAL_START_LIMIT_MS,
  SCAN_LIMIT,
} from './LearnedConstants.ts';
import {addResources, fitsInto, NO_RESOURCES, subtractResources} from './ResourcesUtils.ts';
import {chooseVictims} from './Victims.ts';

/** Weight of the latest eviction in the expected duration. */
const DURATION_WEIGHT = 0.2;

/** Predicts an entry's run time in milliseconds. */
export type RunTimePrediction = (entry: EntryId, declaredMs: number) => number;

interface EvictionPlan extends VictimChoice {
  readonly worker: WorkerId;
}

/** Plans evictions; an attempt that is being evicted is never chosen again. */
export class EvictionPlanner {
  readonly #claims: CapacityClaims;
  #evictionMs = INITIAL_EVICTION_MS;
  readonly #ledger: WorkerLedger;
  readonly #pending = new Map<AttemptId, Instant>();
  readonly #runTime: RunTimePrediction;
  readonly #requested = new Set<AttemptId>();

  constructor(ledger: WorkerLedger, claims: CapacityClaims, runTime: RunTimePrediction) {
    this.#ledger = ledger;
    this.#claims = claims;
    this.#runTime = runTime;
  }

  /** Notes that an attempt has ended, and learns how long its eviction took. */
  recordEnd(attempt: AttemptId, now: Instant): void {
    this.#requested.delete(attempt);
    const startedAt = this.#pending.get(attempt);
    if (startedAt === undefined) {
      return;
    }
    this.#pending.delete(attempt);
    this.#evictionMs += DURATION_WEIGHT * (now - startedAt - this.#evictionMs);
  }

  /** Attempts to evict now: those wished for, and the cheapest of each overfull worker. */
  takeEvictions(overcommitted: ReadonlySet<WorkerId>, now: Instant): readonly AttemptId[] {
    const chosen = [...this.#requested].filter((id) => this.#isEvictable(this.#ledger.attempt(id)));
    for (const worker of overcommitted) {
      chosen.push(...this.#chooseExcess(worker, now));
    }
    for (const id of chosen) {
      this.#pending.set(id, now);
    }
    this.#requested.clear();
    return [...new Set(chosen)];
  }

  /** Decides for a wish that found no room: wait, or evict when it would start too late. */
  plan(
    request: PlacementRequest,
    reserved: Resources,
    isUsable: (load: WorkerLoad) => boolean,
    now: Instant,
  ): PlacementDecision {
    const waiting: PlacementDecision = {kind: 'wait', reason: 'no worker has room'};
    if (
      request.class === 'batch' ||
      this.#claims.claimedWorker(request.attempt, now) !== undefined
    ) {
      return waiting;
    }
    const slackMs = request.queuedAt + LATENCY_CRITICAL_START_LIMIT_MS - this.#evictionMs - now;
    // Room that comes no later than an eviction would make it is waited for.
    const maxWaitMs = Math.min(slackMs, this.#evictionMs);
    const {best, soonestMs} = this.#scan(request, reserved, isUsable, now);
    if (!best || soonestMs < maxWaitMs) {
      return waiting;
    }
    const victims = best.victims.map(({attempt}) => attempt);
    for (const victim of victims) {
      this.#pending.set(victim, now);
    }
    this.#claims.add(request, best.worker, reserved, now);
    return {kind: 'evict', victims, worker: best.worker};
  }

  /** Asks for an eviction at the next call of `overdue`. */
  requestEviction(attempt: AttemptId): void {
    this.#requested.add(attempt);
  }

  #evictable(load: WorkerLoad): PlacedAttempt[] {
    return [...load.attempts]
      .map((id) => this.#ledger.attempt(id))
      .filter((attempt) => this.#isEvictable(attempt));
  }

  #isEvictable(attempt: PlacedAttempt | undefined): attempt is PlacedAttempt {
    return (
      attempt?.class === 'batch' && attempt.checkpointable && !this.#pending.has(attempt.attempt)
    );
  }

  #chooseExcess(worker: WorkerId, now: Instant): AttemptId[] {
    const load = this.#ledger.load(worker);
    if (!load) {
      return [];
    }
    // What is already being evicted counts as room, or each call would evict one more.
    const remaining = [...load.attempts]
      .filter((id) => !this.#pending.has(id))
      .map((id) => this.#ledger.attempt(id)?.reserved ?? NO_RESOURCES)
      .reduce(addResources, NO_RESOURCES);
    const excess = subtractResources(remaining, load.profile.capacity);
    const choice = chooseVictims(this.#evictable(load), excess, NO_RESOURCES, now);
    return (choice?.victims ?? []).map(({attempt}) => attempt);
  }

  #scan(
    request: PlacementRequest,
    reserved: Resources,
    isUsable: (load: WorkerLoad) => boolean,
    now: Instant,
  ): {best: EvictionPlan | undefined; soonestMs: number} {
    let best: EvictionPlan | undefined;
    let soonestMs = Infinity;
    for (const load of this.#ledger.sample(SCAN_LIMIT)) {
      if (!isUsable(load) || !fitsInto(reserved, load.profile.capacity)) {
        continue;
      }
      const claimed = this.#claims.claimedByOthers(load.profile.id, request, now);
      const free = subtractResources(load.free, claimed);
      const attempts = predictRunTimes(load, this.#ledger, this.#runTime);
      soonestMs = Math.min(soonestMs, timeToFitMs(reserved, free, attempts, now));
      const choice = chooseVictims(this.#evictable(load), reserved, free, now);
      if (choice && choice.victims.length > 0 && (!best || choice.cost < best.cost)) {
        best = {...choice, worker: load.profile.id};
      }
    }
    return {best, soonestMs};
  }
}
