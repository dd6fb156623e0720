/** Decides where the queued tasks of a cell start and which attempts are evicted for them. */

import type {AttemptId, EntryId, Instant, TeamId, WallTime, WorkerId} from '@nutmegproxy/core';
import type {Lane, LaneOrder, PlacementDecision, PlacementRequest} from '@nutmegproxy/placement';
import type {Entry, EvictionIntended, StartIntended} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {Cell} from './Cell.ts';
import type {Task} from './TaskModel.ts';

import {getDeclaredResources} from './Cell.ts';
import {formatNextAttemptId, formatTaskId} from './TaskModel.ts';
import {
  DEFAULT_RUN_TIME_MS,
  IMPOSSIBLE_RECHECK_MS,
  MAX_DECISIONS_PER_ROUND,
  MAX_QUEUE_SCAN_PER_ROUND,
  START_WINDOW_MS,
} from './TasksConstants.ts';
import {TASKS_EVENTS} from './TasksEvents.ts';

/** Decisions of one scheduling round; they take effect only once they are committed. */
export interface Round {
  readonly intents: StartIntended[];
  readonly victims: Set<AttemptId>;
}

/** `more`: try the entry's next task. `enough`: the entry waits for the next round. */
type NextStep = 'enough' | 'more';

type DecisionHandlers = {
  readonly [Kind in PlacementDecision['kind']]: (
    decision: Extract<PlacementDecision, {kind: Kind}>,
    task: Task,
    round: Round,
    times: ClockReadings,
  ) => NextStep;
};

interface ClockReadings {
  readonly now: Instant;
  readonly wall: WallTime;
}

/** Creates the placement request for a task's next attempt. */
export function createPlacementRequest(
  task: Task,
  entry: Entry,
  times: ClockReadings,
): PlacementRequest {
  const waitedMs = Math.max(0, times.wall - (task.queuedAt ?? times.wall));
  return {
    attempt: formatNextAttemptId(task) as AttemptId,
    checkpointable: entry.checkpoint === true,
    class: entry.class,
    declared: getDeclaredResources(entry),
    declaredRunTimeMs: entry.limits.runTimeMs ?? DEFAULT_RUN_TIME_MS,
    entry: entry.id as EntryId,
    queuedAt: after(times.now, -waitedMs),
    team: entry.owner as PlacementRequest['team'],
  };
}

