/**
 * An in-process minion with a lease, fencing tokens and numbered results. It follows the protocol
 * without faults of its own and records every start, so that tests can check the owner's orders.
 */

import type {Checkpoint, RunNumber, RunOutcome, TaskRef} from '@nutmegproxy/jobs';
import type {
  OrderAnswer,
  OrderFailure,
  OrderFailureKind,
  PollOrder,
  RunOrder,
  StartOrder,
} from '@nutmegproxy/owner';
import type {MinionDescription, MinionListing, RunResult} from '@nutmegproxy/scheduling';
import type {Result} from 'neverthrow';

import {parseTaskName} from '@nutmegproxy/jobs';
import {err, ok} from 'neverthrow';

import type {MinionBounds} from './MinionBounds.ts';

import {EmulatedClock} from './EmulatedClock.ts';
import {DEFAULT_MINION_BOUNDS} from './MinionBounds.ts';

/** Largest number of results in one listing. */
const RESULTS_PER_LISTING = 500;

/** How an emulated task behaves. */
export interface TaskBehaviour {
  /** Checkpoint that a run saves; default: the one from which it resumed. */
  readonly checkpoint?: Checkpoint;
  /** Time in milliseconds for which the minion is down, when the run crashes it at its end. */
  readonly crashDownMs?: number;
  /** Duration of a run in milliseconds; Infinity for a long-running task. */
  readonly durationMs: number;
  readonly outcome: RunOutcome;
}

/** The emulated minion's record of a run. */
export interface RecordedRun {
  /** Checkpoint from which the run resumed. */
  readonly checkpoint?: Checkpoint | undefined;
  endedAtMs: number | undefined;
  readonly number: RunNumber;
  outcome: RunOutcome | undefined;
  readonly startedAtMs: number;
  readonly task: string;
}

interface LiveRun {
  readonly checkpoint: Checkpoint | undefined;
  readonly crashDownMs: number | undefined;
  readonly dueMs: number;
  readonly outcome: RunOutcome;
  readonly record: RecordedRun;
  readonly task: TaskRef;
}

export class EmulatedMinion {
  description: MinionDescription;
  readonly records: RecordedRun[] = [];
  /** Number of polls that the minion has responded to. */
  answeredPolls = 0;
  readonly #bounds: MinionBounds;
  readonly #chooseBehaviour: (task: TaskRef, number: RunNumber) => TaskBehaviour;
  readonly #clock: EmulatedClock;
  readonly #results: RunResult[] = [];
  /** On the minion's clock. */
  #leaseExpiresMs = 0;
  readonly #liveRuns = new Map<string, LiveRun>();
  /** Highest number of the runs that were stopped or have ended, by task. */
  readonly #usedNumbers = new Map<string, number>();
  #sequence = 0;
  #token = 0;
  #upAtMs = -Infinity;

  constructor(
    description: MinionDescription,
    chooseBehaviour: (task: TaskRef, number: RunNumber) => TaskBehaviour,
    bounds: Partial<MinionBounds> = {},
  ) {
    this.description = description;
    this.#bounds = {...DEFAULT_MINION_BOUNDS, ...bounds};
    this.#chooseBehaviour = chooseBehaviour;
    this.#clock = new EmulatedClock(this.#bounds.clockLagRate);
  }

