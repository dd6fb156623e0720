/** Decides which queued tasks of a cell start where, and which attempts give way. */

import type {AttemptId, EntryId, Instant, TeamId, WallTime, WorkerId} from '@nutmegproxy/core';
import type {Lane, LaneOrder, PlacementDecision, PlacementRequest} from '@nutmegproxy/placement';
import type {Entry, EvictionIntended, StartIntended} from '@nutmegproxy/schema';

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

/** The wish of a task's next attempt. */
export function wishOf(task: Task, entry: Entry, times: Times): PlacementRequest {
  const waitedMs = Math.max(0, times.wall - (task.queuedAt ?? times.wall));
  return {
    attempt: attemptIdOf(task) as AttemptId,
    checkpointable: entry.checkpoint === true,
    class: entry.class,
    declared: declaredOf(entry),
    declaredRunTimeMs: entry.limits.runTimeMs ?? DEFAULT_RUN_TIME_MS,
    entry: entry.id as EntryId,
    queuedAt: after(times.now, -waitedMs),
    team: entry.owner as PlacementRequest['team'],
  };
}

/** Walks the queue entry by entry: once an entry's task has to wait, the others of it wait too. */
export class TaskDispatch {
  readonly #cell: Cell;
  readonly #concurrency: (entry: Entry) => number;
  readonly #handlers: DecisionHandlers = {
    evict: ({victims}, task, round) => {
      victims.forEach((victim) => round.victims.add(victim));
      this.#awaited.set(task, new Set(victims));
      return 'more';
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
      const attempt = attemptIdOf(task);
      this.#deciding.add(task);
      this.#intended.add(attempt);
      round.intents.push({
        at: times.wall,
        attempt,
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
  /** Victims whose end a queued task waits for. */
  readonly #awaited = new Map<Task, Set<AttemptId>>();
  /** Tasks whose intents are not committed yet. */
  readonly #deciding = new Set<Task>();
  /** Attempts of those tasks. */
  readonly #intended = new Set<string>();

  readonly #evicting = new Set<AttemptId>();
  readonly #order: LaneOrder;
  /** Victims whose own intents are not committed yet. */
  readonly #owed = new Set<AttemptId>();

  constructor(cell: Cell, order: LaneOrder, concurrency: (entry: Entry) => number) {
    this.#cell = cell;
    this.#concurrency = concurrency;
    this.#order = order;
  }

  /** Decides on queued tasks; placed ones hold their reservation from now on. */
  decide(times: Times): Round {
    const round: Round = {intents: [], victims: new Set()};
    this.#dropSettledWaits();
    const counts = this.#counts();
    for (const entry of this.#entries(times)) {
      if (round.intents.length >= MAX_DECISIONS_PER_ROUND) {
        break;
      }
      const room = this.#concurrency(entry) - (counts.get(entry.id) ?? 0);
      this.#decideEntry(entry, round, times, room);
    }
    return round;
  }

  /** The intents of these tasks are settled, whichever way. */
  settled(intents: readonly StartIntended[]): void {
    for (const {attempt, task} of intents) {
      this.#intended.delete(attempt);
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
    const wanted = new Set([...this.#owed, ...victims]);
    this.#owed.clear();
    for (const attempt of wanted) {
      const task = this.#cell.table.attempt(attempt);
      if (!task && this.#intended.has(attempt)) {
        this.#owed.add(attempt);
      }
      if (task && task.state !== 'evicting' && !this.#evicting.has(attempt)) {
        this.#evicting.add(attempt);
        this.#cell.node.events.record(TASKS_EVENTS.TASK_EVICTED, {attempt, worker: task.worker});
        changes.push({attempt, kind: 'eviction-intended', task: taskIdOf(task)});
      }
    }
    return changes;
  }

  /** Attempts by entry, whether their intents are committed yet or not. */
  #counts(): Map<string, number> {
    const counts = new Map<string, number>();
    const undecided = [...this.#deciding].filter(({state}) => state === 'queued');
    for (const {job} of [...this.#cell.table.live, ...undecided]) {
      counts.set(job.entry, (counts.get(job.entry) ?? 0) + 1);
    }
    return counts;
  }

  #decideEntry(entry: Entry, round: Round, times: Times, room: number): void {
    let scanned = 0;
    const most = Math.min(MAX_DECISIONS_PER_ROUND, round.intents.length + room);
    const postponed: Task[] = [];
    for (const task of this.#cell.table.queuedOf(entry.id)) {
      scanned += 1;
      if (scanned > MAX_QUEUE_SCAN_PER_ROUND || round.intents.length >= most) {
        break;
      }
      if (this.#deciding.has(task) || this.#awaited.has(task)) {
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

  /** Forgets waits whose victims are gone, and those of tasks that wait no more. */
  #dropSettledWaits(): void {
    for (const [task, victims] of this.#awaited) {
      const waiting = [...victims].some((each) => this.#cell.table.attempt(each));
      if (!waiting || task.state !== 'queued' || task.job.cancelled) {
        this.#awaited.delete(task);
      }
    }
  }

  /** Known entries with queued tasks, in the order of the policy. */
  #entries(times: Times): Entry[] {
    const lanes: Lane[] = [];
    for (const id of [...this.#cell.table.queuedEntries]) {
      const entry = this.#cell.entry(id);
      const first = this.#cell.table.queuedOf(id).next().value as Task | undefined;
      if (first && !entry) {
        first.job.impossible = 'the catalogue has no such entry any more';
      }
      if (first && entry) {
        const wish = wishOf(first, entry, times);
        const waiting = {request: wish, resumed: first.checkpoint !== undefined};
        lanes.push({entry: wish.entry, first: () => waiting, size: 1, team: wish.team});
      }
    }
    if (lanes.length === 0) {
      return [];
    }
    const held = this.#heldCpu();
    const ordered = this.#order(lanes, (team) => held.get(team) ?? 0, times.now);
    return ordered.flatMap(({entry}) => this.#cell.entry(entry) ?? []);
  }

  /** Processors that each team's attempts hold in this cell. */
  #heldCpu(): Map<TeamId, number> {
    const held = new Map<TeamId, number>();
    for (const {job, reserved} of this.#cell.table.live) {
      const team = this.#cell.teamOf(this.#cell.entry(job.entry));
      held.set(team, (held.get(team) ?? 0) + (reserved?.cpu ?? 0));
    }
    return held;
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
