/** Claims on workers' capacity, which keep it for a task until the task can start there. */

import type {AttemptId, Instant, WorkerId} from '@nutmegproxy/core';
import type {Resources, WorkClass} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {PlacementRequest} from './Placement.ts';

import {addResources, NO_RESOURCES} from './ResourcesUtils.ts';

/** Unused claims expire after this time, since their task may no longer be waiting. */
const CLAIM_TTL_MS = 30_000;

interface Claim {
  readonly amount: Resources;
  readonly class: WorkClass;
  readonly expiresAt: Instant;
  readonly worker: WorkerId;
}

/** The claims, at most one for each attempt. */
export class CapacityClaims {
  readonly #byAttempt = new Map<AttemptId, Claim>();
  readonly #byWorker = new Map<WorkerId, Set<AttemptId>>();

  add(request: PlacementRequest, worker: WorkerId, amount: Resources, now: Instant): void {
    const {attempt} = request;
    this.remove(attempt);
    const expiresAt = after(now, CLAIM_TTL_MS);
    this.#byAttempt.set(attempt, {amount, class: request.class, expiresAt, worker});
    const claims = this.#byWorker.get(worker) ?? new Set<AttemptId>();
    claims.add(attempt);
    this.#byWorker.set(worker, claims);
  }

  /**
   * Returns the amount that other attempts have claimed on a worker. Batch claims do not count
   * against latency-critical requests.
   */
  claimedByOthers(worker: WorkerId, request: PlacementRequest, now: Instant): Resources {
    let sum = NO_RESOURCES;
    for (const claimant of this.#byWorker.get(worker) ?? []) {
      const claim = this.#byAttempt.get(claimant);
      const isBlocking = request.class === 'batch' || claim?.class !== 'batch';
      if (claim && isBlocking && claimant !== request.attempt && now < claim.expiresAt) {
        sum = addResources(sum, claim.amount);
      }
    }
    return sum;
  }

  /** Returns the worker on which the attempt has an unexpired claim. */
  claimedWorker(attempt: AttemptId, now: Instant): undefined | WorkerId {
    const claim = this.#byAttempt.get(attempt);
    return claim && now < claim.expiresAt ? claim.worker : undefined;
  }

  /** Removes expired claims; called regularly to bound the size of the maps. */
  removeExpired(now: Instant): void {
    for (const [attempt, claim] of this.#byAttempt) {
      if (now < claim.expiresAt) {
        // The map is ordered by expiry time.
        return;
      }
      this.remove(attempt);
    }
  }

  remove(attempt: AttemptId): void {
    const claim = this.#byAttempt.get(attempt);
    if (!claim) {
      return;
    }
    this.#byAttempt.delete(attempt);
    const claims = this.#byWorker.get(claim.worker);
    claims?.delete(attempt);
    if (claims?.size === 0) {
      this.#byWorker.delete(claim.worker);
    }
  }
}
