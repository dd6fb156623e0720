/** Runs a call: waits for admission, sends it to a minion and retries it if that is safe. */

import type {MinionChoice, QueueLimits, RequestQueue} from '@nutmegproxy/admission';
import type {Instant} from '@nutmegproxy/core';

import {OutlierTracker, RetryBudget} from '@nutmegproxy/admission';

import type {Call} from './Call.ts';
import type {AttemptResult, ExchangeDependencies} from './MinionExchange.ts';
import type {Outcome, Refusal, RefusalCode} from './Refusal.ts';
import type {AdmissionRefusal} from './ServiceAdmission.ts';
import type {TenureGuard} from './TenureGuard.ts';

import {MinionExchange} from './MinionExchange.ts';
import {MAX_ATTEMPTS} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {ServiceAdmission} from './ServiceAdmission.ts';

/** Result of a call; `refusal` is the proxy's response if no minion's response was complete. */
export type CallResult =
  {readonly kind: 'answered'} | {readonly kind: 'refused'; readonly refusal: Refusal};

/** Dependencies of the dispatcher, shared by all services. */
export interface DispatcherDependencies extends Omit<ExchangeDependencies, 'outliers'> {
  readonly createChoice: () => MinionChoice;
  readonly createQueue: (limits: QueueLimits) => RequestQueue;
  readonly limits: Omit<QueueLimits, 'slots'>;
  readonly tenureGuard: TenureGuard;
}

interface Service {
  readonly admission: ServiceAdmission;
  readonly outliers: OutlierTracker;
  readonly retryBudget: RetryBudget;
}

type FailedAttempt = AttemptResult & {readonly kind: 'failed'};

const CODE_BY_ADMISSION_REFUSAL: Record<AdmissionRefusal['kind'], RefusalCode> = {
  'entry-queue-full': 'entry-queue-full',
  'no-minion': 'no-minion',
  'no-share': 'no-share',
  'no-tenure': 'no-tenure',
  'queue-full': 'queue-full',
  'too-late': 'too-late',
  'wait-ended': 'deadline-passed',
};

export class RequestDispatcher {
  readonly #dependencies: DispatcherDependencies;
  readonly #services = new Map<string, Service>();

  constructor(dependencies: DispatcherDependencies) {
    this.#dependencies = dependencies;
  }

  /** Applies changes of shares, limits or minions; also called periodically. */
  refresh(now: Instant): void {
    for (const {admission} of this.#services.values()) {
      admission.refresh(now);
    }
  }

  /** Runs a call; settles by its deadline. */
  async run(call: Call): Promise<CallResult> {
    const service = this.#getService(call.service);
    let outcome: Outcome = 'not-run';
    service.retryBudget.recordRequest();
    for (let attempt = 1; ; attempt += 1) {
      const result = await this.#attempt(service, call);
      if (result.kind === 'answered') {
        return result;
      }
      outcome = result.outcome === 'outcome-unknown' ? result.outcome : outcome;
      if (!this.#mayRetry(call, result, attempt) || !service.retryBudget.trySpend()) {
        return {kind: 'refused', refusal: toRefusal(result, outcome)};
      }
      const {code, message} = result;
      const fields = {code, message, request: call.request.id, tries: attempt};
      this.#dependencies.node.events.record(REQUESTS_EVENTS.REQUEST_RETRIED, fields);
    }
  }

  #mayRetry({abort, body, isIdempotent}: Call, result: FailedAttempt, attempt: number): boolean {
    const isSafe = result.outcome === 'not-run' || isIdempotent;
    const isRetryable = RETRYABLE_CODES.has(result.code);
    const isPending = !abort.signal.aborted && result.hasStarted !== true;
    return isSafe && isRetryable && isPending && body.canSend && attempt < MAX_ATTEMPTS;
  }

  /** Creates services on demand; the catalogue bounds their number. */
  #getService(name: string): Service {
    const existing = this.#services.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const {createChoice, createQueue, ledger, limits, loans, membership, node, routes} =
      this.#dependencies;
    const outliers = new OutlierTracker();
    const queue = createQueue({
      entryConcurrency: (entry) => limits.entryConcurrency(entry),
      entryQueue: (entry) => limits.entryQueue(entry),
      slots: () => admission.capacity(),
      teamConcurrency: (team) => limits.teamConcurrency(team),
    });
    const admission = new ServiceAdmission({
      chooseMinion: createChoice(),
      ledger,
      loans,
      membership,
      now: () => node.clock.monotonic(),
      outliers,
      queue,
      routes,
      service: name,
    });
    const service = {admission, outliers, retryBudget: new RetryBudget()};
    this.#services.set(name, service);
    return service;
  }

  async #attempt({admission, outliers}: Service, call: Call): Promise<AttemptResult> {
    const admitted = await admission.wait(call.request, call.triedMinions, call.abort.signal);
    if (admitted.isErr()) {
      const {kind, retryAfterMs} = admitted.error;
      const code = CODE_BY_ADMISSION_REFUSAL[kind];
      const retryAfter = retryAfterMs === undefined ? {} : {retryAfterMs};
      return {code, kind: 'failed', outcome: 'not-run', ...retryAfter};
    }
    call.triedMinions.add(admitted.value.endpoint.minion);
    const dependencies = {...this.#dependencies, outliers};
    const exchange = new MinionExchange(dependencies, admission, call, admitted.value);
    return this.#dependencies.tenureGuard.watch(call.abort, () => exchange.run());
  }
}

/** Failures after which another minion may succeed. */
const RETRYABLE_CODES: ReadonlySet<RefusalCode> = new Set([
  'answer-truncated',
  'minion-failed',
  'minion-refused',
  'minion-unreachable',
  'no-minion',
]);

function toRefusal({code, retryAfterMs}: FailedAttempt, outcome: Outcome): Refusal {
  return {code, outcome, ...(retryAfterMs === undefined ? {} : {retryAfterMs})};
}
