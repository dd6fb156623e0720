/** Decides when batch attempts are evicted, and which. */

import type {AttemptId, EntryId, Instant, WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {Claims} from './Claims.ts';
import type {PlacedAttempt, PlacementDecision, PlacementWish} from './Placement.ts';
import type {VictimChoice} from './Victims.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {EXPECTED_EVICTION_MS, SCAN_LIMIT, URGENT_START_LIMIT_MS} from './LearnedConstants.ts';
import {addResources, fitsInto, NO_RESOURCES, subtractResources} from './ResourcesUtils.ts';
import {predictAttempts, roomInMs} from './RoomForecast.ts';
import {chooseVictims} from './Victims.ts';

/** Weight of the latest eviction in the expected duration. */
const DURATION_WEIGHT = 0.2;

/** Predicts an entry's run time in milliseconds. */
export type RunTimePrediction = (entry: EntryId, declaredMs: number) => number;

interface Plan extends VictimChoice {
  readonly worker: WorkerId;
}

/** Plans evictions; an attempt that is being evicted is never chosen again. */
export class EvictionPlanner {
  readonly #claims: Claims;
  #durationMs = EXPECTED_EVICTION_MS;
  readonly #ledger: WorkerLedger;
  readonly #pending = new Map<AttemptId, Instant>();
  readonly #runTime: RunTimePrediction;
  readonly #wished = new Set<AttemptId>();

  constructor(ledger: WorkerLedger, claims: Claims, runTime: RunTimePrediction) {
    this.#ledger = ledger;
    this.#claims = claims;
    this.#runTime = runTime;
  }

  /** Notes that an attempt has ended, and learns how long its eviction took. */
  end(attempt: AttemptId, now: Instant): void {
    this.#wished.delete(attempt);
    const since = this.#pending.get(attempt);
    if (since === undefined) {
      return;
    }
    this.#pending.delete(attempt);
    this.#durationMs += DURATION_WEIGHT * (now - since - this.#durationMs);
  }

  /** Attempts to evict now: those wished for, and the cheapest of each overfull worker. */
  overdue(overfull: ReadonlySet<WorkerId>, now: Instant): readonly AttemptId[] {
    const chosen = [...this.#wished].filter((id) => this.#isEvictable(this.#ledger.attempt(id)));
    for (const worker of overfull) {
      chosen.push(...this.#relieve(worker, now));
    }
    for (const id of chosen) {
      this.#pending.set(id, now);
    }
    this.#wished.clear();
    return [...new Set(chosen)];
  }

  /** Decides for a wish that found no room: wait, or evict when it would start too late. */
  plan(
    wish: PlacementWish,
    reserved: Resources,
    trusts: (load: WorkerLoad) => boolean,
    now: Instant,
  ): PlacementDecision {
    const waiting: PlacementDecision = {kind: 'wait', reason: 'no worker has room'};
    if (wish.class === 'batch' || this.#claims.claimOf(wish.attempt, now) !== undefined) {
      return waiting;
    }
    const leftMs = wish.queuedAt + URGENT_START_LIMIT_MS - this.#durationMs - now;
    // Room that comes no later than an eviction would make it is waited for.
    const patienceMs = Math.min(leftMs, this.#durationMs);
    const {best, soonestMs} = this.#scan(wish, reserved, trusts, now);
    if (!best || soonestMs < patienceMs) {
      return waiting;
    }
    const victims = best.victims.map(({attempt}) => attempt);
    for (const victim of victims) {
      this.#pending.set(victim, now);
    }
    this.#claims.add(wish, best.worker, reserved, now);
    return {kind: 'evict', victims, worker: best.worker};
  }

  /** Asks for an eviction at the next call of `overdue`. */
  wish(attempt: AttemptId): void {
    this.#wished.add(attempt);
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

  #relieve(worker: WorkerId, now: Instant): AttemptId[] {
    const load = this.#ledger.load(worker);
    if (!load) {
      return [];
    }
    // What is already being evicted counts as room, or each call would evict one more.
    const staying = [...load.attempts]
      .filter((id) => !this.#pending.has(id))
      .map((id) => this.#ledger.attempt(id)?.reserved ?? NO_RESOURCES)
      .reduce(addResources, NO_RESOURCES);
    const excess = subtractResources(staying, load.profile.capacity);
    const choice = chooseVictims(this.#evictable(load), excess, NO_RESOURCES, now);
    return (choice?.victims ?? []).map(({attempt}) => attempt);
  }

  #scan(
    wish: PlacementWish,
    reserved: Resources,
    trusts: (load: WorkerLoad) => boolean,
    now: Instant,
  ): {best: Plan | undefined; soonestMs: number} {
    let best: Plan | undefined;
    let soonestMs = Infinity;
    for (const load of this.#ledger.sample(SCAN_LIMIT)) {
      if (!trusts(load) || !fitsInto(reserved, load.profile.capacity)) {
        continue;
      }
      const claimed = this.#claims.claimed(load.profile.id, wish, now);
      const free = subtractResources(load.free, claimed);
      const attempts = predictAttempts(load, this.#ledger, this.#runTime);
      soonestMs = Math.min(soonestMs, roomInMs(reserved, free, attempts, now));
      const choice = chooseVictims(this.#evictable(load), reserved, free, now);
      if (choice && choice.victims.length > 0 && (!best || choice.cost < best.cost)) {
        best = {...choice, worker: load.profile.id};
      }
    }
    return {best, soonestMs};
  }
}