/** Schedules queued tasks by entry; once a task has to wait, so do the later ones of its entry. */
export class TaskDispatch {
  readonly #cell: Cell;
  readonly #concurrency: (entry: Entry) => number;
  readonly #handlers: DecisionHandlers = {
    evict: ({victims}, task, round) => {
      victims.forEach((victim) => round.victims.add(victim));
      this.#awaitedVictims.set(task, new Set(victims));
      return 'more';
    },
    impossible: ({reason}, task, _round, times) => {
      if (task.job.impossibleReason === undefined) {
        const fields = {job: task.job.id, reason};
        this.#cell.node.events.record(TASKS_EVENTS.JOB_IMPOSSIBLE, fields);
      }
      task.job.impossibleReason = reason;
      task.job.recheckAt = after(times.now, IMPOSSIBLE_RECHECK_MS);
      return 'enough';
    },
    placed: ({reserved, worker}, task, round, times) => {
      task.job.impossibleReason = undefined;
      const attempt = formatNextAttemptId(task);
      this.#pendingTasks.add(task);
      this.#pendingAttempts.add(attempt);
      round.intents.push({
        at: times.wall,
        attempt,
        kind: 'start-intended',
        reserved,
        startBefore: times.wall + START_WINDOW_MS,
        task: formatTaskId(task),
        worker,
      });
      return 'more';
    },
    wait: (_decision, task) => {
      task.job.impossibleReason = undefined;
      return 'enough';
    },
  };
  /** Victims whose reservations a queued task waits for. */
  readonly #awaitedVictims = new Map<Task, Set<AttemptId>>();
  /** Tasks whose start intents are not committed yet. */
  readonly #pendingTasks = new Set<Task>();
  /** Attempts of those tasks. */
  readonly #pendingAttempts = new Set<string>();

  readonly #pendingEvictions = new Set<AttemptId>();
  readonly #order: LaneOrder;
  /** Victims whose own start intents are not committed yet; they are evicted later. */
  readonly #deferredEvictions = new Set<AttemptId>();

  constructor(cell: Cell, order: LaneOrder, concurrency: (entry: Entry) => number) {
    this.#cell = cell;
    this.#concurrency = concurrency;
    this.#order = order;
  }

  /** Schedules queued tasks; those that are placed hold their reservation immediately. */
  decide(times: ClockReadings): Round {
    const round: Round = {intents: [], victims: new Set()};
    this.#removeSettledWaits();
    const counts = this.#countAttempts();
    for (const entry of this.#orderEntries(times)) {
      if (round.intents.length >= MAX_DECISIONS_PER_ROUND) {
        break;
      }
      const headroom = this.#concurrency(entry) - (counts.get(entry.id) ?? 0);
      this.#decideEntry(entry, round, times, headroom);
    }
    return round;
  }

  /** Called when the commit of these intents has succeeded or failed. */
  settleIntents(intents: readonly StartIntended[]): void {
    for (const {attempt, task} of intents) {
      this.#pendingAttempts.delete(attempt);
      const known = this.#cell.table.findTask(task);
      if (known) {
        this.#pendingTasks.delete(known);
      }
    }
  }

  /** Called when the commit of these evictions has succeeded or failed. */
  settleEvictions(victims: Iterable<AttemptId>): void {
    for (const attempt of victims) {
      this.#pendingEvictions.delete(attempt);
    }
  }

  /** Creates the changes that evict `victims`, except for those already being evicted. */
  createEvictions(victims: Iterable<AttemptId>): EvictionIntended[] {
    const changes: EvictionIntended[] = [];
    const requested = new Set([...this.#deferredEvictions, ...victims]);
    this.#deferredEvictions.clear();
    for (const attempt of requested) {
      const task = this.#cell.table.findByAttempt(attempt);
      if (!task && this.#pendingAttempts.has(attempt)) {
        this.#deferredEvictions.add(attempt);
      }
      if (task && task.state !== 'evicting' && !this.#pendingEvictions.has(attempt)) {
        this.#pendingEvictions.add(attempt);
        this.#cell.node.events.record(TASKS_EVENTS.TASK_EVICTED, {attempt, worker: task.worker});
        changes.push({attempt, kind: 'eviction-intended', task: formatTaskId(task)});
      }
    }
    return changes;
  }

  /** Counts attempts by entry, including those whose intents are not committed yet. */
  #countAttempts(): Map<string, number> {
    const counts = new Map<string, number>();
    const uncommitted = [...this.#pendingTasks].filter(({state}) => state === 'queued');
    for (const {job} of [...this.#cell.table.liveTasks, ...uncommitted]) {
      counts.set(job.entry, (counts.get(job.entry) ?? 0) + 1);
    }
    return counts;
  }

  #decideEntry(entry: Entry, round: Round, times: ClockReadings, headroom: number): void {
    let scanned = 0;
    const intentLimit = Math.min(MAX_DECISIONS_PER_ROUND, round.intents.length + headroom);
    const postponed: Task[] = [];
    for (const task of this.#cell.table.queuedTasks(entry.id)) {
      scanned += 1;
      if (scanned > MAX_QUEUE_SCAN_PER_ROUND || round.intents.length >= intentLimit) {
        break;
      }
      if (this.#pendingTasks.has(task) || this.#awaitedVictims.has(task)) {
        continue;
      }
      if ((task.notBefore ?? 0) > times.wall) {
        postponed.push(task);
        continue;
      }
      if ((task.job.recheckAt ?? times.now) > times.now) {
        break;
      }
      const decision = this.#cell.placement.decide(
        createPlacementRequest(task, entry, times),
        times.now,
      );
      if (this.#handleDecision(decision, task, round, times) === 'enough') {
        break;
      }
    }
    postponed.forEach((task) => {
      this.#cell.table.postpone(task);
    });
  }

  /** Removes waits whose victims have ended, and those of tasks that are no longer queued. */
  #removeSettledWaits(): void {
    for (const [task, victims] of this.#awaitedVictims) {
      const waiting = [...victims].some((each) => this.#cell.table.findByAttempt(each));
      if (!waiting || task.state !== 'queued' || task.job.cancelled) {
        this.#awaitedVictims.delete(task);
      }
    }
  }

  /** Known entries with queued tasks, ordered by the policy. */
  #orderEntries(times: ClockReadings): Entry[] {
    const lanes: Lane[] = [];
    for (const id of [...this.#cell.table.queuedEntries]) {
      const entry = this.#cell.entry(id);
      const first = this.#cell.table.queuedTasks(id).next().value as Task | undefined;
      if (first && !entry) {
        first.job.impossibleReason = 'the catalogue has no such entry any more';
      }
      if (first && entry) {
        const request = createPlacementRequest(first, entry, times);
        const waiting = {request, resumed: first.checkpoint !== undefined};
        lanes.push({entry: request.entry, first: () => waiting, size: 1, team: request.team});
      }
    }
    if (lanes.length === 0) {
      return [];
    }
    const reservedCpu = this.#sumReservedCpu();
    const ordered = this.#order(lanes, (team) => reservedCpu.get(team) ?? 0, times.now);
    return ordered.flatMap(({entry}) => this.#cell.entry(entry) ?? []);
  }

  /** Processors that each team's attempts reserve in this cell. */
  #sumReservedCpu(): Map<TeamId, number> {
    const reservedCpu = new Map<TeamId, number>();
    for (const {job, reserved} of this.#cell.table.liveTasks) {
      const team = this.#cell.getTeam(this.#cell.entry(job.entry));
      reservedCpu.set(team, (reservedCpu.get(team) ?? 0) + (reserved?.cpu ?? 0));
    }
    return reservedCpu;
  }

  #handleDecision(
    decision: PlacementDecision,
    task: Task,
    round: Round,
    times: ClockReadings,
  ): NextStep {
    const handler = this.#handlers[decision.kind] as (
      decision: PlacementDecision,
      task: Task,
      round: Round,
      times: ClockReadings,
    ) => NextStep;
    return handler(decision, task, round, times);
  }
}

/** Groups intents by worker and keeps their order. */
export function groupByWorker(intents: readonly StartIntended[]): Map<WorkerId, StartIntended[]> {
  const groups = new Map<WorkerId, StartIntended[]>();
  for (const intent of intents) {
    const worker = intent.worker as WorkerId;
    groups.set(worker, [...(groups.get(worker) ?? []), intent]);
  }
  return groups;
}
