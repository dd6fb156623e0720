/** Decides which queued tasks of a cell start where, and which attempts give way. */

import type {AttemptId, EntryId, Instant, WallTime, WorkerId} from '@nutmegproxy/core';
import type {PlacementDecision, PlacementWish} from '@nutmegproxy/placement';
import type {Entry, EvictionIntended, StartIntended, WorkClass} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {Cell} from './Cell.ts';
import type {Task} from './TaskModel.ts';

import {declaredOf} from './Cell.ts';
import {attemptIdOf, taskIdOf} from './TaskModel.ts';
import {
  DEFAULT_RUN_TIME_MS,
  IMPOSSIBLE_RECHECK_MS,
  MAX_DECISIONS_PER_ROUND,
  MAX_QUEUE_SCAN_PER_ROUND,
  START_WINDOW_MS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** What one round decided; nothing of it is in force before it is committed. */
export interface Round {
  readonly intents: StartIntended[];
  readonly victims: Set<AttemptId>;
}

/** `more`: the entry's next task may be tried; `enough`: it waits for the next round. */
type Next = 'enough' | 'more';

type DecisionHandlers = {
  readonly [Kind in PlacementDecision['kind']]: (
    decision: Extract<PlacementDecision, {kind: Kind}>,
    task: Task,
    round: Round,
    times: Times,
  ) => Next;
};

interface Times {
  readonly now: Instant;
  readonly wall: WallTime;
}

const CLASS_ORDER: Record<WorkClass, number> = {batch: 1, 'latency-critical': 0};

/** The wish of a task's next attempt. */
export function wishOf(task: Task, entry: Entry, times: Times): PlacementWish {
  const waitedMs = Math.max(0, times.wall - (task.queuedAt ?? times.wall));
  return {
    attempt: attemptIdOf(task) as AttemptId,
    checkpointable: entry.checkpoint === true,
    class: entry.class,
    declared: declaredOf(entry),
    declaredRunTimeMs: entry.limits.runTimeMs ?? DEFAULT_RUN_TIME_MS,
    entry: entry.id as EntryId,
    queuedAt: after(times.now, -waitedMs),
    team: entry.owner as PlacementWish['team'],
  };
}

/** Walks the queue entry by entry: once an entry's task has to wait, the others of it wait too. */
export class TaskDispatch {
  readonly #cell: Cell;
  readonly #handlers: DecisionHandlers = {
    evict: ({victims}, task, round) => {
      victims.forEach((victim) => round.victims.add(victim));
      this.#awaited.set(task.job.entry, new Set(victims));
      return 'enough';
    },
    impossible: ({reason}, task, _round, times) => {
      if (task.job.impossible === undefined) {
        const fields = {job: task.job.id, reason};
        this.#cell.node.events.record(TASKS_EVENTS.JOB_IMPOSSIBLE, fields);
      }
      task.job.impossible = reason;
      task.job.recheckAt = after(times.now, IMPOSSIBLE_RECHECK_MS);
      return 'enough';
    },
    placed: ({reserved, worker}, task, round, times) => {
      task.job.impossible = undefined;
      this.#deciding.add(task);
      round.intents.push({
        at: times.wall,
        attempt: attemptIdOf(task),
        kind: 'start-intended',
        reserved,
        startBefore: times.wall + START_WINDOW_MS,
        task: taskIdOf(task),
        worker,
      });
      return 'more';
    },
    wait: (_decision, task) => {
      task.job.impossible = undefined;
      return 'enough';
    },
  };
  /** Victims whose end an entry's next task waits for. */
  readonly #awaited = new Map<string, Set<AttemptId>>();
  /** Tasks whose intents are not committed yet. */
  readonly #deciding = new Set<Task>();

  readonly #evicting = new Set<AttemptId>();

  constructor(cell: Cell) {
    this.#cell = cell;
  }

  /** Decides on queued tasks; placed ones hold their reservation from now on. */
  decide(times: Times): Round {
    const round: Round = {intents: [], victims: new Set()};
    for (const entry of this.#entries()) {
      if (round.intents.length >= MAX_DECISIONS_PER_ROUND) {
        break;
      }
      if (!this.#awaits(entry.id)) {
        this.#decideEntry(entry, round, times);
      }
    }
    return round;
  }

  /** The intents of these tasks are settled, whichever way. */
  settled(intents: readonly StartIntended[]): void {
    for (const {task} of intents) {
      const known = this.#cell.table.task(task);
      if (known) {
        this.#deciding.delete(known);
      }
    }
  }

  /** Evictions of these attempts are settled, whichever way. */
  evictionsSettled(victims: Iterable<AttemptId>): void {
    for (const attempt of victims) {
      this.#evicting.delete(attempt);
    }
  }

  /** Changes that evict `victims`, but for those that are being evicted already. */
  evictions(victims: Iterable<AttemptId>): EvictionIntended[] {
    const changes: EvictionIntended[] = [];
    for (const attempt of victims) {
      const task = this.#cell.table.attempt(attempt);
      if (task && task.state !== 'evicting' && !this.#evicting.has(attempt)) {
        this.#evicting.add(attempt);
        this.#cell.node.events.record(TASKS_EVENTS.TASK_EVICTED, {attempt, worker: task.worker});
        changes.push({attempt, kind: 'eviction-intended', task: taskIdOf(task)});
      }
    }
    return changes;
  }

  #awaits(entry: string): boolean {
    const victims = this.#awaited.get(entry);
    const waiting = [...(victims ?? [])].some((each) => this.#cell.table.attempt(each));
    if (!waiting) {
      this.#awaited.delete(entry);
    }
    return waiting;
  }

  #decideEntry(entry: Entry, round: Round, times: Times): void {
    let scanned = 0;
    const postponed: Task[] = [];
    for (const task of this.#cell.table.queuedOf(entry.id)) {
      scanned += 1;
      if (scanned > MAX_QUEUE_SCAN_PER_ROUND || round.intents.length >= MAX_DECISIONS_PER_ROUND) {
        break;
      }
      if (this.#deciding.has(task)) {
        continue;
      }
      if ((task.notBefore ?? 0) > times.wall) {
        postponed.push(task);
        continue;
      }
      if ((task.job.recheckAt ?? times.now) > times.now) {
        break;
      }
      const decision = this.#cell.placement.decide(wishOf(task, entry, times), times.now);
      if (this.#handle(decision, task, round, times) === 'enough') {
        break;
      }
    }
    postponed.forEach((task) => {
      this.#cell.table.postpone(task);
    });
  }

  /** Known entries with queued tasks: latency-critical first, then by the wait of the first task. */
  #entries(): Entry[] {
    const waiting: {entry: Entry; queuedAt: number}[] = [];
    for (const id of this.#cell.table.queuedEntries) {
      const entry = this.#cell.entry(id);
      const first = this.#cell.table.queuedOf(id).next().value as Task | undefined;
      if (first && !entry) {
        first.job.impossible = 'the catalogue has no such entry any more';
      }
      if (first && entry) {
        waiting.push({entry, queuedAt: first.queuedAt ?? 0});
      }
    }
    waiting.sort(
      (a, b) => CLASS_ORDER[a.entry.class] - CLASS_ORDER[b.entry.class] || a.queuedAt - b.queuedAt,
    );
    return waiting.map(({entry}) => entry);
  }

  #handle(decision: PlacementDecision, task: Task, round: Round, times: Times): Next {
    const handler = this.#handlers[decision.kind] as (
      decision: PlacementDecision,
      task: Task,
      round: Round,
      times: Times,
    ) => Next;
    return handler(decision, task, round, times);
  }
}

/** Intents by worker, in their order. */
export function byWorker(intents: readonly StartIntended[]): Map<WorkerId, StartIntended[]> {
  const groups = new Map<WorkerId, StartIntended[]>();
  for (const intent of intents) {
    const worker = intent.worker as WorkerId;
    groups.set(worker, [...(groups.get(worker) ?? []), intent]);
  }
  return groups;
}
