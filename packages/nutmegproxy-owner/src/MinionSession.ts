/** Polls one minion: renews its lease and lists its live runs and the results of ended ones. */

import type {EventFields, Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionListing, MinionState, RunResult, StopRequest} from '@nutmegproxy/scheduling';
import type {Result, ResultAsync} from 'neverthrow';

import {after, BrokenInvariant, delay} from '@nutmegproxy/core';
import {
  findLeavesInMs,
  reconcileListing,
  recordMinionCrash,
  recordReplacement,
} from '@nutmegproxy/scheduling';

import type {MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {PollLimiter} from './PollLimiter.ts';
import type {SessionContext} from './SessionContext.ts';

import {ListedResults} from './ListedResults.ts';
import {
  LEASE_AFTER_DRAIN_MS,
  OMISSION_LOG_INTERVAL_MS,
  POLL_RETRY_MS,
  SILENT_AFTER_MISSED_CALLS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {isSameTask} from './OwnerUtils.ts';
import {choosePollDelayMs, choosePollDue, choosePollWaitMs, isRenewalDue} from './PollPacing.ts';
import {RunOrders} from './RunOrders.ts';

/** Polls until a lease was renewed: the first one only reads the minion's clock. */
const FIRST_POLLS = 2;

/** A poll with what the session knew when it was sent. */
interface SentPoll {
  readonly answer: ResultAsync<MinionListing, OrderFailure>;
  /** Start time of the minion that the directory alone reported. */
  readonly reportedBornAt: number | undefined;
  readonly requestedAt: Instant;
  readonly results: ListedResults;
}

/** A poll whose response was handled. */
interface HandledPoll {
  readonly answer: Result<MinionListing, OrderFailure>;
  /** Whether the minion's clock had been read before. */
  readonly hadReading: boolean;
  /** Whether the minion has responded, to a session that is open. */
  readonly isAnswered: boolean;
}

export class MinionSession {
  readonly minion: MinionState;
  #bornAt: number | undefined;
  readonly #context: SessionContext;
  /** Start time that the directory reported last and the minion denied: another writer's. */
  #deniedBornAt: number | undefined;
  /** Start time of an incarnation that only the directory reports; the next poll decides whether it is. */
  #reportedBornAt: number | undefined;
  #omissionLoggedAt = -Infinity;
  /** Those of the present incarnation; what was begun for the one before still concerns only its own. */
  #results = new ListedResults();
  #stopped = false;
  readonly #runOrders: RunOrders;
  #sentPolls = 0;

  constructor(context: SessionContext, minion: MinionState) {
    this.#context = context;
    this.minion = minion;
    this.#runOrders = new RunOrders(context, minion, {
      grantLease: (now) => (minion.isRegistered ? this.#grantLease(now) : undefined),
      handleFailure: (failure, what) => {
        this.#handleFailure(failure, what);
      },
      isActing: () => this.#isActing(),
    });
    this.#bornAt = minion.description.bornAt;
    minion.leaseClock.assumeEstablished(context.clock.wall() - (this.#bornAt ?? Infinity));
  }

  /** Event fields that identify the minion and say where it is. */
  get eventFields(): EventFields {
    const {address, dataCentre, id, service} = this.minion.description;
    return {address, dataCentre, minion: id, service};
  }

  /** Results that are applied but may not be stored yet; the minion lists them again. */
  get unstoredResults(): readonly RunResult[] {
    return this.#results.unstored;
  }

  get #target(): MinionTarget {
    const {address, dataCentre, id} = this.minion.description;
    return {address, dataCentre, id};
  }

  /** Closes the session; orders in flight complete or time out by themselves. */
  close(): void {
    this.#stopped = true;
    this.#context.orders.disconnect(this.#target);
  }

  /**
   * Detects a new incarnation of the minion by the start time in its entry. The entry may be another
   * writer's, so a minion that responds is asked first. It may also be older than a listing, so an
   * earlier start time is ignored, and so is one that the minion has denied.
   */
  observeEntry(bornAt: number | undefined): void {
    if (bornAt === this.#deniedBornAt) {
      return;
    }
    const isLater = bornAt !== undefined && bornAt > (this.#bornAt ?? Infinity);
    if (isLater && this.minion.hasReported && this.minion.missedCalls === 0) {
      this.#reportedBornAt = bornAt;
    } else {
      this.#observeIncarnation(bornAt);
    }
  }

  /**
   * Detects a new incarnation by the start time in the response to a poll. `reportedBornAt` is the one
   * that the directory alone had reported when the poll was sent.
   */
  #observeListing(bornAt: number | undefined, reportedBornAt: number | undefined): void {
    const isDecisive = reportedBornAt !== undefined && reportedBornAt === this.#reportedBornAt;
    if (isDecisive && bornAt !== undefined && bornAt <= (this.#bornAt ?? -Infinity)) {
      this.#deniedBornAt = reportedBornAt;
      this.#reportedBornAt = undefined;
      const fields = {bornAt, entryBornAt: reportedBornAt, minion: this.minion.id};
      this.#context.events.record(OWNER_EVENTS.RESTART_DENIED, fields);
    }
    const formerBornAt = this.minion.listedBornAt;
    if (bornAt !== undefined && formerBornAt !== undefined && bornAt !== formerBornAt) {
      // A new incarnation whose clock was set back has an earlier start time.
      this.#results = new ListedResults();
    }
    this.minion.listedBornAt = bornAt;
    this.#observeIncarnation(bornAt ?? (isDecisive ? reportedBornAt : undefined));
  }

  /** Only the first report of a later start time means that the former runs are over. */
  #observeIncarnation(bornAt: number | undefined): void {
    const former = this.#bornAt;
    if (bornAt === undefined || bornAt <= (former ?? -Infinity)) {
      return;
    }
    this.#bornAt = bornAt;
    this.#reportedBornAt = undefined;
    this.minion.bornAt = bornAt;
    if (former !== undefined) {
      this.#handleRestart(bornAt);
    }
  }

  /** Handles a new incarnation of the minion: no run of the former one is live any more. */
  #handleRestart(bornAt: number): void {
    const {clock, events, fleet, onRunsLost, ownership} = this.#context;
    events.record(OWNER_EVENTS.MINION_RESTARTED, {bornAt, minion: this.minion.id});
    this.#results = new ListedResults();
    this.minion.leaseClock.reset(after(clock.monotonic(), ownership.leaseTimes.maxUncappedLeaseMs));
    fleet.clearUnknownResults(this.minion);
    recordMinionCrash(fleet, this.minion, clock.monotonic());
    // A start that was sent meanwhile may have reached the new incarnation, and so may a former
    // owner's start that only its record names; the next poll decides.
    const lost = this.#loseRuns(
      'minion restarted',
      ({knownFrom}) => this.minion.hasReported && knownFrom !== 'order',
    );
    onRunsLost(this.minion, lost);
  }

  /** Ends what ran on a minion that is gone for good, whatever leases it had. */
  endLife(): void {
    this.#endIncarnation('minion gone');
    this.minion.leaseClock.end();
  }

  /** Polls the minion until the session is closed. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const canContinue = await this.#poll().catch((error: unknown) => this.#recover(error));
      if (!canContinue) {
        await delay(POLL_RETRY_MS);
      }
    }
  }

  /** Sends the start of a reserved run. */
  start(run: Run): Promise<void> {
    return this.#runOrders.start(run);
  }

  /** Sends a stop. */
  stop(request: StopRequest): Promise<void> {
    return this.#runOrders.stop(request);
  }

  /**
   * Keeps an unexpected error of one minion's session from ending the process; the next poll repeats
   * what was left undone. A broken invariant still ends it.
   */
  #recover(error: unknown): false {
    if (error instanceof BrokenInvariant) {
      throw error;
    }
    const message = error instanceof Error ? error.message : String(error);
    this.#context.events.record(OWNER_EVENTS.SESSION_FAILED, {...this.eventFields, message});
    return false;
  }

  #applyListing(listing: MinionListing, requestedAt: Instant, now: Instant): void {
    const {fleet, onListed} = this.#context;
    this.#recordOmission(listing, now);
    this.#recordDurations(listing, now);
    reconcileListing(fleet, this.minion, listing, {
      appliedThrough: this.#results.appliedThrough,
      now,
      requestedAt,
    });
    this.#results.recordApplied(listing.ended);
    this.minion.hasReported = true;
    this.#recordResponse(now);
    if (!listing.mayOmitResults) {
      this.minion.areRunsKnown = true;
      fleet.clearUnknownResults(this.minion);
    }
    onListed(this.minion, now);
    this.#runOrders.resume();
  }

  /** Polls once; false when a pause has to follow. */
  async #poll(): Promise<boolean> {
    const {clock, journal} = this.#context;
    const limiter = this.#findPollLimiter();
    const isFirst = this.#sentPolls < FIRST_POLLS;
    await limiter.enter(choosePollDue(this.minion, {isFirst}, clock.monotonic()));
    const outcome = await this.#exchangePoll(limiter, isFirst).finally(() => {
      limiter.leave();
    });
    if (outcome === undefined) {
      return false;
    }
    const {answer, hadReading, isAnswered} = outcome;
    if (this.#stopped) {
      return true;
    }
    if (!isAnswered) {
      return false;
    }
    const answeredAt = clock.monotonic();
    if (answer.isOk() && answer.value.ended.length > 0) {
      await this.#results.awaitStored(journal);
    }
    if (!this.minion.isRegistered && this.minion.areRunsKnown) {
      await this.#context.recordUse(this.minion);
    }
    await this.#awaitNextPoll(answeredAt);
    return hadReading || this.minion.leaseClock.hasReading;
  }

  /** Sends a poll and handles its response; returns undefined when the ownership has ended. */
  async #exchangePoll(limiter: PollLimiter, isFirst: boolean): Promise<HandledPoll | undefined> {
    const {clock, work} = this.#context;
    const isUrgent = isFirst || isRenewalDue(this.minion, clock.monotonic());
    const sent = await work.run('polls', () => this.#sendPoll(limiter, clock.monotonic()), {
      isUrgent,
    });
    if (sent === undefined) {
      return undefined;
    }
    const answer = await sent.answer;
    const receivedAt = clock.monotonic();
    limiter.recordResponse();
    const hadReading = this.minion.leaseClock.hasReading;
    const isAnswered = await work.run(
      'listings',
      () => this.#handleAnswer(sent, answer, receivedAt, clock.monotonic()),
      {isUrgent},
    );
    return {answer, hadReading, isAnswered};
  }

  #findPollLimiter(): PollLimiter {
    const {answering, silent} = this.#context.pollLimiters;
    return this.minion.missedCalls > 0 ? silent : answering;
  }

  /** Sends a poll; returns undefined when the ownership has ended. */
  #sendPoll(limiter: PollLimiter, requestedAt: Instant): SentPoll | undefined {
    const {clock, fleet, load, orders, ownership} = this.#context;
    if (this.#stopped) {
      return undefined;
    }
    if (ownership.state(requestedAt, clock.wall()) === 'over') {
      this.#context.onFenced();
      return undefined;
    }
    load.recordPoll();
    this.#sentPolls += 1;
    const reportedBornAt = this.#reportedBornAt;
    const results = this.#results;
    const mayHaveRestarted = reportedBornAt !== undefined || this.minion.missedCalls > 0;
    const answer = orders.poll(this.#target, {
      // A new incarnation numbers its results anew, and would drop those that this one acknowledges.
      ackedThrough: mayHaveRestarted ? 0 : results.acknowledgedThrough,
      token: ownership.token,
      untilMs: this.#grantLease(requestedAt),
      waitMs: limiter.shortenWait(this.#chooseWaitMs(requestedAt), fleet.minions.size),
    });
    return {answer, reportedBornAt, requestedAt, results};
  }

  /** Handles the response to a poll; false when there was none or the session is closed. */
  #handleAnswer(
    {reportedBornAt, requestedAt, results}: SentPoll,
    answer: Result<MinionListing, OrderFailure>,
    receivedAt: Instant,
    now: Instant,
  ): boolean {
    if (this.#stopped) {
      return false;
    }
    if (answer.isErr()) {
      // Nothing speaks against a restart that the directory reports.
      this.#observeIncarnation(this.#reportedBornAt);
      this.#handleFailure(answer.error, 'hold', true);
      return false;
    }
    this.#observeListing(answer.value.bornAt, reportedBornAt);
    this.minion.leaseClock.observe(answer.value.clockMs, receivedAt);
    this.#applyListing(answer.value, requestedAt, now);
    if (results !== this.#results && (answer.value.bornAt ?? 0) < (this.#bornAt ?? 0)) {
      // The listing was on its way when a restart became known; its numbers are the former ones.
      this.#results = new ListedResults();
    }
    this.#context.onChange();
    return true;
  }

  #chooseWaitMs(now: Instant): number {
    const waitMs = choosePollWaitMs(this.minion, {
      isNearTarget: this.#context.isNearTarget(this.minion),
      overdueInMs: this.#context.overdueInMs(this.minion, now),
    });
    return this.minion.isRegistered && this.#reportedBornAt === undefined ? waitMs : 0;
  }

  /** Waits until the next poll is due, counted from the last response. */
  async #awaitNextPoll(answeredAt: Instant): Promise<void> {
    const {clock, fleet} = this.#context;
    const delayMs = choosePollDelayMs(this.minion, fleet.minions.size);
    const remainingMs = delayMs - (clock.monotonic() - answeredAt);
    if (remainingMs > 0) {
      await delay(remainingMs);
    }
  }

  /**
   * Returns the expiry that a poll or start grants, on the minion's clock. A silent minion is
   * granted none, so that its lease expires in bounded time, and neither is one of whose lease a
   * record may name the expiry.
   */
  #grantLease(now: Instant): number | undefined {
    const {bounds, clock, ownership} = this.#context;
    const isSilent = this.minion.missedCalls > 0 || this.minion.isRecordedUnreachable;
    if (isSilent || !this.#context.permitRenewal(this.minion)) {
      return undefined;
    }
    ownership.recordLeaseGrant();
    const longestMs = ownership.maxMinionLeaseMs(now, clock.wall());
    // What a minion that has left may run is held for as long.
    const leavesInMs = findLeavesInMs(this.minion, bounds, now) ?? Infinity;
    const neededMs = Math.max(0, leavesInMs) + LEASE_AFTER_DRAIN_MS;
    const leaseMs = Math.min(ownership.leaseTimes.minionLeaseMs, neededMs, longestMs);
    return this.minion.leaseClock.grantLease(leaseMs, now);
  }

  #isActing(): boolean {
    const {clock, ownership} = this.#context;
    return !this.#stopped && ownership.state(clock.monotonic(), clock.wall()) !== 'over';
  }

  #recordResponse(now: Instant): void {
    if (this.minion.missedCalls > 0 || this.minion.lastAnswerAt === undefined) {
      this.#context.events.record(OWNER_EVENTS.MINION_REACHED, this.eventFields);
    }
    this.minion.lastAnswerAt = now;
    this.minion.missedCalls = 0;
    this.minion.silentSince = undefined;
    this.minion.mayBeCutOff = false;
    if (this.minion.isRecordedUnreachable) {
      this.#context.onAnswering(this.minion);
    }
  }

  /** Logs that a minion begins to omit results, at most once in an interval. */
  #recordOmission({ended, mayOmitResults, running}: MinionListing, now: Instant): void {
    const begins = mayOmitResults && !this.minion.mayOmitResults;
    if (begins && now - this.#omissionLoggedAt >= OMISSION_LOG_INTERVAL_MS) {
      this.#omissionLoggedAt = now;
      this.#context.events.record(OWNER_EVENTS.RESULTS_OMITTED, {
        acknowledgedThrough: this.#results.acknowledgedThrough,
        listed: ended.length,
        minion: this.minion.id,
        running: running.length,
      });
    }
  }

  #recordDurations({ended}: MinionListing, now: Instant): void {
    for (const {number, outcome, sequence, task} of ended) {
      if (sequence <= this.#results.appliedThrough || outcome !== 'done') {
        continue;
      }
      const run = [...this.minion.runs].find(
        (each) => each.number === number && isSameTask(each.task, task),
      );
      if (run !== undefined && run.step.findCheckpoint(task.index) === undefined) {
        this.#context.onRunDone(run, now - run.sentAt);
      }
    }
  }

  /** A poll that a minion rejects as unhealthy has not renewed its lease, so it counts as missed. */
  #handleFailure(failure: OrderFailure, what: string, isPoll = false): void {
    const {clockMs, isTimeout = false, kind, message} = failure;
    const {clock, events, onFenced, onSilent} = this.#context;
    const fields = {...this.eventFields, message, what};
    // A minion that rejects a call as unhealthy has not stored the token, so a former owner may still
    // renew its lease.
    if (clockMs !== undefined && kind !== 'unhealthy') {
      this.minion.leaseClock.observe(clockMs, clock.monotonic());
    }
    if (kind === 'fenced') {
      onFenced();
      return;
    }
    if (kind === 'unanswered' || (kind === 'unhealthy' && isPoll)) {
      this.minion.missedCalls += 1;
      this.minion.silentSince ??= clock.monotonic();
      if (this.minion.missedCalls === 1) {
        this.minion.mayBeCutOff = isTimeout || kind === 'unhealthy';
        events.record(OWNER_EVENTS.MINION_UNREACHABLE, fields);
      }
      const isSilent = this.minion.missedCalls >= SILENT_AFTER_MISSED_CALLS;
      if (isSilent && !this.minion.isRecordedUnreachable && !this.#stopped) {
        onSilent(this.minion);
      }
      return;
    }
    events.record(OWNER_EVENTS.ORDER_FAILED, {...fields, kind});
    if (kind === 'other-life') {
      const lost = this.#endIncarnation('address taken by another minion');
      this.#context.onRunsLost(this.minion, lost);
      if (!this.minion.isRecordedUnreachable && !this.#stopped) {
        onSilent(this.minion);
      }
    }
  }

  /** Handles that no run of the minion is live any more; returns those that were or may have been. */
  #endIncarnation(reason: string): readonly Run[] {
    const {clock, fleet} = this.#context;
    fleet.clearUnknownResults(this.minion);
    recordReplacement(fleet, this.minion, clock.monotonic());
    this.#results = new ListedResults();
    this.minion.areRunsKnown = true;
    this.minion.hasReported = false;
    this.minion.mayOmitResults = false;
    return this.#loseRuns(reason, () => true);
  }

  /** Handles that those runs are over that `isOver` returns true for, and returns them. */
  #loseRuns(reason: string, isOver: (run: Run) => boolean): readonly Run[] {
    const lost = [...this.minion.runs, ...this.minion.endedRuns].filter(isOver);
    for (const run of lost) {
      this.#context.fleet.recordLostRun(run, reason);
    }
    return lost;
  }
}
