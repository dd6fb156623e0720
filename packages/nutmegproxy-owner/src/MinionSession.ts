/**
 * The owner's talk with one minion: it renews the hold, lists what runs there and what ended, and
 * carries orders. A start without an answer is sent again under the same number, which the minion
 * carries out once; a run that is no longer wanted is stopped under its number, after which the
 * minion rejects it even when the start arrives late.
 */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';
import type {Fleet, MinionListing, MinionState, StopOrder, Ticket} from '@nutmegproxy/scheduling';

import {formatTaskName} from '@nutmegproxy/jobs';
import {describeRun, reviewListing} from '@nutmegproxy/scheduling';

import type {Journal} from './Journal.ts';
import type {MinionOrders, MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {Tenure} from './Tenure.ts';

import {
  HOLD_MS,
  HOLD_RETRY_MS,
  LISTING_WAIT_MS,
  ORDER_RETRY_MS,
  ORDER_TRIES,
  PRESSED_WAIT_MS,
  SILENT_AFTER_CALLS,
  UNACKED_PAUSE_MS,
  WATCHFUL_WAIT_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {delay} from './OwnerUtils.ts';

export interface SessionContext {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly findTicket: (run: Run) => Ticket | undefined;
  readonly fleet: Fleet;
  /** Whether a serving task of the minion is near or over its bound. */
  readonly isPressed: (minion: MinionState) => boolean;
  readonly journal: Journal;
  /** Called when a minion that is marked as silent answers. */
  readonly onAnswering: (minion: MinionState) => void;
  /** Called after anything that may allow new starts. */
  readonly onChange: () => void;
  /** Called when a minion shows that another VM owns the fleet. */
  readonly onFenced: () => void;
  /** Called after each listing was applied. */
  readonly onListed: (minion: MinionState, now: Instant) => void;
  readonly onRunDone: (run: Run, durationMs: number) => void;
  /** Called when a minion has left several calls without an answer. */
  readonly onSilent: (minion: MinionState) => void;
  readonly onTicketRejected: (run: Run) => void;
  readonly orders: MinionOrders;
  /** Time in milliseconds until a run of the minion should have ended. */
  readonly overdueInMs: (minion: MinionState, now: Instant) => number;
  readonly tenure: Tenure;
}

/** Outcome of a start that ended its tries. */
type StartEnd = 'confirmed' | 'not-started' | 'unknown';

export class MinionSession {
  readonly minion: MinionState;
  #acked = 0;
  #bornAt: number | undefined;
  readonly #context: SessionContext;
  #seen = 0;
  #stopped = false;
  readonly #starting = new Set<Run>();
  readonly #stopping = new Set<string>();
  /** Runs of which a start got no answer, so that it may still be carried out. */
  readonly #uncertain = new WeakSet<Run>();

  constructor(context: SessionContext, minion: MinionState) {
    this.#context = context;
    this.minion = minion;
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
    this.minion.clock.reset();
    fleet.settleEnds(this.minion);
    for (const run of [...this.minion.runs]) {
      // A start that was sent meanwhile may have reached the new life; the next listing tells.
      if (run.knownFrom !== 'order') {
        fleet.loseRun(run, 'minion restarted');
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

  /** Sends the start of a booked run until it is confirmed or can't be carried out. */
  async start(run: Run): Promise<void> {
    if (this.#starting.has(run)) {
      return;
    }
    this.#starting.add(run);
    const end = await this.#tryStart(run);
    this.#starting.delete(run);
    if (end === 'not-started' && run.phase === 'starting' && this.minion.runs.has(run)) {
      this.#context.fleet.withdrawRun(run);
    }
    this.#context.onChange();
  }

  /** Sends a stop until it is carried out. */
  async stop(order: StopOrder): Promise<void> {
    const key = formatOrder(order.task, order.number);
    if (this.#stopping.has(key)) {
      return;
    }
    this.#stopping.add(key);
    await this.#tryStop(order);
    this.#stopping.delete(key);
  }

  #applyListing(listing: MinionListing, askedAt: Instant, now: Instant): void {
    const {fleet, onListed} = this.#context;
    this.noteLife(listing.bornAt);
    this.minion.clock.observe(listing.clockMs, now);
    this.#noteDurations(listing, now);
    reviewListing(fleet, this.minion, listing, {askedAt, now, seenThrough: this.#seen});
    this.#seen = Math.max(this.#seen, ...listing.ended.map(({sequence}) => sequence));
    this.minion.isReported = true;
    this.#noteAnswer(now);
    fleet.settleEnds(this.minion);
    onListed(this.minion, now);
    this.#resume();
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
    const wasKnown = this.minion.clock.isKnown;
    this.#applyListing(answer.value, askedAt, now);
    onChange();
    if (answer.value.ended.length > 0) {
      await this.#acknowledge(journal);
    }
    return wasKnown || this.minion.clock.isKnown;
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
    if (!this.minion.clock.isKnown || this.minion.missedCalls > 0) {
      return 0;
    }
    const {fillingCpuMilli, servingRuns} = this.minion;
    if (this.#context.isPressed(this.minion)) {
      return PRESSED_WAIT_MS;
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
    const isSilent = this.minion.missedCalls > 0 || this.minion.isMarkedSilent;
    return isSilent ? undefined : this.minion.clock.grant(HOLD_MS, now);
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
    if (this.minion.isMarkedSilent) {
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
      this.minion.clock.observe(clockMs, clock.monotonic());
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
        this.minion.isReported &&
        !this.minion.isMarkedSilent;
      if (isNewlySilent) {
        this.minion.isMarkedSilent = true;
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
    this.minion.isReported = false;
    for (const run of [...this.minion.runs]) {
      this.#context.fleet.loseRun(run, 'address taken by another minion');
    }
  }

  /** Takes up starts and stops again that ended their tries while the minion did not answer. */
  #resume(): void {
    for (const run of this.minion.runs) {
      if (run.phase === 'starting') {
        void this.start(run);
      } else if (run.phase === 'stopping') {
        const {minion, number, task} = run;
        void this.stop({minion, number, reason: 'unknown', task});
      }
    }
  }

  async #tryStart(run: Run): Promise<StartEnd> {
    const {clock, findTicket, orders, tenure} = this.#context;
    const untilMs = this.#grantHold(clock.monotonic());
    for (let attempt = 0; attempt < ORDER_TRIES; attempt += 1) {
      if (untilMs === undefined || !this.#isActing() || run.phase !== 'starting') {
        return this.#uncertain.has(run) ? 'unknown' : 'not-started';
      }
      const answer = await orders.start(this.#target, {
        checkpoint: run.checkpoint,
        number: run.number,
        payload: run.step.job.request.payload,
        task: formatTaskName(run.task),
        ticket: findTicket(run),
        token: tenure.token,
        untilMs,
      });
      const now = clock.monotonic();
      if (answer.isOk()) {
        this.minion.clock.observe(answer.value.clockMs, now);
        run.confirmedAt ??= now;
        confirmPhase(run);
        return 'confirmed';
      }
      this.#noteFailure(answer.error, `start of ${describeRun(run).task}/${run.number}`);
      const end = this.#judgeStart(run, answer.error, now);
      if (end !== undefined) {
        return end;
      }
      await delay(ORDER_RETRY_MS);
    }
    return 'unknown';
  }

  /** What a failed start means; undefined when it is to be sent again. */
  #judgeStart(run: Run, {kind}: OrderFailure, now: Instant): StartEnd | undefined {
    if (kind === 'unanswered') {
      this.#uncertain.add(run);
      return undefined;
    }
    if (kind === 'late') {
      return undefined;
    }
    if (kind === 'outdated') {
      // The run has been there: the next listing tells how it ended.
      run.confirmedAt ??= now;
      run.phase = 'running';
      return 'unknown';
    }
    if (kind === 'unhealthy') {
      this.#context.fleet.distrust(this.minion, 'refuses starts', now);
    }
    if (kind === 'no-room' || kind === 'invalid') {
      run.step.avoid(run.task.index, this.minion.id);
    }
    if (kind === 'no-ticket') {
      this.#context.onTicketRejected(run);
    }
    if (this.#uncertain.has(run)) {
      this.#context.fleet.stopRun(run, 'unknown');
      return 'unknown';
    }
    return 'not-started';
  }

  async #tryStop({number, task}: StopOrder): Promise<void> {
    const {clock, orders, tenure} = this.#context;
    for (let attempt = 0; attempt < ORDER_TRIES && this.#isActing(); attempt += 1) {
      const answer = await orders.stop(this.#target, {
        number,
        task: formatTaskName(task),
        token: tenure.token,
      });
      if (answer.isOk()) {
        this.minion.clock.observe(answer.value.clockMs, clock.monotonic());
        this.#noteStopped(task, number, clock.monotonic());
        return;
      }
      this.#noteFailure(answer.error, `stop of ${formatOrder(task, number)}`);
      if (answer.error.kind !== 'unanswered') {
        return;
      }
      await delay(ORDER_RETRY_MS);
    }
  }

  /** A run that was never confirmed is over once its number is stopped and it is not listed. */
  #noteStopped(task: TaskRef, number: RunNumber, now: Instant): void {
    for (const run of this.minion.runs) {
      if (run.number === number && isSameTask(run.task, task)) {
        run.confirmedAt ??= now;
      }
    }
  }
}

/** A stop that was ordered while the start was under way stays in force. */
function confirmPhase(run: Run): void {
  if (run.phase === 'starting') {
    run.phase = 'running';
  }
}

function formatOrder(task: TaskRef, number: RunNumber): string {
  return `${formatTaskName(task)}/${number}`;
}

function isSameTask(a: TaskRef, b: TaskRef): boolean {
  return (
    a.job === b.job && a.occurrence === b.occurrence && a.step === b.step && a.index === b.index
  );
}
