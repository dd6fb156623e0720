/** Queue of tasks that wait for a worker. */

import type {AttemptId, EntryId, Instant, TeamId} from '@nutmegproxy/core';

import type {PlacementRequest} from './Placement.ts';

/** A waiting task with its placement request. */
export interface WaitingTask {
  readonly request: PlacementRequest;
  /** Whether the task resumes from a checkpoint; it then precedes fresh tasks of its entry. */
  readonly resumed: boolean;
}

/** Waiting tasks of one entry, all with the same team, class and declared size. */
export interface Lane {
  readonly entry: EntryId;
  /** Returns the task to place next, or undefined when the lane is empty. */
  first(): undefined | WaitingTask;
  readonly size: number;
  readonly team: TeamId;
}

/** Orders the lanes for one placement round. */
export type LaneOrder = (
  lanes: readonly Lane[],
  usedShare: (team: TeamId) => number,
  now: Instant,
) => readonly Lane[];

class EntryLane implements Lane {
  readonly entry: EntryId;
  readonly fresh = new Map<AttemptId, WaitingTask>();
  readonly resumed = new Map<AttemptId, WaitingTask>();
  readonly team: TeamId;

  constructor(request: PlacementRequest) {
    this.entry = request.entry;
    this.team = request.team;
  }

  get size(): number {
    return this.fresh.size + this.resumed.size;
  }

  add(task: WaitingTask): void {
    (task.resumed ? this.resumed : this.fresh).set(task.request.attempt, task);
  }

  first(): undefined | WaitingTask {
    const tasks = this.resumed.size > 0 ? this.resumed : this.fresh;
    const next = tasks.values().next();
    return next.done ? undefined : next.value;
  }

  remove(attempt: AttemptId): boolean {
    return this.fresh.delete(attempt) || this.resumed.delete(attempt);
  }
}

/**
 * Waiting tasks, with one lane per entry. Adding, removing and finding a lane's first task take
 * constant time, so that mass cancellations need no scan of the queue.
 */
export class TaskQueue {
  readonly #lanes = new Map<EntryId, EntryLane>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(task: WaitingTask): void {
    const lane = this.#lanes.get(task.request.entry) ?? new EntryLane(task.request);
    this.#lanes.set(task.request.entry, lane);
    const before = lane.size;
    lane.add(task);
    this.#size += lane.size - before;
  }

  lanes(): readonly Lane[] {
    return [...this.#lanes.values()];
  }

  /** Removes a task; returns false when it is not in the queue. */
  remove(entry: EntryId, attempt: AttemptId): boolean {
    const lane = this.#lanes.get(entry);
    if (!lane?.remove(attempt)) {
      return false;
    }
    this.#size -= 1;
    if (lane.size === 0) {
      this.#lanes.delete(entry);
    }
    return true;
  }
}
