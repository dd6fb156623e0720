/**
 * Decides which tasks of long-running jobs may start in one planning round. They start one by one,
 * so that a wide job works with what there is. While the step with the smallest share of its tasks at work
 * waits for the limit, no other one of its service takes what becomes free. Nothing is held while under half of
 * the capacity is in use.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {ServiceId, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {LongRunningRoom} from './LongRunningRoom.ts';
import type {ShareClaim} from './LongRunningShares.ts';
import type {MinionState} from './MinionState.ts';
import type {StartWaitReason} from './StartWaitLog.ts';

import {releaseBackfill} from './BackfillRelease.ts';
import {hasInterruptedTask, isInterruptedTask} from './InterruptedTaskStarts.ts';
import {measureLongRunningRoom} from './LongRunningRoom.ts';
import {countTasksAtWork, RoomDivision} from './LongRunningShares.ts';
import {meetsConstraints} from './Placement.ts';
import {isInBackoff} from './ReadySteps.ts';

/** Share of a service's processors in use below which no step holds the rest, as others have to run beside so much. */
const MIN_HOLDING_SHARE = 0.5;

/** Whether a minion could take one more task of the step if nothing ran there but its own tasks. */
function isPlaceable(step: StepState, minions: readonly MinionState[]): boolean {
  const {cpuMilli, gpus, memoryMb} = step.shape.resources;
  return minions.some((minion) => {
    const {capacity} = minion.description;
    return (
      cpuMilli <= capacity.cpuMilli &&
      gpus <= capacity.gpus &&
      memoryMb <= capacity.memoryMb &&
      meetsConstraints(step, minion)
    );
  });
}

/** The room of one service in one planning round. */
interface ServiceDivisions {
  readonly byPriority: Map<number, RoomDivision>;
  /** Number of minions among which the room was measured. */
  readonly minions: number;
}

/** The starts of long-running tasks in one planning round. */
export class LongRunningStarts {
  readonly #divisions = new Map<ServiceId, ServiceDivisions>();
  readonly #fleet: Fleet;
  readonly #listStartable: (step: StepState) => readonly number[];
  readonly #now: Instant;
  /** Steps whose interrupted tasks had their turn. */
  readonly #restarted = new Set<StepState>();
  readonly #wall: WallTime;
  /** Steps of the present pass, without gangs. */
  #steps: ReadonlySet<StepState> = new Set();

  constructor(
    fleet: Fleet,
    listStartable: (step: StepState) => readonly number[],
    now: Instant,
    wall: WallTime,
  ) {
    this.#fleet = fleet;
    this.#listStartable = listStartable;
    this.#now = now;
    this.#wall = wall;
  }

  /**
   * Begins a pass over steps, among which the room is divided unless a step of an earlier pass waits for it. What
   * such a step holds is of the minions of its pass: where a later pass has more, all their room is divided.
   */
  begin(steps: Iterable<StepState>): void {
    for (const {byPriority} of this.#divisions.values()) {
      for (const [priority, division] of byPriority) {
        if (!division.isHeld) {
          byPriority.delete(priority);
        }
      }
    }
    this.#steps = new Set([...steps].filter(({shape}) => shape.longRunning && !shape.gang));
  }

  /**
   * Returns the tasks that may start: at first the interrupted ones, in any case; then others, without taking
   * capacity that is kept free for short work.
   *
   * @example
   * for (const index of starts.admit(step, waiting, minions)) place(step, index);
   */
  admit(
    step: StepState,
    startable: readonly number[],
    minions: readonly MinionState[],
  ): readonly number[] {
    const {cpuMilli} = step.shape.resources;
    const interrupted = startable.filter((index) => isInterruptedTask(step, index));
    if (hasInterruptedTask(step) && !this.#restarted.has(step)) {
      this.#restarted.add(step);
      return interrupted;
    }
    const others = startable.filter((index) => !isInterruptedTask(step, index));
    const room = measureLongRunningRoom(minions);
    const freeMilli = room.limitMilli - room.reservedMilli - interrupted.length * cpuMilli;
    const freeTasks = Math.max(0, Math.floor(freeMilli / Math.max(1, cpuMilli)));
    const division = this.#findDivision(step, minions);
    const admitted = others.slice(0, division.take(step, Math.min(freeTasks, others.length)));
    if (admitted.length < others.length) {
      if (admitted.length === 0) {
        step.limitedAt = this.#now;
      }
      this.#recordWait(step, 'limit', room);
    }
    return [...interrupted, ...admitted];
  }

