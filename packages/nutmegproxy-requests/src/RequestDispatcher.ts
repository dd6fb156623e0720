/** Takes a call through admission and one or more tries to its end. */

import type {MinionChoice, QueueLimits, RequestQueue} from '@nutmegproxy/admission';
import type {Instant} from '@nutmegproxy/core';

import {OutlierTracker, RetryBudget} from '@nutmegproxy/admission';

import type {Call} from './Call.ts';
import type {ExchangeParts, TryEnd} from './MinionExchange.ts';
import type {Outcome, Refusal, RefusalCode} from './Refusal.ts';
import type {AdmissionRefusal} from './ServiceAdmission.ts';
import type {TenureGuard} from './TenureGuard.ts';

import {MinionExchange} from './MinionExchange.ts';
import {TRIES_MAX} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {ServiceAdmission} from './ServiceAdmission.ts';

/** How a call ended; `refusal` is what the proxy answers when no minion's answer went out. */
export type CallEnd =
  {readonly kind: 'answered'} | {readonly kind: 'refused'; readonly refusal: Refusal};

/** What the dispatcher works with, for all services. */
export interface DispatcherParts extends Omit<ExchangeParts, 'outliers'> {
  readonly createChoice: () => MinionChoice;
  readonly createQueue: (limits: QueueLimits) => RequestQueue;
  readonly guard: TenureGuard;
  readonly limits: Omit<QueueLimits, 'slots'>;
}

interface Service {
  readonly admission: ServiceAdmission;
  readonly budget: RetryBudget;
  readonly outliers: OutlierTracker;
}

type FailedTry = TryEnd & {readonly kind: 'failed'};

const ADMISSION_CODES: Record<AdmissionRefusal['kind'], RefusalCode> = {
  'entry-queue-full': 'entry-queue-full',
  'no-minion': 'no-minion',
  'no-share': 'no-share',
  'no-tenure': 'no-tenure',
  'queue-full': 'queue-full',
  'too-late': 'too-late',
  'wait-ended': 'deadline-passed',
};

export class RequestDispatcher {
  readonly #parts: DispatcherParts;
  readonly #services = new Map<string, Service>();

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
  }

  /** Shares, limits or minions may have changed; called now and then as well. */
  refresh(now: Instant): void {
    for (const {admission} of this.#services.values()) {
      admission.refresh(now);
    }
  }

  /** Runs a call; it is settled by its deadline. */
  async run(call: Call): Promise<CallEnd> {
    const service = this.#service(call.service);
    let outcome: Outcome = 'not-run';
    service.budget.recordRequest();
    for (let tries = 1; ; tries += 1) {
      const end = await this.#try(service, call);
      if (end.kind === 'answered') {
        return end;
      }
      outcome = end.outcome === 'outcome-unknown' ? end.outcome : outcome;
      if (!this.#mayRetry(call, end, tries) || !service.budget.trySpend()) {
        return {kind: 'refused', refusal: toRefusal(end, outcome)};
      }
      const {code, message} = end;
      const fields = {code, message, request: call.waiting.id, tries};
      this.#parts.node.events.record(REQUESTS_EVENTS.REQUEST_RETRIED, fields);
    }
  }

  #mayRetry({abort, body, idempotent}: Call, end: FailedTry, tries: number): boolean {
    const harmless = end.outcome === 'not-run' || idempotent;
    const admitted = RETRIED_CODES.has(end.code);
    const open = !abort.signal.aborted && end.started !== true;
    return harmless && admitted && open && body.sendable && tries < TRIES_MAX;
  }

  /** Services come from the catalogue, so their number is bounded by its size. */
  #service(name: string): Service {
    const known = this.#services.get(name);
    if (known !== undefined) {
      return known;
    }
    const {createChoice, createQueue, ledger, limits, loans, membership, node, routes} =
      this.#parts;
    const outliers = new OutlierTracker();
    const queue = createQueue({
      entryConcurrency: (entry) => limits.entryConcurrency(entry),
      entryQueue: (entry) => limits.entryQueue(entry),
      slots: () => admission.capacity(),
      teamConcurrency: (team) => limits.teamConcurrency(team),
    });
    const admission = new ServiceAdmission({
      choose: createChoice(),
      ledger,
      loans,
      membership,
      now: () => node.clock.monotonic(),
      outliers,
      queue,
      routes,
      service: name,
    });
    const service = {admission, budget: new RetryBudget(), outliers};
    this.#services.set(name, service);
    return service;
  }

  async #try({admission, outliers}: Service, call: Call): Promise<TryEnd> {
    const granted = await admission.wait(call.waiting, call.tried, call.abort.signal);
    if (granted.isErr()) {
      const {kind, retryAfterMs} = granted.error;
      const code = ADMISSION_CODES[kind];
      const late = retryAfterMs === undefined ? {} : {retryAfterMs};
      return {code, kind: 'failed', outcome: 'not-run', ...late};
    }
    call.tried.add(granted.value.open.minion);
    const parts = {...this.#parts, outliers};
    const exchange = new MinionExchange(parts, admission, call, granted.value);
    return this.#parts.guard.watch(call.abort, () => exchange.run());
  }
}

/** Failures after which another minion may do better. */
const RETRIED_CODES: ReadonlySet<RefusalCode> = new Set([
  'answer-truncated',
  'minion-failed',
  'minion-refused',
  'minion-unreachable',
  'no-minion',
]);

function toRefusal({code, retryAfterMs}: FailedTry, outcome: Outcome): Refusal {
  return {code, outcome, ...(retryAfterMs === undefined ? {} : {retryAfterMs})};
}
