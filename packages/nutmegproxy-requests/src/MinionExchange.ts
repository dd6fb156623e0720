/** One try of a request on a minion whose slot is held. */

import type {OutlierTracker} from '@nutmegproxy/admission';
import type {EntryNode, Instant, VmId} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {VmDirectory} from '@nutmegproxy/workers';

import {brand} from '@nutmegproxy/core';

import type {Call} from './Call.ts';
import type {ConnectionPool} from './ConnectionPool.ts';
import type {MinionAnswer, MinionConnection} from './MinionConnection.ts';
import type {MinionRoutes} from './MinionRoutes.ts';
import type {Outcome, RefusalCode} from './Refusal.ts';
import type {ExchangeResult, Grant, ServiceAdmission} from './ServiceAdmission.ts';
import type {SlotLedger} from './SlotLedger.ts';
import type {SlotLoans} from './SlotLoans.ts';

import {relayAnswer} from './AnswerRelay.ts';
import {ABORT_DEADLINE} from './Call.ts';
import {singleHeader} from './HeaderUtils.ts';
import {
  HEADER_LEAVING,
  HEADER_REFUSED,
  HEADER_REQUEST,
  HEADER_TIMEOUT_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {EXCHANGE_LIMIT_MS} from './TenureGuard.ts';

/** How a try ended. `answered`: the caller has the whole answer, or it is on its way. */
export type TryEnd =
  | {
      readonly code: RefusalCode;
      readonly kind: 'failed';
      readonly message?: string;
      readonly outcome: Outcome;
      readonly retryAfterMs?: number;
      /** Whether the caller has been given part of the answer. */
      readonly started?: boolean;
    }
  | {readonly kind: 'answered'};

/** What an exchange works with. */
export interface ExchangeParts {
  readonly directory: VmDirectory;
  readonly ledger: SlotLedger;
  readonly loans: SlotLoans | undefined;
  readonly membership: Membership;
  readonly node: EntryNode;
  readonly outliers: OutlierTracker;
  readonly pool: ConnectionPool;
  readonly routes: MinionRoutes;
}

const REFUSAL_BODY_BYTES_MAX = 16_384;
const NOTHING_LEARNED: ExchangeResult = {healthy: undefined, serviceMs: undefined};
const MINION_FAILED: ExchangeResult = {healthy: false, serviceMs: undefined};

/** Runs the exchange of one grant; the slot is released when the minion's part is over. */
export class MinionExchange {
  readonly #admission: ServiceAdmission;
  readonly #call: Call;
  readonly #grant: Grant;
  readonly #parts: ExchangeParts;

  constructor(parts: ExchangeParts, admission: ServiceAdmission, call: Call, grant: Grant) {
    this.#admission = admission;
    this.#call = call;
    this.#grant = grant;
    this.#parts = parts;
  }

  async run(): Promise<TryEnd> {
    const {open} = this.#grant;
    const {signal} = this.#call.abort;
    const connected = await this.#parts.pool.connect(open.minion, open.address, signal);
    if (connected.isErr()) {
      this.#release(signal.aborted ? NOTHING_LEARNED : MINION_FAILED);
      return this.#fail('minion-unreachable', 'not-run', connected.error);
    }
    const now = this.#now();
    const barrier = this.#findBarrier(now);
    if (barrier !== undefined) {
      void this.#keep(connected.value, NOTHING_LEARNED);
      return this.#fail(barrier, 'not-run');
    }
    const cap = this.#capTime();
    try {
      return await this.#send(connected.value, now);
    } finally {
      clearTimeout(cap);
    }
  }

  /** A borrowed slot goes back a bounded time after its loan has ended. */
  #capTime(): NodeJS.Timeout | undefined {
    if (this.#grant.origin === 'own') {
      return undefined;
    }
    return setTimeout(() => {
      this.#call.abort.abort(ABORT_DEADLINE);
    }, EXCHANGE_LIMIT_MS);
  }

  async #answer(
    connection: MinionConnection,
    answer: MinionAnswer,
    sentAt: Instant,
  ): Promise<TryEnd> {
    this.#heedLeaving(answer);
    if (answer.statusCode === 503 && singleHeader(answer.headers, HEADER_REFUSED) === 'true') {
      return this.#handleRefused(connection, answer);
    }
    const {abort, response, waiting} = this.#call;
    const target = {id: waiting.id, response, signal: abort.signal};
    const relayed = await relayAnswer(answer, target);
    if (relayed.kind === 'whole') {
      const healthy = answer.statusCode < 500;
      void this.#keep(connection, {healthy, serviceMs: this.#now() - sentAt});
      return {kind: 'answered'};
    }
    void this.#close(connection, abort.signal.aborted ? NOTHING_LEARNED : MINION_FAILED);
    if (relayed.kind === 'unframed') {
      return this.#fail('answer-unframed', 'outcome-unknown');
    }
    const failed = this.#fail('answer-truncated', 'outcome-unknown', relayed.message);
    return {...failed, started: relayed.started};
  }

  async #close(connection: MinionConnection, result: ExchangeResult): Promise<void> {
    await connection.close();
    this.#release(result);
  }

  #fail(code: RefusalCode, outcome: Outcome, message?: string): TryEnd & {kind: 'failed'} {
    const {abort, body} = this.#call;
    const late = abort.signal.reason === ABORT_DEADLINE || body.failure === 'deadline-passed';
    const bodyCode = body.failure === 'caller-gone' ? undefined : body.failure;
    const reason = late ? 'deadline-passed' : (bodyCode ?? code);
    return {code: reason, kind: 'failed', outcome, ...(message === undefined ? {} : {message})};
  }

  /** Why the request must not be sent at `now`, although a slot was granted. */
  #findBarrier(now: Instant): RefusalCode | undefined {
    if (!this.#parts.membership.holdsTenure(now)) {
      return 'no-tenure';
    }
    if (this.#call.abort.signal.aborted) {
      return 'deadline-passed';
    }
    if (this.#isLoanOver(now)) {
      return 'no-minion';
    }
    return this.#parts.routes.isOpen(this.#grant.open) ? undefined : 'no-minion';
  }

  async #handleRefused(connection: MinionConnection, answer: MinionAnswer): Promise<TryEnd> {
    const {signal} = this.#call.abort;
    try {
      await answer.body.dump({limit: REFUSAL_BODY_BYTES_MAX, signal});
      void this.#keep(connection, NOTHING_LEARNED);
    } catch {
      void this.#close(connection, NOTHING_LEARNED);
    }
    return this.#fail('minion-refused', 'not-run');
  }

  #heedLeaving(answer: MinionAnswer): void {
    if (singleHeader(answer.headers, HEADER_LEAVING) !== 'true') {
      return;
    }
    const {directory, node, routes} = this.#parts;
    const {minion} = this.#grant.open;
    directory.markLeaving(brand<VmId>(minion), 'vm', this.#now());
    routes.invalidate();
    node.events.record(REQUESTS_EVENTS.MINION_LEAVING, {minion});
  }

  /** The process may have been paused since the slot was granted. */
  #isLoanOver(now: Instant): boolean {
    const {ledger, loans} = this.#parts;
    if (this.#grant.origin === 'own') {
      return false;
    }
    loans?.expire(now);
    return ledger.isOverdrawn(this.#grant.open.minion);
  }

  async #keep(connection: MinionConnection, result: ExchangeResult): Promise<void> {
    const {ledger, pool} = this.#parts;
    const {address, minion} = this.#grant.open;
    // The slot of this exchange is still counted as used, so one more may be idle.
    await pool.keep(minion, address, connection, ledger.idle(minion) + 1);
    this.#release(result);
  }

  #now(): Instant {
    return this.#parts.node.clock.monotonic();
  }

  #release(result: ExchangeResult): void {
    const {node, outliers} = this.#parts;
    const {minion} = this.#grant.open;
    const now = this.#now();
    if (result.healthy !== undefined) {
      const change = outliers.record(minion, result.healthy, now);
      if (change !== undefined) {
        const kind = change === 'ejected' ? 'MINION_EJECTED' : 'MINION_RETURNED';
        node.events.record(REQUESTS_EVENTS[kind], {minion});
      }
    }
    this.#admission.release(this.#grant, result, now);
  }

  async #send(connection: MinionConnection, now: Instant): Promise<TryEnd> {
    const {abort, body, headers, method, path, waiting} = this.#call;
    const result = await connection.send(
      {
        body: body.payload(),
        headers: {
          ...headers,
          [HEADER_REQUEST]: waiting.id,
          [HEADER_TIMEOUT_MS]: String(Math.max(1, Math.floor(waiting.deadline - now))),
        },
        method,
        path,
      },
      abort.signal,
    );
    if (result.isOk()) {
      return this.#answer(connection, result.value, now);
    }
    const {message, sent} = result.error;
    const blamesMinion = sent && !abort.signal.aborted && body.failure === undefined;
    void this.#close(connection, blamesMinion ? MINION_FAILED : NOTHING_LEARNED);
    return this.#fail('minion-failed', sent ? 'outcome-unknown' : 'not-run', message);
  }
}
