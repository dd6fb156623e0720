/**
 * One minion within the process: runs under a hold, fencing tokens, numbered ends. It breaks no
 * promise of its own and records every start, so that tests can check what the owner did.
 */

import type {Checkpoint, RunNumber, RunOutcome, TaskRef} from '@nutmegproxy/jobs';
import type {
  HoldOrder,
  OrderAnswer,
  OrderFailure,
  OrderFailureKind,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionDescription, MinionListing, RunResult} from '@nutmegproxy/scheduling';
import type {Result} from 'neverthrow';

import {parseTaskName} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

/** How an emulated task behaves. */
export interface TaskBehaviour {
  /** Time in milliseconds that it takes; Infinity for a long-running task. */
  readonly durationMs: number;
  readonly outcome: RunOutcome;
}

/** A run as the emulated minion saw it. */
export interface RecordedRun {
  endedAtMs: number | undefined;
  readonly number: RunNumber;
  outcome: RunOutcome | undefined;
  readonly startedAtMs: number;
  readonly task: string;
}

interface LiveRun {
  readonly checkpoint: Checkpoint | undefined;
  readonly dueMs: number;
  readonly outcome: RunOutcome;
  readonly record: RecordedRun;
  readonly task: TaskRef;
}

export class EmulatedMinion {
  description: MinionDescription;
  readonly records: RecordedRun[] = [];
  /** Listings that were answered. */
  reports = 0;
  readonly #behave: (task: TaskRef, number: RunNumber) => TaskBehaviour;
  readonly #ends: RunResult[] = [];
  #holdEndMs = 0;
  readonly #live = new Map<string, LiveRun>();
  /** Highest number of a run that was stopped or has ended, by task. */
  readonly #usedNumbers = new Map<string, number>();
  #sequence = 0;
  #token = 0;

  constructor(
    description: MinionDescription,
    behave: (task: TaskRef, number: RunNumber) => TaskBehaviour,
  ) {
    this.description = description;
    this.#behave = behave;
  }

  /** Tasks that run now. */
  get live(): readonly string[] {
    return [...this.#live.keys()];
  }

  /** Ends what is due, and everything once the hold has lapsed. */
  advance(nowMs: number): void {
    for (const [name, run] of this.#live) {
      if (run.dueMs <= nowMs) {
        this.#end(name, run, run.outcome, run.dueMs);
      } else if (this.#holdEndMs <= nowMs) {
        this.#end(name, run, 'lapsed', this.#holdEndMs);
      }
    }
  }

  hold(order: HoldOrder, nowMs: number): Result<MinionListing, OrderFailure> {
    this.advance(nowMs);
    const refused = this.#checkToken(order.token, nowMs);
    if (refused !== undefined) {
      return err(refused);
    }
    this.#extend(order.untilMs);
    this.reports += 1;
    const kept = this.#ends.filter(({sequence}) => sequence > order.ackedThrough);
    this.#ends.splice(0, this.#ends.length, ...kept);
    return ok({
      bornAt: this.description.bornAt,
      clockMs: nowMs,
      ended: kept,
      running: [...this.#live.values()].map(({checkpoint, record, task}) => ({
        checkpoint,
        number: record.number,
        percent: 100,
        reading: undefined,
        task,
      })),
    });
  }

  /** Begins a new life: nothing runs and nothing is known of before. */
  restart(bornAt: number): void {
    for (const {record} of this.#live.values()) {
      record.endedAtMs ??= -1;
    }
    this.#live.clear();
    this.#ends.length = 0;
    this.#usedNumbers.clear();
    this.#sequence = 0;
    this.#token = 0;
    this.#holdEndMs = 0;
    this.description = {...this.description, bornAt};
  }

  start(order: StartOrder, nowMs: number): Result<OrderAnswer, OrderFailure> {
    this.advance(nowMs);
    const refused = this.#checkToken(order.token, nowMs);
    if (refused !== undefined) {
      return err(refused);
    }
    const known = this.#live.get(order.task);
    if (known?.record.number === order.number) {
      return ok({clockMs: nowMs});
    }
    if (order.untilMs <= nowMs) {
      return err(fail('late', nowMs));
    }
    this.#extend(order.untilMs);
    if (order.number <= (this.#usedNumbers.get(order.task) ?? 0)) {
      return err(fail('outdated', nowMs));
    }
    const task = parseTaskName(order.task);
    if (task === undefined) {
      return err(fail('invalid', nowMs));
    }
    const {durationMs, outcome} = this.#behave(task, order.number);
    const record: RecordedRun = {
      endedAtMs: undefined,
      number: order.number,
      outcome: undefined,
      startedAtMs: nowMs,
      task: order.task,
    };
    this.records.push(record);
    const {checkpoint} = order;
    this.#live.set(order.task, {checkpoint, dueMs: nowMs + durationMs, outcome, record, task});
    return ok({clockMs: nowMs});
  }

  stop(order: RunOrder, nowMs: number): Result<OrderAnswer, OrderFailure> {
    this.advance(nowMs);
    const refused = this.#checkToken(order.token, nowMs);
    if (refused !== undefined) {
      return err(refused);
    }
    const run = this.#live.get(order.task);
    if (run !== undefined && run.record.number <= order.number) {
      this.#end(order.task, run, 'stopped', nowMs);
    }
    this.#useNumber(order.task, order.number);
    return ok({clockMs: nowMs});
  }

  #checkToken(token: number, nowMs: number): OrderFailure | undefined {
    if (token < this.#token) {
      return fail('fenced', nowMs);
    }
    this.#token = token;
    return undefined;
  }

  #end(name: string, run: LiveRun, outcome: RunOutcome, atMs: number): void {
    this.#live.delete(name);
    this.#sequence += 1;
    this.#useNumber(name, run.record.number);
    run.record.endedAtMs = atMs;
    run.record.outcome = outcome;
    this.#ends.push({
      checkpoint: run.checkpoint,
      number: run.record.number,
      outcome,
      sequence: this.#sequence,
      task: run.task,
    });
  }

  #extend(untilMs: number | undefined): void {
    this.#holdEndMs = Math.max(this.#holdEndMs, untilMs ?? 0);
  }

  #useNumber(name: string, number: number): void {
    this.#usedNumbers.set(name, Math.max(number, this.#usedNumbers.get(name) ?? 0));
  }
}

function fail(kind: OrderFailureKind, clockMs: number): OrderFailure {
  return {clockMs, kind, message: kind};
}
