/** The baseline policy: places by declared sizes alone and learns nothing. */

import type {AttemptId, Instant, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Quota} from '@nutmegproxy/schema';

import type {
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementRequest,
  Throttle,
  WorkerProfile,
} from './Placement.ts';

import {fitsInto} from './ResourcesUtils.ts';
import {QUOTA_DECISIONS, TeamQuotas} from './TeamQuotas.ts';
import {WorkerLedger} from './WorkerLedger.ts';

/** Picks the first worker with enough free capacity; never evicts or throttles. */
export class FirstFit implements Placement {
  readonly #ledger = new WorkerLedger();
  readonly #quotas = new TeamQuotas();

  adopt(attempt: PlacedAttempt): void {
    if (this.#ledger.attempt(attempt.attempt)) {
      return;
    }
    this.#ledger.add(attempt);
    this.#quotas.add(attempt);
  }

  decide(request: PlacementRequest, now: Instant): PlacementDecision {
    const status = this.#quotas.status(request, request.declared);
    if (status !== 'within') {
      return QUOTA_DECISIONS[status];
    }
    return this.#firstFit(request, now);
  }

  evictions(): readonly AttemptId[] {
    return [];
  }

  observe(): void {
    // This policy uses declared sizes only.
  }

  release(attempt: AttemptId): void {
    const placed = this.#ledger.remove(attempt);
    if (placed) {
      this.#quotas.remove(placed);
    }
  }

  removeWorker(worker: WorkerId): void {
    this.#ledger.removeWorker(worker);
  }

  setQuotas(shares: ReadonlyMap<TeamId, Quota>): void {
    this.#quotas.setShares(shares);
  }

  setWorker(worker: WorkerProfile): void {
    this.#ledger.setWorker(worker);
  }

  throttles(): readonly Throttle[] {
    return [];
  }

  #firstFit(request: PlacementRequest, now: Instant): PlacementDecision {
    let isPossible = false;
    let hasWorkers = false;
    for (const {free, profile} of this.#ledger.loads()) {
      hasWorkers = true;
      isPossible ||= fitsInto(request.declared, profile.capacity);
      if (!profile.drained && fitsInto(request.declared, free)) {
        const placed = {...request, reserved: request.declared, startedAt: now, worker: profile.id};
        this.#ledger.reserve(placed);
        this.#quotas.add(placed);
        return {kind: 'placed', reserved: request.declared, worker: profile.id};
      }
    }
    return isPossible || !hasWorkers
      ? {kind: 'wait', reason: 'no worker has enough free capacity'}
      : {kind: 'impossible', reason: 'the task is larger than every worker'};
  }
}
