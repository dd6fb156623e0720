/** The baseline policy: the first worker with room for the declared size. It learns nothing. */

import type {AttemptId, Instant, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Quota} from '@nutmegproxy/schema';

import type {
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementWish,
  ThrottleWish,
  WorkerProfile,
} from './Placement.ts';

import {fitsInto} from './ResourcesUtils.ts';
import {QUOTA_DECISIONS, TeamQuotas} from './TeamQuotas.ts';
import {WorkerLedger} from './WorkerLedger.ts';

/** First fit by declared sizes; evicts nothing and throttles nothing. */
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

  decide(wish: PlacementWish, now: Instant): PlacementDecision {
    const verdict = this.#quotas.verdict(wish, wish.declared);
    if (verdict !== 'within') {
      return QUOTA_DECISIONS[verdict];
    }
    return this.#firstFit(wish, now);
  }

  evictions(): readonly AttemptId[] {
    return [];
  }

  observe(): void {
    // Declared sizes are all that this policy knows.
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

  throttles(): readonly ThrottleWish[] {
    return [];
  }

  #firstFit(wish: PlacementWish, now: Instant): PlacementDecision {
    let possible = false;
    let known = false;
    for (const {free, profile} of this.#ledger.loads()) {
      known = true;
      possible ||= fitsInto(wish.declared, profile.capacity);
      if (!profile.drained && fitsInto(wish.declared, free)) {
        const placed = {...wish, reserved: wish.declared, startedAt: now, worker: profile.id};
        this.#ledger.reserve(placed);
        this.#quotas.add(placed);
        return {kind: 'placed', reserved: wish.declared, worker: profile.id};
      }
    }
    return possible || !known
      ? {kind: 'wait', reason: 'no worker has room'}
      : {kind: 'impossible', reason: 'the task is larger than every worker'};
  }
}
