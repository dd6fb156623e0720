/**
 * Starts and stops on one minion. A start without an answer is sent again under the same number,
 * which the minion carries out once; a run that is no longer wanted is stopped under its number,
 * after which the minion rejects it even when the start arrives late.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';
import type {MinionState, StopRequest} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';
import {describeRun} from '@nutmegproxy/scheduling';

import type {MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {SessionContext} from './SessionContext.ts';

import {ORDER_RETRY_MS, ORDER_TRIES} from './OwnerConstants.ts';
import {isSameTask} from './OwnerUtils.ts';

/** What a session does for the orders that it carries. */
export interface OrderLink {
  /** The hold that a start carries; undefined while the minion is granted none. */
  readonly grantHold: (now: Instant) => number | undefined;
  readonly isActing: () => boolean;
  readonly noteFailure: (failure: OrderFailure, what: string) => void;
}

/** Outcome of a start that ended its tries. */
type StartEnd = 'confirmed' | 'not-started' | 'unknown';

export class RunOrders {
  readonly #context: SessionContext;
  readonly #link: OrderLink;
  readonly #minion: MinionState;
  readonly #starting = new Set<Run>();
  readonly #stopping = new Set<string>();
  /** Runs of which a start got no answer, so that it may still be carried out. */
  readonly #uncertain = new WeakSet<Run>();

  constructor(context: SessionContext, minion: MinionState, link: OrderLink) {
    this.#context = context;
    this.#link = link;
    this.#minion = minion;
  }

  /** Takes up starts and stops again that ended their tries while the minion did not answer. */
  resume(): void {
    for (const run of this.#minion.runs) {
      if (run.phase === 'starting') {
        void this.start(run);
      } else if (run.phase === 'stopping') {
        const {minion, number, task} = run;
        void this.stop({minion, number, reason: 'unknown', task});
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
    if (end === 'not-started' && run.phase === 'starting' && this.#minion.runs.has(run)) {
      this.#context.fleet.discardRun(run);
    }
    this.#context.onChange();
  }

  /** Sends a stop until it is carried out. */
  async stop(order: StopRequest): Promise<void> {
    const key = formatOrder(order.task, order.number);
    if (this.#stopping.has(key)) {
      return;
    }
    this.#stopping.add(key);
    await this.#tryStop(order);
    this.#stopping.delete(key);
  }

  get #target(): MinionTarget {
    return {address: this.#minion.description.address, id: this.#minion.id};
  }

  async #tryStart(run: Run): Promise<StartEnd> {
    const {clock, findTicket, orders, tenure} = this.#context;
    const untilMs = this.#link.grantHold(clock.monotonic());
    for (let attempt = 0; attempt < ORDER_TRIES; attempt += 1) {
      if (untilMs === undefined || !this.#link.isActing() || run.phase !== 'starting') {
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
        this.#minion.leaseClock.observe(answer.value.clockMs, now);
        run.confirmedAt ??= now;
        confirmPhase(run);
        return 'confirmed';
      }
      this.#link.noteFailure(answer.error, `start of ${describeRun(run).task}/${run.number}`);
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
      confirmPhase(run);
      return 'unknown';
    }
    if (kind === 'unhealthy') {
      this.#context.fleet.quarantineMinion(this.#minion, 'refuses starts', now);
    }
    if (kind === 'no-room' || kind === 'invalid') {
      run.step.avoid(run.task.index, this.#minion.id);
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

  async #tryStop({number, task}: StopRequest): Promise<void> {
    const {clock, orders, tenure} = this.#context;
    for (let attempt = 0; attempt < ORDER_TRIES && this.#link.isActing(); attempt += 1) {
      const answer = await orders.stop(this.#target, {
        number,
        task: formatTaskName(task),
        token: tenure.token,
      });
      if (answer.isOk()) {
        this.#minion.leaseClock.observe(answer.value.clockMs, clock.monotonic());
        this.#noteStopped(task, number, clock.monotonic());
        return;
      }
      this.#link.noteFailure(answer.error, `stop of ${formatOrder(task, number)}`);
      if (answer.error.kind !== 'unanswered') {
        return;
      }
      await delay(ORDER_RETRY_MS);
    }
  }

  /** A run that was never confirmed is over once its number is stopped and it is not listed. */
  #noteStopped(task: TaskRef, number: RunNumber, now: Instant): void {
    for (const run of this.#minion.runs) {
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
