/** Holds room for one batch task that has waited long while smaller ones passed it. */

import type {AttemptId, Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {Claims} from './Claims.ts';
import type {RunTimePrediction} from './EvictionPlanner.ts';
import type {PlacementWish} from './Placement.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {SCAN_LIMIT} from './LearnedConstants.ts';
import {fitsInto} from './ResourcesUtils.ts';
import {predictAttempts, roomInMs} from './RoomForecast.ts';

/** One claim at a time, so that only one worker fills up for a task that can't start yet. */
export class AgedClaim {
  readonly #claims: Claims;
  #holder: AttemptId | undefined;
  readonly #ledger: WorkerLedger;
  readonly #runTime: RunTimePrediction;

  constructor(ledger: WorkerLedger, claims: Claims, runTime: RunTimePrediction) {
    this.#claims = claims;
    this.#ledger = ledger;
    this.#runTime = runTime;
  }

  /** Claims the worker on which room comes soonest, or renews the wish's claim. */
  hold(
    wish: PlacementWish,
    reserved: Resources,
    trusts: (load: WorkerLoad) => boolean,
    now: Instant,
  ): void {
    const held = this.#holder === undefined ? undefined : this.#claims.claimOf(this.#holder, now);
    if (held !== undefined && this.#holder !== wish.attempt) {
      return;
    }
    const current = held === undefined ? undefined : this.#ledger.load(held);
    const usable = current && trusts(current) && fitsInto(reserved, current.profile.capacity);
    const worker = usable ? held : this.#soonest(reserved, trusts, now);
    if (worker !== undefined) {
      this.#holder = wish.attempt;
      this.#claims.add(wish, worker, reserved, now);
    }
  }

  #soonest(reserved: Resources, trusts: (load: WorkerLoad) => boolean, now: Instant) {
    let soonest: undefined | {inMs: number; load: WorkerLoad};
    for (const load of this.#ledger.sample(SCAN_LIMIT)) {
      if (trusts(load) && fitsInto(reserved, load.profile.capacity)) {
        const attempts = predictAttempts(load, this.#ledger, this.#runTime);
        const inMs = roomInMs(reserved, load.free, attempts, now);
        if (!soonest || inMs < soonest.inMs) {
          soonest = {inMs, load};
        }
      }
    }
    return soonest?.load.profile.id;
  }
}
