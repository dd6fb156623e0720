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

/** Weight of the latest eviction in the moving average of eviction durations. */
const DURATION_WEIGHT = 0.2;

/** Returns the predicted run time of an entry in milliseconds. */
export type RunTimePrediction = (entry: EntryId, declaredMs: number) => number;

interface EvictionPlan extends VictimChoice {
  readonly worker: WorkerId;
}

/** Plans evictions; never chooses an attempt whose eviction is already in progress. */
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

  /** Records the end of an attempt and, if it was being evicted, how long the eviction took. */
  recordEnd(attempt: AttemptId, now: Instant): void {
    this.#requested.delete(attempt);
    const startedAt = this.#pending.get(attempt);
    if (startedAt === undefined) {
      return;
    }
    this.#pending.delete(attempt);
    this.#evictionMs += DURATION_WEIGHT * (now - startedAt - this.#evictionMs);
  }

  /** Returns the attempts to evict now: requested ones and the cheapest of overcommitted workers. */
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

  /** Decides on a request that fits nowhere: wait, or evict when it would start too late. */
  plan(
    request: PlacementRequest,
    reserved: Resources,
    isUsable: (load: WorkerLoad) => boolean,
    now: Instant,
  ): PlacementDecision {
    const waiting: PlacementDecision = {kind: 'wait', reason: 'no worker has enough free capacity'};
    if (
      request.class === 'batch' ||
      this.#claims.claimedWorker(request.attempt, now) !== undefined
    ) {
      return waiting;
    }
    const slackMs = request.queuedAt + LATENCY_CRITICAL_START_LIMIT_MS - this.#evictionMs - now;
    // Waits when capacity is predicted to become free in time and no later than by an eviction.
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

  /** Requests the eviction of an attempt at the next call of `takeEvictions`. */
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
    // Attempts that are being evicted count as free, or each call would evict one more.
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
