/** Admission of requests to the minions of one service: they wait for a slot, or are refused. */

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

import type {MinionRoutes, OpenMinion} from './MinionRoutes.ts';
import type {SlotLedger, SlotOrigin} from './SlotLedger.ts';
import type {SlotLoans} from './SlotLoans.ts';

import {LOAN_PAUSE_MS, LOAN_SIZE_MAX} from './RequestsConstants.ts';

/** A slot of a minion, held until `release`. */
export interface Grant {
  readonly open: OpenMinion;
  readonly origin: SlotOrigin;
  readonly request: WaitingRequest;
}

/** Why a request gets no slot. */
export interface AdmissionRefusal {
  readonly kind: 'no-minion' | 'no-tenure' | 'wait-ended' | QueueRefusal['kind'];
  readonly retryAfterMs?: number;
}

interface Waiter {
  readonly settle: (result: Result<Grant, AdmissionRefusal>) => void;
  /** Minions that have failed this request before. */
  readonly tried: ReadonlySet<MinionId>;
}

/** What one service's admission works with. */
export interface AdmissionParts {
  readonly choose: MinionChoice;
  readonly ledger: SlotLedger;
  readonly loans: SlotLoans | undefined;
  readonly membership: Membership;
  readonly now: () => Instant;
  readonly outliers: OutlierTracker;
  readonly queue: RequestQueue;
  readonly routes: MinionRoutes;
  readonly service: string;
}

/** How an exchange with a minion went, as far as later choices are concerned. */
export interface ExchangeResult {
  /** Undefined when it says nothing about the minion, as when the caller went away. */
  readonly healthy: boolean | undefined;
  readonly serviceMs: number | undefined;
}

export class ServiceAdmission {
  readonly #latencies = new Map<MinionId, LatencyEstimate>();
  #loanAsked = false;
  #loanTurn = 0;
  #nextLoan = 0 as Instant;
  readonly #parts: AdmissionParts;
  readonly #waiters = new Map<RequestId, Waiter>();

  constructor(parts: AdmissionParts) {
    this.#parts = parts;
  }

  /** Slots of the service's open minions that this process may use. */
  capacity(): number {
    const {ledger, routes, service} = this.#parts;
    return routes.open(service).reduce((sum, {minion}) => sum + ledger.capacity(minion), 0);
  }

  /** Grants slots to waiting requests for as long as there are any of both. */
  pump(now: Instant): void {
    const {loans, membership, queue} = this.#parts;
    if (queue.size > 0 && !membership.holdsTenure(now)) {
      this.#refuseAll({kind: 'no-tenure'});
      return;
    }
    loans?.expire(now);
    while (queue.size > 0) {
      const candidates = this.#candidates(now);
      if (candidates.length === 0) {
        this.#handleShortage(now);
        return;
      }
      this.#refuseLate(now);
      const request = queue.take(now);
      if (request === undefined) {
        return;
      }
      this.#grant(request, candidates, now);
    }
  }

  /** Ends a grant: the minion certainly works on it no longer. */
  release({open: {minion}, request}: Grant, result: ExchangeResult, now: Instant): void {
    const {ledger, queue} = this.#parts;
    ledger.release(minion);
    queue.finish(request, result.serviceMs);
    if (result.serviceMs !== undefined) {
      const estimate = updateEstimate(this.#latencies.get(minion), result.serviceMs, now);
      this.#latencies.set(minion, estimate);
    }
    this.pump(now);
  }

  /** Limits, shares or minions may have changed. */
  refresh(now: Instant): void {
    const {queue, routes, service} = this.#parts;
    const open = new Set(routes.open(service).map(({minion}) => minion));
    for (const minion of [...this.#latencies.keys()].filter((each) => !open.has(each))) {
      this.#latencies.delete(minion);
    }
    queue.refreshLimits();
    this.pump(now);
  }

  /** Waits for a slot; ends without one when `signal` aborts. */
  async wait(
    request: WaitingRequest,
    tried: ReadonlySet<MinionId>,
    signal: AbortSignal,
  ): Promise<Result<Grant, AdmissionRefusal>> {
    const {membership, now, queue, routes, service} = this.#parts;
    if (!membership.holdsTenure(now())) {
      return err({kind: 'no-tenure'});
    }
    if (routes.open(service).length === 0) {
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
      this.#waiters.set(request.id, {settle, tried});
      signal.addEventListener('abort', cancel);
      this.pump(now());
    });
  }

  async #borrow(now: Instant): Promise<void> {
    const {ledger, loans, queue, routes, service} = this.#parts;
    const open = routes.open(service);
    const target = open[this.#loanTurn % Math.max(1, open.length)];
    if (loans === undefined || target === undefined || this.#loanAsked || now < this.#nextLoan) {
      return;
    }
    this.#loanAsked = true;
    this.#loanTurn += 1;
    const wanted = Math.min(LOAN_SIZE_MAX, queue.size);
    const count = await loans.borrow(target.minion, wanted, now).catch(() => 0);
    this.#loanAsked = false;
    const later = this.#parts.now();
    if (count === 0) {
      this.#nextLoan = after(later, LOAN_PAUSE_MS);
      return;
    }
    ledger.addBorrowed(target.minion, count);
    this.pump(later);
  }

  #candidates(now: Instant): MinionCandidate[] {
    const {ledger, outliers, routes, service} = this.#parts;
    const open = routes.open(service);
    const healthy = open.filter(({minion}) => outliers.allows(minion, now));
    // With nobody but ejected minions left, trying them beats refusing.
    const usable = healthy.length > 0 ? healthy : open;
    return usable
      .filter(({minion}) => ledger.idle(minion) > 0)
      .map(({minion}) => ({
        inFlight: ledger.inFlight(minion),
        latency: this.#latencies.get(minion),
        minion,
        slots: ledger.capacity(minion),
      }));
  }

  #grant(request: WaitingRequest, candidates: readonly MinionCandidate[], now: Instant): void {
    const {choose, ledger, outliers, queue, routes, service} = this.#parts;
    const waiter = this.#waiters.get(request.id);
    const untried = candidates.filter(({minion}) => waiter?.tried.has(minion) !== true);
    const chosen = choose(untried.length > 0 ? untried : candidates, now);
    const open = routes.open(service).find(({minion}) => minion === chosen?.minion);
    const origin = open === undefined ? undefined : ledger.acquire(open.minion);
    if (waiter === undefined || open === undefined || origin === undefined) {
      queue.finish(request, undefined);
      waiter?.settle(err({kind: 'no-minion'}));
      return;
    }
    outliers.start(open.minion, now);
    waiter.settle(ok({open, origin, request}));
  }

  #handleShortage(now: Instant): void {
    const {routes, service} = this.#parts;
    if (routes.open(service).length === 0) {
      this.#refuseAll({kind: 'no-minion'});
      return;
    }
    void this.#borrow(now);
  }

  /** A request that can't be answered in time is told so now, and takes no slot. */
  #refuseLate(now: Instant): void {
    for (const request of this.#parts.queue.dropLate(now)) {
      const retryAfterMs = this.#parts.queue.predictWaitMs(request, now);
      this.#waiters.get(request.id)?.settle(err({kind: 'too-late', retryAfterMs}));
    }
  }

  #refuseAll(refusal: AdmissionRefusal): void {
    for (const [id, waiter] of this.#waiters) {
      if (this.#parts.queue.cancel(id)) {
        waiter.settle(err(refusal));
      }
    }
  }
}
