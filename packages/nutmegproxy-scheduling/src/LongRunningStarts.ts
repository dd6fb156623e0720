/**
 * Decides which tasks of long-running jobs may start in one planning round. They start one by one,
 * so that a wide job works with what there is. While one of them waits for the limit, no later job
 * of its service takes what becomes free.
 */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {ServiceId, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {LongRunningRoom} from './LongRunningRoom.ts';
import type {MinionState} from './MinionState.ts';
import type {StartWaitReason} from './StartWaitLog.ts';

import {releaseBackfill} from './BackfillRelease.ts';
import {isInterruptedTask} from './InterruptedTaskStarts.ts';
import {measureLongRunningRoom} from './LongRunningRoom.ts';

/**
 * Returns those of a long-running step's startable tasks that may start: interrupted ones in any
 * case, others within the limit, and none of these while an earlier job is held.
 */
function admitTasks(
  step: StepState,
  startable: readonly number[],
  {limitMilli, reservedMilli}: LongRunningRoom,
  isHeld: boolean,
): readonly number[] {
  const {cpuMilli} = step.shape.resources;
  const interrupted = startable.filter((index) => isInterruptedTask(step, index));
  const others = startable.filter((index) => !isInterruptedTask(step, index));
  const usedMilli = reservedMilli + interrupted.length * cpuMilli;
  const freeTasks = Math.floor((limitMilli - usedMilli) / Math.max(1, cpuMilli));
  return [...interrupted, ...others.slice(0, isHeld ? 0 : Math.max(0, freeTasks))];
}

/** The starts of long-running tasks in one planning round. */
export class LongRunningStarts {
  readonly #fleet: Fleet;
  /** Services in which a long-running task waits for the limit. */
  readonly #heldServices = new Set<ServiceId>();
  readonly #now: Instant;
  readonly #wall: WallTime;

  constructor(fleet: Fleet, now: Instant, wall: WallTime) {
    this.#fleet = fleet;
    this.#now = now;
    this.#wall = wall;
  }

  /**
   * Returns the tasks that may start without taking capacity that is kept free for short work.
   *
   * @example
   * for (const index of starts.admit(step, waiting, minions)) place(step, index);
   */
  admit(
    step: StepState,
    startable: readonly number[],
    minions: readonly MinionState[],
  ): readonly number[] {
    const room = measureLongRunningRoom(minions);
    const admitted = admitTasks(step, startable, room, this.#heldServices.has(this.#service(step)));
    if (admitted.length < startable.length) {
      this.#recordWait(step, 'limit', room);
    }
    return admitted;
  }

  /** Holds later jobs until the step's tasks fit, unless one of these exceeds the limit by itself. */
  holdLaterJobs(step: StepState, minions: readonly MinionState[]): void {
    if (step.shape.resources.cpuMilli <= measureLongRunningRoom(minions).limitMilli) {
      this.#heldServices.add(this.#service(step));
    }
  }

  /** Logs that no minion can take a task of the step, and makes room for one that was interrupted. */
  recordNoMinion(step: StepState, minions: readonly MinionState[]): void {
    releaseBackfill(this.#fleet, step, minions, this.#now);
    this.#recordWait(step, 'no-minion', measureLongRunningRoom(minions));
  }

  #recordWait(step: StepState, reason: StartWaitReason, room: LongRunningRoom): void {
    const waitedMs = this.#wall - step.job.dueAt(step.occurrence);
    this.#fleet.startWaits.record({reason, room, step, waitedMs}, this.#fleet.events, this.#now);
  }

  #service(step: StepState): ServiceId {
    return this.#fleet.resolveQueuePolicy(step.job).service;
  }
}
