/** Claims capacity for one batch task that has waited long while smaller tasks were placed. */

import type {AttemptId, Instant} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {CapacityClaims} from './CapacityClaims.ts';
import type {RunTimePrediction} from './EvictionPlanner.ts';
import type {PlacementRequest} from './Placement.ts';
import type {WorkerLedger, WorkerLoad} from './WorkerLedger.ts';

import {predictRunTimes, timeToFitMs} from './CapacityForecast.ts';
import {SCAN_LIMIT} from './LearnedConstants.ts';
import {fitsInto} from './ResourcesUtils.ts';

/** Makes one claim at a time, so that at most one worker keeps capacity unused for such a task. */
export class AgedTaskClaim {
  readonly #claims: CapacityClaims;
  #claimant: AttemptId | undefined;
  readonly #ledger: WorkerLedger;
  readonly #runTime: RunTimePrediction;

  constructor(ledger: WorkerLedger, claims: CapacityClaims, runTime: RunTimePrediction) {
    this.#claims = claims;
    this.#ledger = ledger;
    this.#runTime = runTime;
  }

  /** Claims the worker predicted to have enough free capacity first, or renews the present claim. */
  claimOrRenew(
    request: PlacementRequest,
    reserved: Resources,
    isUsable: (load: WorkerLoad) => boolean,
    now: Instant,
  ): void {
    const claimedWorker =
      this.#claimant === undefined ? undefined : this.#claims.claimedWorker(this.#claimant, now);
    if (claimedWorker !== undefined && this.#claimant !== request.attempt) {
      return;
    }
    const current = claimedWorker === undefined ? undefined : this.#ledger.load(claimedWorker);
    const isCurrentUsable =
      current && isUsable(current) && fitsInto(reserved, current.profile.capacity);
    const worker = isCurrentUsable ? claimedWorker : this.#findSoonest(reserved, isUsable, now);
    if (worker !== undefined) {
      this.#claimant = request.attempt;
      this.#claims.add(request, worker, reserved, now);
    }
  }

  #findSoonest(reserved: Resources, isUsable: (load: WorkerLoad) => boolean, now: Instant) {
    let soonest: undefined | {waitMs: number; load: WorkerLoad};
    for (const load of this.#ledger.sample(SCAN_LIMIT)) {
      if (isUsable(load) && fitsInto(reserved, load.profile.capacity)) {
        const attempts = predictRunTimes(load, this.#ledger, this.#runTime);
        const waitMs = timeToFitMs(reserved, load.free, attempts, now);
        if (!soonest || waitMs < soonest.waitMs) {
          soonest = {load, waitMs};
        }
      }
    }
    return soonest?.load.profile.id;
  }
}
