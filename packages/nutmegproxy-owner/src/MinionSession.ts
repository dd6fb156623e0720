/** The owner's talk with one minion: it renews the hold and lists what runs there and what ended. */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionListing, MinionState, StopRequest} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {reconcileListing} from '@nutmegproxy/scheduling';

import type {Journal} from './Journal.ts';
import type {MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {SessionContext} from './SessionContext.ts';

import {
  HOLD_MS,
  HOLD_RETRY_MS,
  LISTING_WAIT_MS,
  NEAR_BOUND_WAIT_MS,
  SILENT_AFTER_CALLS,
  UNACKED_PAUSE_MS,
  WATCHFUL_WAIT_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {isSameTask} from './OwnerUtils.ts';
import {RunOrders} from './RunOrders.ts';

export class MinionSession {
  readonly minion: MinionState;
  #acked = 0;
  #bornAt: number | undefined;
  readonly #context: SessionContext;
  #seen = 0;
  #stopped = false;
  readonly #runOrders: RunOrders;

  constructor(context: SessionContext, minion: MinionState) {
    this.#context = context;
    this.minion = minion;
    this.#runOrders = new RunOrders(context, minion, {
      grantHold: (now) => this.#grantHold(now),
      isActing: () => this.#isActing(),
      noteFailure: (failure, what) => {
        this.#noteFailure(failure, what);
      },
    });
    this.#bornAt = minion.description.bornAt;
  }

  get #target(): MinionTarget {
    return {address: this.minion.description.address, id: this.minion.id};
  }

  /** Ends the session; orders under way end by themselves. */
  close(): void {
    this.#stopped = true;
    this.#context.orders.release(this.#target);
  }

  /**
   * Compares the start of the minion's life with the one that is known. Its listings and its entry
   * both tell it; only the first of them means that the former life's runs are over.
   */
  noteLife(bornAt: number | undefined): void {
    if (bornAt === undefined || bornAt === this.#bornAt) {
      return;
    }
    const isRestart = this.#bornAt !== undefined;
    // An entry may be older than a listing; lives follow each other in time.
    if (isRestart && bornAt < (this.#bornAt ?? 0)) {
      return;
    }
    this.#bornAt = bornAt;
    if (isRestart) {
      this.#restart(bornAt);
    }
  }

  /** The minion began a new life: nothing of the former one runs any more. */
  #restart(bornAt: number): void {
    const {events, fleet} = this.#context;
    events.record(OWNER_EVENTS.MINION_RESTARTED, {bornAt, minion: this.minion.id});
    this.#acked = 0;
    this.#seen = 0;
    this.minion.leaseClock.reset();
    fleet.clearUncertainResults(this.minion);
    for (const run of [...this.minion.runs]) {
      // A start that was sent meanwhile may have reached the new life; the next listing tells.
      if (run.knownFrom !== 'order') {
        fleet.recordLostRun(run, 'minion restarted');
      }
    }
  }

  /** Renews the hold and lists until the session is closed. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const isQuiet = await this.#listOnce();
      if (!isQuiet) {
        await delay(HOLD_RETRY_MS);
      }
    }
  }

  /** Sends the start of a booked run. */
  start(run: Run): Promise<void> {
    return this.#runOrders.start(run);
  }

  /** Sends a stop. */
  stop(order: StopRequest): Promise<void> {
    return this.#runOrders.stop(order);
  }

  #applyListing(listing: MinionListing, askedAt: Instant, now: Instant): void {
    const {fleet, onListed} = this.#context;
    this.noteLife(listing.bornAt);
    this.minion.leaseClock.observe(listing.clockMs, now);
    this.#noteDurations(listing, now);
    reconcileListing(fleet, this.minion, listing, {
      appliedThrough: this.#seen,
      now,
      requestedAt: askedAt,
    });
    this.#seen = Math.max(this.#seen, ...listing.ended.map(({sequence}) => sequence));
    this.minion.hasReported = true;
    this.#noteAnswer(now);
    fleet.clearUncertainResults(this.minion);
    onListed(this.minion, now);
    this.#runOrders.resume();
  }

  /** Lists once; false when a pause has to follow. */
  async #listOnce(): Promise<boolean> {
    const {clock, journal, onChange, orders, tenure} = this.#context;
    const askedAt = clock.monotonic();
    if (tenure.state(askedAt, clock.wall()) === 'over') {
      this.#context.onFenced();
      return false;
    }
    const answer = await orders.hold(this.#target, {
      ackedThrough: this.#acked,
      token: tenure.token,
      untilMs: this.#grantHold(askedAt),
      waitMs: this.#chooseWait(askedAt),
    });
    if (this.#stopped) {
      return true;
    }
    const now = clock.monotonic();
    if (answer.isErr()) {
      this.#noteFailure(answer.error, 'hold');
      return false;
    }
    const wasKnown = this.minion.leaseClock.hasReading;
    this.#applyListing(answer.value, askedAt, now);
    onChange();
    if (answer.value.ended.length > 0) {
      await this.#acknowledge(journal);
    }
    return wasKnown || this.minion.leaseClock.hasReading;
  }

  /** Waits until the ends that were listed are in the store; ends the wait when that takes long. */
  async #acknowledge(journal: Journal): Promise<void> {
    const seen = this.#seen;
    const flushed = journal.flushed().then(() => {
      this.#acked = Math.max(this.#acked, seen);
    });
    await Promise.race([flushed, delay(UNACKED_PAUSE_MS)]);
  }

  #chooseWait(now: Instant): number {
    if (!this.minion.leaseClock.hasReading || this.minion.missedCalls > 0) {
      return 0;
    }
    const {backfillCpuMilli: fillingCpuMilli, servingRuns} = this.minion;
    if (this.#context.isNearBound(this.minion)) {
      return NEAR_BOUND_WAIT_MS;
    }
    if (servingRuns > 0 && fillingCpuMilli > 0) {
      return WATCHFUL_WAIT_MS;
    }
    const overdueInMs = this.#context.overdueInMs(this.minion, now);
    return Math.round(Math.min(LISTING_WAIT_MS, Math.max(WATCHFUL_WAIT_MS, overdueInMs)));
  }

  /**
   * The hold that a listing carries. A silent minion is granted none, so that what it has lapses in
   * bounded time.
   */
  #grantHold(now: Instant): number | undefined {
    const isSilent = this.minion.missedCalls > 0 || this.minion.isRecordedUnreachable;
    return isSilent ? undefined : this.minion.leaseClock.grantLease(HOLD_MS, now);
  }

  #isActing(): boolean {
    const {clock, tenure} = this.#context;
    return !this.#stopped && tenure.state(clock.monotonic(), clock.wall()) !== 'over';
  }

  #noteAnswer(now: Instant): void {
    if (this.minion.missedCalls > 0 || this.minion.lastAnswerAt === undefined) {
      const {address, dataCentre} = this.minion.description;
      const fields = {address, dataCentre, minion: this.minion.id};
      this.#context.events.record(OWNER_EVENTS.MINION_REACHED, fields);
    }
    this.minion.lastAnswerAt = now;
    this.minion.missedCalls = 0;
    if (this.minion.isRecordedUnreachable) {
      this.#context.onAnswering(this.minion);
    }
  }

  #noteDurations({ended}: MinionListing, now: Instant): void {
    for (const {number, outcome, sequence, task} of ended) {
      const run = [...this.minion.runs].find(
        (each) => each.number === number && isSameTask(each.task, task),
      );
      const isFresh = run !== undefined && sequence > this.#seen && outcome === 'done';
      if (isFresh && run.step.checkpoints.get(task.index) === undefined) {
        this.#context.onRunDone(run, now - run.sentAt);
      }
    }
  }

  #noteFailure({clockMs, kind, message}: OrderFailure, what: string): void {
    const {clock, events, onFenced, onSilent} = this.#context;
    const {id} = this.minion;
    if (clockMs !== undefined) {
      this.minion.leaseClock.observe(clockMs, clock.monotonic());
    }
    if (kind === 'fenced') {
      onFenced();
      return;
    }
    if (kind === 'unanswered') {
      this.minion.missedCalls += 1;
      if (this.minion.missedCalls === 1) {
        events.record(OWNER_EVENTS.MINION_UNREACHED, {message, minion: id, what});
      }
      // Of a minion that has not reported, this owner does not know what it may run.
      const isNewlySilent =
        this.minion.missedCalls >= SILENT_AFTER_CALLS &&
        this.minion.hasReported &&
        !this.minion.isRecordedUnreachable;
      if (isNewlySilent) {
        this.minion.isRecordedUnreachable = true;
        onSilent(this.minion);
      }
      return;
    }
    events.record(OWNER_EVENTS.ORDER_FAILED, {kind, message, minion: id, what});
    if (kind === 'other-life') {
      this.#endLife();
    }
  }

  /** Another life answers at the address, so that nothing of this one runs any more. */
  #endLife(): void {
    this.minion.hasReported = false;
    for (const run of [...this.minion.runs]) {
      this.#context.fleet.recordLostRun(run, 'address taken by another minion');
    }
  }
}
