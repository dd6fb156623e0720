/**
 * Sends starts and stops to one minion. A start without a response is retried with the same run
 * number, so that the minion carries it out once. A stop with that number makes the minion reject a
 * start that arrives later.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';
import type {MinionState, StopRequest} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {formatRunName, formatTaskName} from '@nutmegproxy/jobs';
import {describeRun, isDeferrable, quarantineMinion} from '@nutmegproxy/scheduling';

import type {MinionOrders, MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {SessionContext} from './SessionContext.ts';
import type {StartRequest} from './StartLimiter.ts';

import {
  MAX_UNANSWERED_STARTS,
  ORDER_ATTEMPTS,
  ORDER_RETRY_MS,
  TRIAL_RECORD_TIMEOUT_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {isSameTask} from './OwnerUtils.ts';

/** Functions of the session that sends the orders. */
export interface OrderHooks {
  /** Returns the lease expiry that a start grants; undefined while the minion is granted none. */
  readonly grantLease: (now: Instant) => number | undefined;
  readonly handleFailure: (failure: OrderFailure, what: string) => void;
  readonly isActing: () => boolean;
}

/** Outcome of a start after its last attempt. */
type StartResult = 'confirmed' | 'not-started' | 'unknown';

interface SentStart {
  readonly answer: ReturnType<MinionOrders['start']>;
  readonly kind: 'sent';
  readonly sentAt: Instant;
}

interface UnsentStart {
  readonly kind: 'unsent';
  readonly result: StartResult;
}

export class RunOrders {
  readonly #context: SessionContext;
  readonly #hooks: OrderHooks;
  readonly #minion: MinionState;
  readonly #starting = new Set<Run>();
  readonly #stopping = new Set<string>();
  /** Starts without a response, by run: the minion may still carry one out. */
  readonly #unansweredStarts = new WeakMap<Run, number>();

  constructor(context: SessionContext, minion: MinionState, hooks: OrderHooks) {
    this.#context = context;
    this.#hooks = hooks;
    this.#minion = minion;
  }

  /** Retries starts and stops whose attempts were used up while the minion did not respond. */
  resume(): void {
    for (const run of this.#minion.runs) {
      if (run.phase === 'starting' && this.#isAbandoned(run)) {
        this.#context.fleet.stopRun(run, 'evacuated');
      } else if (run.phase === 'starting' && this.#isUnreceived(run)) {
        // Another minion may receive its start, and this one rejects it once the stop has arrived.
        run.step.avoid(run.task.index, this.#minion.id, this.#context.clock.monotonic());
        this.#context.fleet.stopRun(run, 'unknown');
      } else if (run.phase === 'starting') {
        void this.start(run);
      } else if (run.phase === 'stopping') {
        const {minion, number, task} = run;
        void this.stop({minion, number, reason: 'unknown', task});
      }
    }
  }

  /** Sends the start of a reserved run until the minion confirms or rejects it or the attempts are used up. */
  async start(run: Run): Promise<void> {
    if (this.#starting.has(run)) {
      return;
    }
    this.#starting.add(run);
    const isOnTrial = run.step.crashes.trials.get(run.task.index)?.run === run.number;
    const isRecorded = !isOnTrial || (await this.#awaitTrialRecord(run));
    const result = isRecorded ? await this.#tryStart(run) : 'not-started';
    this.#starting.delete(run);
    if (result === 'not-started' && run.phase === 'starting' && this.#minion.runs.has(run)) {
      this.#context.fleet.discardRun(run);
      this.#stopGang(run);
    }
    this.#context.onChange();
  }

  /** Sends a stop until the minion responds or the attempts are used up. */
  async stop(request: StopRequest): Promise<void> {
    const key = formatRunName(request.task, request.number);
    if (this.#stopping.has(key)) {
      return;
    }
    this.#stopping.add(key);
    await this.#tryStop(request);
    this.#stopping.delete(key);
  }

  /** Whether a start without a response is not sent again, since its minion drains. */
  #isAbandoned(run: Run): boolean {
    const {isDraining} = this.#minion.description;
    return isDraining && this.#unansweredStarts.has(run) && !this.#starting.has(run);
  }

  /** Whether a start is not sent again, since its minion responds to polls but to none of the starts. */
  #isUnreceived(run: Run): boolean {
    const starts = this.#unansweredStarts.get(run) ?? 0;
    return starts >= MAX_UNANSWERED_STARTS && !this.#starting.has(run);
  }