  /** Gives the room of admitted tasks for which there is no minion to the other steps of the pass. */
  release(step: StepState, admitted: readonly number[], minions: readonly MinionState[]): void {
    const isUnused = (index: number): boolean =>
      step.waiting.has(index) && !isInterruptedTask(step, index);
    const unused = admitted.filter(isUnused).length;
    if (unused > 0) {
      this.#findDivision(step, minions).release(step, unused);
    }
  }

  /**
   * Gives the room of a step to the others where this round passes it over, as it has found no minion. A step that
   * got no room below the limit since then keeps what it gets.
   */
  skip(step: StepState, minions: readonly MinionState[]): void {
    const {blockedAt = -Infinity, limitedAt = -Infinity, placedAt = -Infinity} = step;
    const isBlocked = blockedAt > -Infinity && blockedAt >= Math.max(limitedAt, placedAt);
    const isFirstVisit = hasInterruptedTask(step) && !this.#restarted.has(step);
    this.#restarted.add(step);
    if (this.#steps.has(step) && !isFirstVisit && isBlocked) {
      const division = this.#findDivision(step, minions);
      division.release(step, division.take(step, Infinity));
    }
  }

  /** Logs that no minion can take a task of the step, and makes room for one that was interrupted. */
  recordNoMinion(step: StepState, minions: readonly MinionState[]): void {
    releaseBackfill(this.#fleet, step, minions, this.#now);
    this.#recordWait(step, 'no-minion', measureLongRunningRoom(minions));
  }

  /** Returns the room of the step's service and priority, divided when a step first asks for it. */
  #findDivision(step: StepState, minions: readonly MinionState[]): RoomDivision {
    const {priority, service} = this.#fleet.resolveQueuePolicy(step.job);
    const {byPriority} = this.#findDivisions(service, minions.length);
    const known = byPriority.get(priority);
    if (known !== undefined) {
      return known;
    }
    const {capacityMilli, limitMilli, reservedMilli} = measureLongRunningRoom(minions);
    const isHeld = [...byPriority.values()].some((each) => each.isHeld);
    const freeMilli = isHeld ? 0 : limitMilli - reservedMilli;
    const claims = [...this.#steps]
      .filter((each) => {
        const policy = this.#fleet.resolveQueuePolicy(each.job);
        return policy.service === service && policy.priority === priority;
      })
      .map((each) => this.#describeClaim(each, minions, limitMilli));
    const division = new RoomDivision(claims, {
      freeMilli,
      maxHeldMilli: limitMilli - capacityMilli * MIN_HOLDING_SHARE,
    });
    byPriority.set(priority, division);
    return division;
  }

  /** Returns the divisions of a service's room among so many minions, which only become more within a round. */
  #findDivisions(service: ServiceId, minions: number): ServiceDivisions {
    const known = this.#divisions.get(service);
    if (known?.minions === minions) {
      return known;
    }
    const divisions = {byPriority: new Map<number, RoomDivision>(), minions};
    this.#divisions.set(service, divisions);
    return divisions;
  }

  #describeClaim(step: StepState, minions: readonly MinionState[], limitMilli: number): ShareClaim {
    const waiting = isInBackoff(step, this.#now) ? [] : this.#listStartable(step);
    return {
      atWork: countTasksAtWork(this.#fleet, step),
      isPlaceable: step.shape.resources.cpuMilli <= limitMilli && isPlaceable(step, minions),
      step,
      tasks: waiting.filter((index) => !isInterruptedTask(step, index)).length,
    };
  }

  #recordWait(step: StepState, reason: StartWaitReason, room: LongRunningRoom): void {
    const waitedMs = this.#wall - step.job.dueAt(step.occurrence);
    this.#fleet.startWaits.record({reason, room, step, waitedMs}, this.#fleet.events, this.#now);
  }
}
