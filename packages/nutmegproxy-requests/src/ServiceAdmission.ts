/** Admission to the minions of one service: requests wait for a slot or are refused. */

import type {
  LatencyEstimate,
  MinionCandidate,
  MinionChoice,
  OutlierTracker,
  QueueRefusal,
  RequestQueue,
  WaitingRequest,
} from '@nutmegproxy/admission';
import type {Instant, MinionId, RequestId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {Result} from 'neverthrow';

import {updateEstimate} from '@nutmegproxy/admission';
import {after} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {MinionEndpoint, MinionRoutes} from './MinionRoutes.ts';
import type {SlotLedger, SlotOrigin} from './SlotLedger.ts';
import type {SlotLoans} from './SlotLoans.ts';

import {LOAN_RETRY_DELAY_MS, MAX_LOAN_SLOTS} from './RequestsConstants.ts';

/** A slot of a minion, held until it is released. */
export interface Grant {
  readonly endpoint: MinionEndpoint;
  readonly origin: SlotOrigin;
  readonly request: WaitingRequest;
}

/** Why a request was not granted a slot. */
export interface AdmissionRefusal {
  readonly kind: 'no-minion' | 'no-tenure' | 'wait-ended' | QueueRefusal['kind'];
  readonly retryAfterMs?: number;
}

interface Waiter {
  readonly settle: (result: Result<Grant, AdmissionRefusal>) => void;
  /** Minions on which this request has already been attempted. */
  readonly triedMinions: ReadonlySet<MinionId>;
}

/** Dependencies of a service's admission. */
export interface AdmissionDependencies {
  readonly chooseMinion: MinionChoice;
  readonly ledger: SlotLedger;
  readonly loans: SlotLoans | undefined;
  readonly membership: Membership;
  readonly now: () => Instant;
  readonly outliers: OutlierTracker;
  readonly queue: RequestQueue;
  readonly routes: MinionRoutes;
  readonly service: string;
}

/** Result of an exchange as an input to later minion choices. */
export interface ExchangeResult {
  /** Undefined if the result says nothing about the minion, as when the caller disconnected. */
  readonly isHealthy: boolean | undefined;
  readonly serviceMs: number | undefined;
}

export class ServiceAdmission {
  readonly #dependencies: AdmissionDependencies;
  #isLoanPending = false;
  readonly #latencies = new Map<MinionId, LatencyEstimate>();
  #loanRotation = 0;
  #nextLoanAt = 0 as Instant;
  readonly #waiters = new Map<RequestId, Waiter>();

  constructor(dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies;
  }

  /** Slots of the service's available minions that this process may use. */
  capacity(): number {
    const {ledger, routes, service} = this.#dependencies;
    return routes.getAvailable(service).reduce((sum, {minion}) => sum + ledger.capacity(minion), 0);
  }

  /** Grants free slots to waiting requests. */
  grantWaiting(now: Instant): void {
    const {loans, membership, queue} = this.#dependencies;
    if (queue.size > 0 && !membership.holdsTenure(now)) {
      this.#refuseAll({kind: 'no-tenure'});
      return;
    }
    loans?.expire(now);
    while (queue.size > 0) {
      const candidates = this.#findCandidates(now);
      if (candidates.length === 0) {
        this.#handleShortage(now);
        return;
      }
      this.#refuseLate(now);
      const request = queue.take(now);
      if (request === undefined) {
        return;
      }
      this.#grantSlot(request, candidates, now);
    }
  }

  /** Releases a grant once the minion has finished its request. */
  release({endpoint: {minion}, request}: Grant, result: ExchangeResult, now: Instant): void {
    const {ledger, queue} = this.#dependencies;
    ledger.release(minion);
    queue.finish(request, result.serviceMs);
    if (result.serviceMs !== undefined) {
      const estimate = updateEstimate(this.#latencies.get(minion), result.serviceMs, now);
      this.#latencies.set(minion, estimate);
    }
    this.grantWaiting(now);
  }

  /** Applies changes of limits, shares or minions. */
  refresh(now: Instant): void {
    const {queue, routes, service} = this.#dependencies;
    const availableMinions = new Set(routes.getAvailable(service).map(({minion}) => minion));
    for (const minion of [...this.#latencies.keys()].filter(
      (each) => !availableMinions.has(each),
    )) {
      this.#latencies.delete(minion);
    }
    queue.refreshLimits();
    this.grantWaiting(now);
  }

  /** Waits for a slot; returns an error when `signal` aborts. */
  async wait(
    request: WaitingRequest,
    triedMinions: ReadonlySet<MinionId>,
    signal: AbortSignal,
  ): Promise<Result<Grant, AdmissionRefusal>> {
    const {membership, now, queue, routes, service} = this.#dependencies;
    if (!membership.holdsTenure(now())) {
      return err({kind: 'no-tenure'});
    }
    if (routes.getAvailable(service).length === 0) {
      return err({kind: 'no-minion'});
    }
    const refusal = queue.offer(request, now());
    if (refusal !== undefined) {
      return err(refusal);
    }
    return new Promise((resolve) => {
      const cancel = (): void => {
        if (queue.cancel(request.id)) {
          this.#waiters.get(request.id)?.settle(err({kind: 'wait-ended'}));
        }
      };
      const settle: Waiter['settle'] = (result) => {
        this.#waiters.delete(request.id);
        signal.removeEventListener('abort', cancel);
        resolve(result);
      };
      this.#waiters.set(request.id, {settle, triedMinions});
      signal.addEventListener('abort', cancel);
      this.grantWaiting(now());
    });
  }

  async #borrow(now: Instant): Promise<void> {
    const {ledger, loans, queue, routes, service} = this.#dependencies;
    const endpoints = routes.getAvailable(service);
    const endpoint = endpoints[this.#loanRotation % Math.max(1, endpoints.length)];
    if (
      loans === undefined ||
      endpoint === undefined ||
      this.#isLoanPending ||
      now < this.#nextLoanAt
    ) {
      return;
    }
    this.#isLoanPending = true;
    this.#loanRotation += 1;
    const wantedCount = Math.min(MAX_LOAN_SLOTS, queue.size);
    const count = await loans.borrow(endpoint.minion, wantedCount, now).catch(() => 0);
    this.#isLoanPending = false;
    const finishedAt = this.#dependencies.now();
    if (count === 0) {
      this.#nextLoanAt = after(finishedAt, LOAN_RETRY_DELAY_MS);
      return;
    }
    ledger.addBorrowed(endpoint.minion, count);
    this.grantWaiting(finishedAt);
  }

  #findCandidates(now: Instant): MinionCandidate[] {
    const {ledger, outliers, routes, service} = this.#dependencies;
    const endpoints = routes.getAvailable(service);
    const notEjected = endpoints.filter(({minion}) => outliers.allows(minion, now));
    // If all minions are ejected, sending requests to them is better than refusing.
    const usable = notEjected.length > 0 ? notEjected : endpoints;
    return usable
      .filter(({minion}) => ledger.idle(minion) > 0)
      .map(({minion}) => ({
        inFlight: ledger.inFlight(minion),
        latency: this.#latencies.get(minion),
        minion,
        slots: ledger.capacity(minion),
      }));
  }

  #grantSlot(request: WaitingRequest, candidates: readonly MinionCandidate[], now: Instant): void {
    const {chooseMinion, ledger, outliers, queue, routes, service} = this.#dependencies;
    const waiter = this.#waiters.get(request.id);
    const untried = candidates.filter(({minion}) => waiter?.triedMinions.has(minion) !== true);
    const chosen = chooseMinion(untried.length > 0 ? untried : candidates, now);
    const endpoint = routes.getAvailable(service).find(({minion}) => minion === chosen?.minion);
    const origin = endpoint === undefined ? undefined : ledger.acquire(endpoint.minion);
    if (waiter === undefined || endpoint === undefined || origin === undefined) {
      queue.finish(request, undefined);
      waiter?.settle(err({kind: 'no-minion'}));
      return;
    }
    outliers.start(endpoint.minion, now);
    waiter.settle(ok({endpoint, origin, request}));
  }

  #handleShortage(now: Instant): void {
    const {routes, service} = this.#dependencies;
    if (routes.getAvailable(service).length === 0) {
      this.#refuseAll({kind: 'no-minion'});
      return;
    }
    void this.#borrow(now);
  }

  /** Refuses requests that would miss their deadline, so that they do not use a slot. */
  #refuseLate(now: Instant): void {
    for (const request of this.#dependencies.queue.dropLate(now)) {
      const retryAfterMs = this.#dependencies.queue.predictWaitMs(request, now);
      this.#waiters.get(request.id)?.settle(err({kind: 'too-late', retryAfterMs}));
    }
  }

  #refuseAll(refusal: AdmissionRefusal): void {
    for (const [id, waiter] of this.#waiters) {
      if (this.#dependencies.queue.cancel(id)) {
        waiter.settle(err(refusal));
      }
    }
  }
}
