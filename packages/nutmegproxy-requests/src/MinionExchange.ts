/** One attempt of a request on a minion, for which a slot is held. */

import type {OutlierTracker} from '@nutmegproxy/admission';
import type {EntryNode, Instant, VmId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {VmDirectory} from '@nutmegproxy/workers';

import {brand} from '@nutmegproxy/core';

import type {Call} from './Call.ts';
import type {ConnectionPool} from './ConnectionPool.ts';
import type {MinionConnection, MinionResponse} from './MinionConnection.ts';
import type {MinionRoutes} from './MinionRoutes.ts';
import type {Outcome, RefusalCode} from './Refusal.ts';
import type {ExchangeResult, Grant, ServiceAdmission} from './ServiceAdmission.ts';
import type {SlotLedger} from './SlotLedger.ts';
import type {SlotLoans} from './SlotLoans.ts';

import {ABORT_DEADLINE} from './Call.ts';
import {getSingleHeader} from './HeaderUtils.ts';
import {
  HEADER_LEAVING,
  HEADER_REFUSED,
  HEADER_REQUEST_ID,
  HEADER_TIMEOUT_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {relayResponse} from './ResponseRelay.ts';
import {SLOT_OVERRUN_LIMIT_MS} from './TenureGuard.ts';

/** Result of an attempt. `answered`: the whole response has been written to the caller. */
export type AttemptResult =
  | {
      readonly code: RefusalCode;
      readonly kind: 'failed';
      readonly message?: string;
      readonly outcome: Outcome;
      readonly retryAfterMs?: number;
      /** Whether part of the response has been sent to the caller. */
      readonly hasStarted?: boolean;
    }
  | {readonly kind: 'answered'};

/** Dependencies of an exchange. */
export interface ExchangeDependencies {
  readonly directory: VmDirectory;
  readonly ledger: SlotLedger;
  readonly loans: SlotLoans | undefined;
  readonly membership: Membership;
  readonly node: EntryNode;
  readonly outliers: OutlierTracker;
  readonly pool: ConnectionPool;
  readonly routes: MinionRoutes;
}

const MAX_REFUSAL_BODY_BYTES = 16_384;
const HEALTH_UNKNOWN: ExchangeResult = {isHealthy: undefined, serviceMs: undefined};
const UNHEALTHY: ExchangeResult = {isHealthy: false, serviceMs: undefined};

/** Runs the exchange of one grant; releases the slot once the minion has finished. */
export class MinionExchange {
  readonly #admission: ServiceAdmission;
  readonly #call: Call;
  readonly #dependencies: ExchangeDependencies;
  readonly #grant: Grant;

  constructor(
    dependencies: ExchangeDependencies,
    admission: ServiceAdmission,
    call: Call,
    grant: Grant,
  ) {
    this.#admission = admission;
    this.#call = call;
    this.#grant = grant;
    this.#dependencies = dependencies;
  }

  async run(): Promise<AttemptResult> {
    const {endpoint} = this.#grant;
    const {signal} = this.#call.abort;
    const connected = await this.#dependencies.pool.connect(
      endpoint.minion,
      endpoint.address,
      signal,
    );
    if (connected.isErr()) {
      this.#releaseSlot(signal.aborted ? HEALTH_UNKNOWN : UNHEALTHY);
      return this.#createFailure('minion-unreachable', 'not-run', connected.error);
    }
    const now = this.#now();
    const refusalCode = this.#findRefusalBeforeSend(now);
    if (refusalCode !== undefined) {
      void this.#releaseConnection(connected.value, HEALTH_UNKNOWN);
      return this.#createFailure(refusalCode, 'not-run');
    }
    const timeLimit = this.#startTimeLimit();
    try {
      return await this.#send(connected.value, now);
    } finally {
      clearTimeout(timeLimit);
    }
  }

  /** Limits the time on a borrowed slot, so that it is free soon after its loan expires. */
  #startTimeLimit(): NodeJS.Timeout | undefined {
    if (this.#grant.origin === 'own') {
      return undefined;
    }
    return setTimeout(() => {
      this.#call.abort.abort(ABORT_DEADLINE);
    }, SLOT_OVERRUN_LIMIT_MS);
  }

  async #handleResponse(
    connection: MinionConnection,
    minionResponse: MinionResponse,
    sentAt: Instant,
  ): Promise<AttemptResult> {
    this.#handleLeavingHeader(minionResponse);
    if (
      minionResponse.statusCode === 503 &&
      getSingleHeader(minionResponse.headers, HEADER_REFUSED) === 'true'
    ) {
      return this.#handleRefusal(connection, minionResponse);
    }
    const {abort, request, response} = this.#call;
    const target = {requestId: request.id, response, signal: abort.signal};
    const relayResult = await relayResponse(minionResponse, target);
    if (relayResult.kind === 'whole') {
      const isHealthy = minionResponse.statusCode < 500;
      void this.#releaseConnection(connection, {isHealthy, serviceMs: this.#now() - sentAt});
      return {kind: 'answered'};
    }
    void this.#closeConnection(connection, abort.signal.aborted ? HEALTH_UNKNOWN : UNHEALTHY);
    if (relayResult.kind === 'unframed') {
      return this.#createFailure('answer-unframed', 'outcome-unknown');
    }
    const failure = this.#createFailure('answer-truncated', 'outcome-unknown', relayResult.message);
    return {...failure, hasStarted: relayResult.hasStarted};
  }

  async #closeConnection(connection: MinionConnection, result: ExchangeResult): Promise<void> {
    await connection.close();
    this.#releaseSlot(result);
  }

  #createFailure(
    code: RefusalCode,
    outcome: Outcome,
    message?: string,
  ): AttemptResult & {kind: 'failed'} {
    const {abort, body} = this.#call;
    const isPastDeadline =
      abort.signal.reason === ABORT_DEADLINE || body.failure === 'deadline-passed';
    const bodyCode = body.failure === 'caller-gone' ? undefined : body.failure;
    const finalCode = isPastDeadline ? 'deadline-passed' : (bodyCode ?? code);
    return {code: finalCode, kind: 'failed', outcome, ...(message === undefined ? {} : {message})};
  }

  /** Returns why the request must not be sent at `now` although it has a slot, if so. */
  #findRefusalBeforeSend(now: Instant): RefusalCode | undefined {
    if (!this.#dependencies.membership.holdsTenure(now)) {
      return 'no-tenure';
    }
    if (this.#call.abort.signal.aborted) {
      return 'deadline-passed';
    }
    if (this.#isLoanExpired(now)) {
      return 'no-minion';
    }
    return this.#dependencies.routes.isAvailable(this.#grant.endpoint) ? undefined : 'no-minion';
  }

  async #handleRefusal(
    connection: MinionConnection,
    minionResponse: MinionResponse,
  ): Promise<AttemptResult> {
    const {signal} = this.#call.abort;
    try {
      await minionResponse.body.dump({limit: MAX_REFUSAL_BODY_BYTES, signal});
      void this.#releaseConnection(connection, HEALTH_UNKNOWN);
    } catch {
      void this.#closeConnection(connection, HEALTH_UNKNOWN);
    }
    return this.#createFailure('minion-refused', 'not-run');
  }

  #handleLeavingHeader(minionResponse: MinionResponse): void {
    if (getSingleHeader(minionResponse.headers, HEADER_LEAVING) !== 'true') {
      return;
    }
    const {directory, node, routes} = this.#dependencies;
    const {minion} = this.#grant.endpoint;
    directory.markLeaving(brand<VmId>(minion), 'vm', this.#now());
    routes.invalidate();
    node.events.record(REQUESTS_EVENTS.MINION_LEAVING, {minion});
  }

  /** Checked again before sending, since the process may have been paused after the grant. */
  #isLoanExpired(now: Instant): boolean {
    const {ledger, loans} = this.#dependencies;
    if (this.#grant.origin === 'own') {
      return false;
    }
    loans?.expire(now);
    return ledger.isOverdrawn(this.#grant.endpoint.minion);
  }

  async #releaseConnection(connection: MinionConnection, result: ExchangeResult): Promise<void> {
    const {ledger, pool} = this.#dependencies;
    const {address, minion} = this.#grant.endpoint;
    // The slot of this exchange still counts as in use, so one more connection may be idle.
    await pool.release(minion, address, connection, ledger.idle(minion) + 1);
    this.#releaseSlot(result);
  }

  #now(): Instant {
    return this.#dependencies.node.clock.monotonic();
  }

  #releaseSlot(result: ExchangeResult): void {
    const {node, outliers} = this.#dependencies;
    const {minion} = this.#grant.endpoint;
    const now = this.#now();
    if (result.isHealthy !== undefined) {
      const change = outliers.record(minion, result.isHealthy, now);
      if (change !== undefined) {
        const eventName = change === 'ejected' ? 'MINION_EJECTED' : 'MINION_RETURNED';
        node.events.record(REQUESTS_EVENTS[eventName], {minion});
      }
    }
    this.#admission.release(this.#grant, result, now);
  }

  async #send(connection: MinionConnection, now: Instant): Promise<AttemptResult> {
    const {abort, body, headers, method, path, request} = this.#call;
    const result = await connection.send(
      {
        body: body.createPayload(),
        headers: {
          ...headers,
          [HEADER_REQUEST_ID]: request.id,
          [HEADER_TIMEOUT_MS]: String(Math.max(1, Math.floor(request.deadline - now))),
        },
        method,
        path,
      },
      abort.signal,
    );
    if (result.isOk()) {
      return this.#handleResponse(connection, result.value, now);
    }
    const {message, wasSent} = result.error;
    const isMinionFault = wasSent && !abort.signal.aborted && body.failure === undefined;
    void this.#closeConnection(connection, isMinionFault ? UNHEALTHY : HEALTH_UNKNOWN);
    return this.#createFailure('minion-failed', wasSent ? 'outcome-unknown' : 'not-run', message);
  }
}