  /**
   * Waits until a start that may crash the minion is stored, since the next owner has to know of it;
   * false when the store does not respond, so that the minion is free again.
   */
  async #awaitTrialRecord(run: Run): Promise<boolean> {
    const {events, journal} = this.#context;
    const stored = journal.flush().then(() => true);
    const isStored = await Promise.race([stored, delay(TRIAL_RECORD_TIMEOUT_MS).then(() => false)]);
    if (!isStored) {
      events.record(OWNER_EVENTS.TRIAL_NOT_STORED, describeRun(run));
    }
    return isStored;
  }

  /** Returns how urgent a start is. */
  #describeRequest({isAwaited, step}: Run): StartRequest {
    return {
      gang: step.shape.gang ? step : undefined,
      isAwaited,
      isUrgent: !isDeferrable(this.#context.fleet, step),
    };
  }

  get #target(): MinionTarget {
    const {address, dataCentre, id} = this.#minion.description;
    return {address, dataCentre, id};
  }

  async #tryStart(run: Run): Promise<StartResult> {
    const {clock, load, startLimiter, work} = this.#context;
    for (let attempt = 0; attempt < ORDER_ATTEMPTS; attempt += 1) {
      await startLimiter.enter(this.#describeRequest(run));
      const sent = await work.run('starts', () => this.#sendStart(run, clock.monotonic()));
      if (sent.kind === 'unsent') {
        startLimiter.leaveUnsent();
        return sent.result;
      }
      const {sentAt} = sent;
      const answer = await sent.answer;
      const now = clock.monotonic();
      startLimiter.leave(now - sentAt, now);
      if (answer.isOk()) {
        const {leaseClock} = this.#minion;
        run.isClockConfirmed = leaseClock.isContinuedBy(answer.value.clockMs, sentAt);
        leaseClock.observe(answer.value.clockMs, now);
        run.confirmedAt ??= now;
        run.step.job.hasBegun = true;
        load.recordConfirmed(run, now);
        this.#context.fleet.startDelay.recordConfirmed(run, now);
        markRunning(run);
        return 'confirmed';
      }
      this.#hooks.handleFailure(answer.error, `start of ${formatRunName(run.task, run.number)}`);
      const result = this.#handleStartFailure(run, answer.error, now);
      if (result !== undefined) {
        return result;
      }
      await delay(ORDER_RETRY_MS);
    }
    return 'unknown';
  }

  /** Sends a start unless that is not allowed any more. */
  #sendStart(run: Run, now: Instant): SentStart | UnsentStart {
    const {findTicket, orders, ownership} = this.#context;
    const untilMs = this.#hooks.grantLease(now);
    if (untilMs === undefined || !this.#canSend(run, now)) {
      const result = this.#unansweredStarts.has(run) ? 'unknown' : 'not-started';
      return {kind: 'unsent', result};
    }
    if (this.#minion.isOverCapacity) {
      return {kind: 'unsent', result: this.#giveUp(run)};
    }
    run.sentAt = now;
    const answer = orders.start(this.#target, {
      checkpoint: run.checkpoint,
      number: run.number,
      payload: run.step.job.request.payload,
      task: formatTaskName(run.task),
      ticket: findTicket(run),
      token: ownership.token,
      untilMs,
    });
    return {answer, kind: 'sent', sentAt: now};
  }

  /**
   * Whether the start may still be sent; while it waited, its run may have been given up, and its
   * minion may have begun to drain, also unseen.
   */
  #canSend(run: Run, now: Instant): boolean {
    return (
      this.#hooks.isActing() &&
      run.phase === 'starting' &&
      this.#minion.runs.has(run) &&
      !this.#minion.description.isDraining &&
      !this.#context.isDirectoryOutdated(now)
    );
  }

  /**
   * Gives up a start to a minion that has shrunk since the run was placed. A start that got no
   * response may still be carried out, so it is stopped.
   */
  #giveUp(run: Run): StartResult {
    const {events, fleet} = this.#context;
    const wasSent = this.#unansweredStarts.has(run);
    const {capacity} = this.#minion.description;
    events.record(OWNER_EVENTS.START_GIVEN_UP, {
      ...describeRun(run),
      cpuMilli: capacity.cpuMilli,
      reason: 'over-capacity',
      reservedCpuMilli: this.#minion.reserved.cpuMilli,
      wasSent,
    });
    if (wasSent) {
      fleet.stopRun(run, 'over-capacity');
    }
    return wasSent ? 'unknown' : 'not-started';
  }

  /** Stops the other members of a gang of which one did not start, since they would wait for it in vain. */
  #stopGang({step}: Run): void {
    if (step.shape.gang) {
      for (const member of step.runs()) {
        this.#context.fleet.stopRun(member, 'gang-broken');
      }
    }
  }

  /** Handles a failed start; returns undefined when it has to be sent again. */
  #handleStartFailure(run: Run, {kind}: OrderFailure, now: Instant): StartResult | undefined {
    if (kind === 'unanswered') {
      this.#unansweredStarts.set(run, (this.#unansweredStarts.get(run) ?? 0) + 1);
      run.unansweredAt = run.sentAt;
      return undefined;
    }
    if (kind === 'late') {
      return undefined;
    }
    if (kind === 'outdated') {
      // The minion has had the run before; the next poll reports its result.
      run.confirmedAt ??= now;
      markRunning(run);
      return 'unknown';
    }
    if (kind === 'unhealthy') {
      quarantineMinion(this.#context.fleet, this.#minion, 'refuses starts', now);
    }
    if (kind === 'no-room' || kind === 'invalid') {
      run.step.avoid(run.task.index, this.#minion.id, now);
    }
    if (kind === 'no-ticket') {
      this.#context.onTicketRejected(run);
      if (this.#context.fleet.resolveQueuePolicy(run.step.job).advice === undefined) {
        // Nothing is asked for a ticket, so the next start would be rejected at once too.
        run.step.avoid(run.task.index, this.#minion.id, now);
      }
    }
    if (this.#unansweredStarts.has(run)) {
      this.#context.fleet.stopRun(run, 'unknown');
      return 'unknown';
    }
    return 'not-started';
  }

  async #tryStop({number, task}: StopRequest): Promise<void> {
    const {clock, orders, ownership, work} = this.#context;
    const order = {number, task: formatTaskName(task), token: ownership.token};
    for (let attempt = 0; attempt < ORDER_ATTEMPTS && this.#hooks.isActing(); attempt += 1) {
      const sent = await work.run('stops', () =>
        this.#hooks.isActing() ? {answer: orders.stop(this.#target, order)} : undefined,
      );
      if (sent === undefined) {
        return;
      }
      const answer = await sent.answer;
      if (answer.isOk()) {
        this.#minion.leaseClock.observe(answer.value.clockMs, clock.monotonic());
        this.#confirmStop(task, number, clock.monotonic());
        return;
      }
      this.#hooks.handleFailure(answer.error, `stop of ${formatRunName(task, number)}`);
      if (answer.error.kind !== 'unanswered') {
        return;
      }
      await delay(ORDER_RETRY_MS);
    }
  }

  /** Confirms a stopped run, so that it is over once a later poll no longer lists it. */
  #confirmStop(task: TaskRef, number: RunNumber, now: Instant): void {
    for (const run of this.#minion.runs) {
      if (run.number === number && isSameTask(run.task, task)) {
        run.confirmedAt ??= now;
      }
    }
  }
}

/** Marks a starting run as running; a run that was meanwhile ordered to stop stays `stopping`. */
function markRunning(run: Run): void {
  if (run.phase === 'starting') {
    run.phase = 'running';
  }
}