  /** Names of the tasks that have a live run. */
  get liveTasks(): readonly string[] {
    return [...this.#liveRuns.keys()];
  }

  /** Ends runs whose duration has passed, and all runs once the lease has expired. */
  advance(nowMs: number): void {
    this.#crashIfDue(nowMs);
    const lapsesAtMs =
      this.#clock.findInstant(this.#leaseExpiresMs) + this.#bounds.expiryLatenessMs;
    for (const [name, run] of this.#liveRuns) {
      if (run.dueMs <= nowMs) {
        this.#finishRun(name, run, run.outcome, run.dueMs);
      } else if (lapsesAtMs <= nowMs) {
        this.#finishRun(name, run, 'lapsed', lapsesAtMs);
      }
    }
  }

  /** Ends all runs at once; the minion responds again after a time, in a new incarnation. */
  crash(downMs: number, nowMs: number): void {
    this.#upAtMs = nowMs + downMs;
    this.#beginIncarnation((this.description.bornAt ?? 0) + 1, nowMs);
  }

  /** Whether the minion has crashed and doesn't respond yet. */
  isDown(nowMs: number): boolean {
    this.#crashIfDue(nowMs);
    return nowMs < this.#upAtMs;
  }

  poll(order: PollOrder, nowMs: number): Result<MinionListing, OrderFailure> {
    this.advance(nowMs);
    const rejection = this.#checkToken(order.token, nowMs);
    if (rejection !== undefined) {
      return err(rejection);
    }
    this.#extendLease(order.untilMs, nowMs);
    this.answeredPolls += 1;
    const kept = this.#results.filter(({sequence}) => sequence > order.ackedThrough);
    this.#results.splice(0, this.#results.length, ...kept);
    return ok({
      bornAt: this.description.bornAt,
      clockMs: this.#clock.read(nowMs),
      ended: kept.slice(0, RESULTS_PER_LISTING),
      mayOmitResults: kept.length >= RESULTS_PER_LISTING,
      running: [...this.#liveRuns.values()].map(({checkpoint, record, task}) => ({
        checkpoint,
        number: record.number,
        percent: 100,
        reading: undefined,
        task,
      })),
    });
  }

  /** Begins a new incarnation, which has no runs and no memory of the former one. */
  restart(bornAt: number, nowMs: number): void {
    this.advance(nowMs);
    this.#beginIncarnation(bornAt, nowMs);
  }

  #beginIncarnation(bornAt: number, nowMs: number): void {
    for (const {record} of this.#liveRuns.values()) {
      record.endedAtMs = nowMs;
    }
    this.#liveRuns.clear();
    this.#results.length = 0;
    this.#usedNumbers.clear();
    this.#sequence = 0;
    this.#token = 0;
    this.#leaseExpiresMs = 0;
    this.#clock.restart(this.#bounds.restartClockMs ?? this.#clock.read(nowMs), nowMs);
    this.description = {...this.description, bornAt};
  }

  start(order: StartOrder, nowMs: number): Result<OrderAnswer, OrderFailure> {
    this.advance(nowMs);
    const rejection = this.#checkToken(order.token, nowMs);
    if (rejection !== undefined) {
      return err(rejection);
    }
    const running = this.#liveRuns.get(order.task);
    const clockMs = this.#clock.read(nowMs);
    if (running?.record.number === order.number) {
      return ok({clockMs});
    }
    if (order.untilMs <= clockMs) {
      return err(createFailure('late', clockMs));
    }
    this.#extendLease(order.untilMs, nowMs);
    if (order.number <= (this.#usedNumbers.get(order.task) ?? 0)) {
      return err(createFailure('outdated', clockMs));
    }
    const task = parseTaskName(order.task);
    if (task === undefined) {
      return err(createFailure('invalid', clockMs));
    }
    const behaviour = this.#chooseBehaviour(task, order.number);
    const {checkpoint = order.checkpoint, crashDownMs, durationMs, outcome} = behaviour;
    const record: RecordedRun = {
      checkpoint: order.checkpoint,
      endedAtMs: undefined,
      number: order.number,
      outcome: undefined,
      startedAtMs: nowMs,
      task: order.task,
    };
    this.records.push(record);
    const restoreMs = order.checkpoint === undefined ? 0 : this.#bounds.restoreMs;
    const dueMs = nowMs + restoreMs + durationMs;
    this.#liveRuns.set(order.task, {checkpoint, crashDownMs, dueMs, outcome, record, task});
    return ok({clockMs});
  }

  stop(order: RunOrder, nowMs: number): Result<OrderAnswer, OrderFailure> {
    this.advance(nowMs);
    const rejection = this.#checkToken(order.token, nowMs);
    if (rejection !== undefined) {
      return err(rejection);
    }
    const run = this.#liveRuns.get(order.task);
    if (run !== undefined && run.record.number <= order.number) {
      this.#stopRun(order.task, run, nowMs);
    }
    this.#recordUsedNumber(order.task, order.number);
    return ok({clockMs: this.#clock.read(nowMs)});
  }

  #crashIfDue(nowMs: number): void {
    const crashing = [...this.#liveRuns.values()].find(
      ({crashDownMs, dueMs}) => crashDownMs !== undefined && dueMs <= nowMs,
    );
    if (crashing?.crashDownMs !== undefined) {
      this.crash(crashing.crashDownMs, crashing.dueMs);
    }
  }

  #checkToken(token: number, nowMs: number): OrderFailure | undefined {
    if (token < this.#token) {
      return createFailure('fenced', this.#clock.read(nowMs));
    }
    this.#token = token;
    return undefined;
  }

  #finishRun(name: string, run: LiveRun, outcome: RunOutcome, atMs: number): void {
    this.#liveRuns.delete(name);
    this.#sequence += 1;
    this.#recordUsedNumber(name, run.record.number);
    run.record.endedAtMs = atMs;
    run.record.outcome = outcome;
    this.#results.push({
      checkpoint: run.checkpoint,
      number: run.record.number,
      outcome,
      sequence: this.#sequence,
      task: run.task,
    });
  }

  #extendLease(untilMs: number | undefined, nowMs: number): void {
    const longestMs = this.#clock.read(nowMs) + this.#bounds.maxMinionLeaseMs;
    this.#leaseExpiresMs = Math.max(this.#leaseExpiresMs, Math.min(untilMs ?? 0, longestMs));
  }

  #stopRun(name: string, run: LiveRun, nowMs: number): void {
    const dueMs = nowMs + this.#bounds.stopMs;
    if (dueMs === nowMs) {
      this.#finishRun(name, run, 'stopped', nowMs);
    } else if (dueMs < run.dueMs) {
      this.#liveRuns.set(name, {...run, crashDownMs: undefined, dueMs, outcome: 'stopped'});
    }
  }

  #recordUsedNumber(name: string, number: number): void {
    this.#usedNumbers.set(name, Math.max(number, this.#usedNumbers.get(name) ?? 0));
  }
}

function createFailure(kind: OrderFailureKind, clockMs: number): OrderFailure {
  return {clockMs, kind, message: kind};
}
