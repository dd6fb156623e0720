/**
 * Starts and stops on one minion. A start without an answer is sent again under the same number,
 * which the minion carries out once; a run that is no longer wanted is stopped under its number,
 * after which the minion rejects it even when the start arrives late.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, RunNumber, TaskRef} from '@nutmegproxy/jobs';
import type {MinionState, StopOrder} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';
import {describeRun} from '@nutmegproxy/scheduling';

import type {MinionTarget, OrderFailure} from './MinionOrders.ts';
import type {SessionContext} from './SessionContext.ts';

import {ORDER_ATTEMPTS, ORDER_RETRY_MS} from './OwnerConstants.ts';
import {isSameTask} from './OwnerUtils.ts';

/** What a session does for the orders that it carries. */
export interface OrderHooks {
  /** The hold that a start carries; undefined while the minion is granted none. */
  readonly grantLease: (now: Instant) => number | undefined;
  readonly handleFailure: (failure: OrderFailure, what: string) => void;
  readonly isActing: () => boolean;
}

/** Outcome of a start that ended its tries. */
type StartResult = 'confirmed' | 'not-started' | 'unknown';

export class RunOrders {
  readonly #context: SessionContext;
  readonly #hooks: OrderHooks;
  readonly #minion: MinionState;
  readonly #starting = new Set<Run>();
  readonly #stopping = new Set<string>();
  /** Runs of which a start got no answer, so that it may still be carried out. */
  readonly #unansweredStarts = new WeakSet<Run>();

  constructor(context: SessionContext, minion: MinionState, hooks: OrderHooks) {
    this.#context = context;
    this.#hooks = hooks;
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
    const result = await this.#tryStart(run);
    this.#starting.delete(run);
    if (result === 'not-started' && run.phase === 'starting' && this.#minion.runs.has(run)) {
      this.#context.fleet.withdrawRun(run);
    }
    this.#context.onChange();
  }

  /** Sends a stop until it is carried out. */
  async stop(order: StopOrder): Promise<void> {
    const key = formatRun(order.task, order.number);
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

  async #tryStart(run: Run): Promise<StartResult> {
    const {clock, findTicket, orders, ownership} = this.#context;
    const untilMs = this.#hooks.grantLease(clock.monotonic());
    for (let attempt = 0; attempt < ORDER_ATTEMPTS; attempt += 1) {
      if (untilMs === undefined || !this.#hooks.isActing() || run.phase !== 'starting') {
        return this.#unansweredStarts.has(run) ? 'unknown' : 'not-started';
      }
      const answer = await orders.start(this.#target, {
        checkpoint: run.checkpoint,
        number: run.number,
        payload: run.step.job.request.payload,
        task: formatTaskName(run.task),
        ticket: findTicket(run),
        token: ownership.token,
        untilMs,
      });
      const now = clock.monotonic();
      if (answer.isOk()) {
        this.#minion.clock.observe(answer.value.clockMs, now);
        run.confirmedAt ??= now;
        markRunning(run);
        return 'confirmed';
      }
      this.#hooks.handleFailure(answer.error, `start of ${describeRun(run).task}/${run.number}`);
      const result = this.#handleStartFailure(run, answer.error, now);
      if (result !== undefined) {
        return result;
      }
      await delay(ORDER_RETRY_MS);
    }
    return 'unknown';
  }

  /** What a failed start means; undefined when it is to be sent again. */
  #handleStartFailure(run: Run, {kind}: OrderFailure, now: Instant): StartResult | undefined {
    if (kind === 'unanswered') {
      this.#unansweredStarts.add(run);
      return undefined;
    }
    if (kind === 'late') {
      return undefined;
    }
    if (kind === 'outdated') {
      // The run has been there: the next listing tells how it ended.
      run.confirmedAt ??= now;
      markRunning(run);
      return 'unknown';
    }
    if (kind === 'unhealthy') {
      this.#context.fleet.distrust(this.#minion, 'refuses starts', now);
    }
    if (kind === 'no-room' || kind === 'invalid') {
      run.step.avoid(run.task.index, this.#minion.id);
    }
    if (kind === 'no-ticket') {
      this.#context.onTicketRejected(run);
    }
    if (this.#unansweredStarts.has(run)) {
      this.#context.fleet.stopRun(run, 'unknown');
      return 'unknown';
    }
    return 'not-started';
  }

  async #tryStop({number, task}: StopOrder): Promise<void> {
    const {clock, orders, ownership} = this.#context;
    for (let attempt = 0; attempt < ORDER_ATTEMPTS && this.#hooks.isActing(); attempt += 1) {
      const answer = await orders.stop(this.#target, {
        number,
        task: formatTaskName(task),
        token: ownership.token,
      });
      if (answer.isOk()) {
        this.#minion.clock.observe(answer.value.clockMs, clock.monotonic());
        this.#confirmStop(task, number, clock.monotonic());
        return;
      }
      this.#hooks.handleFailure(answer.error, `stop of ${formatRun(task, number)}`);
      if (answer.error.kind !== 'unanswered') {
        return;
      }
      await delay(ORDER_RETRY_MS);
    }
  }

  /** A run that was never confirmed is over once its number is stopped and it is not listed. */
  #confirmStop(task: TaskRef, number: RunNumber, now: Instant): void {
    for (const run of this.#minion.runs) {
      if (run.number === number && isSameTask(run.task, task)) {
        run.confirmedAt ??= now;
      }
    }
  }
}

/** A stop that was ordered while the start was under way stays in force. */
function markRunning(run: Run): void {
  if (run.phase === 'starting') {
    run.phase = 'running';
  }
}

function formatRun(task: TaskRef, number: RunNumber): string {
  return `${formatTaskName(task)}/${number}`;
}
