/** Logs why long-running jobs wait to start, at a bounded rate for each step. */

import type {EventSink, Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {LongRunningRoom} from './LongRunningRoom.ts';

import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Wait in milliseconds from which a step is logged. */
const MIN_WAIT_MS = 1_000;
/** Minimum time in milliseconds between two lines about a step. */
const REPEAT_INTERVAL_MS = 5_000;

/** `limit`: the rest of the fleet is kept free for short work. `no-minion`: no minion can take a task. */
export type StartWaitReason = 'limit' | 'no-minion';

/** A long-running step that can't start now. */
export interface StartWait {
  readonly reason: StartWaitReason;
  readonly room: LongRunningRoom;
  readonly step: StepState;
  /** Time in milliseconds since the job was due. */
  readonly waitedMs: number;
}

function toCores(cpuMilli: number): number {
  return Math.round(cpuMilli / 1000);
}

export class StartWaitLog {
  readonly #recordedAt = new WeakMap<StepState, Instant>();

  /** Logs that the step waits, unless it was logged a short time ago. */
  record({reason, room, step, waitedMs}: StartWait, events: EventSink, now: Instant): void {
    const recordedAt = this.#recordedAt.get(step) ?? -Infinity;
    if (waitedMs < MIN_WAIT_MS || now - recordedAt < REPEAT_INTERVAL_MS) {
      return;
    }
    this.#recordedAt.set(step, now);
    const {job, shape, waiting} = step;
    events.record(SCHEDULING_EVENTS.LONG_RUNNING_JOB_WAITING, {
      capacityCores: toCores(room.capacityMilli),
      job: job.id,
      largestFreeMilli: room.largestFreeMilli,
      largestLeftMilli: room.largestLeftMilli,
      limitCores: toCores(room.limitMilli),
      reason,
      reservedCores: toCores(room.reservedMilli),
      servingCores: toCores(room.servingMilli),
      taskMilli: shape.resources.cpuMilli,
      tasks: shape.count,
      waitedMs: Math.round(waitedMs),
      waitingCores: toCores(waiting.size * shape.resources.cpuMilli),
      waitingTasks: waiting.size,
    });
  }
}
