/** Room on workers that is kept for a task until it can start there. */

import type {AttemptId, Instant, WorkerId} from '@nutmegproxy/core';
import type {Resources, WorkClass} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {PlacementRequest} from './Placement.ts';

import {addResources, NO_RESOURCES} from './ResourcesUtils.ts';

/** A claim that has not been used by then is dropped: its task may be gone. */
const CLAIM_TTL_MS = 30_000;

interface Claim {
  readonly amount: Resources;
  readonly class: WorkClass;
  readonly expiresAt: Instant;
  readonly worker: WorkerId;
}

/** Claims by the attempt that they are for. */
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

  /** Amount that others have claimed there; a claim of batch does not hold up urgent work. */
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

  /** The worker that the attempt has a claim on. */
  claimedWorker(attempt: AttemptId, now: Instant): undefined | WorkerId {
    const claim = this.#byAttempt.get(attempt);
    return claim && now < claim.expiresAt ? claim.worker : undefined;
  }

  /** Drops claims that have expired; called now and then to bound the maps. */
  removeExpired(now: Instant): void {
    for (const [attempt, claim] of this.#byAttempt) {
      if (now < claim.expiresAt) {
        // Claims stand in the order of their expiry.
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
