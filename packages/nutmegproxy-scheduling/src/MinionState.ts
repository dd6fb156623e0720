/** One life of a minion: what it is, what runs there, and how much room is left. */

import type {Branded, DataCentreId, Instant, MinionId, RackId} from '@nutmegproxy/core';
import type {Resources, Run, ServiceId, StepShape, StepState} from '@nutmegproxy/jobs';

import {LeaseClock} from './LeaseClock.ts';
import {MinionTrust} from './MinionTrust.ts';

/** Physical machine under a minion; keeps its rack and room when the minion restarts. */
export type MachineId = Branded<string, 'MachineId'>;

/** A minion as it describes itself. */
export interface MinionDescription {
  readonly address: string;
  /** Start of this life in Unix milliseconds; undefined when it is not told. */
  readonly bornAt: number | undefined;
  readonly capacity: Resources;
  readonly dataCentre: DataCentreId;
  readonly id: MinionId;
  readonly isDraining: boolean;
  readonly labels: readonly string[];
  /** Time that a draining minion has left at least, in milliseconds. */
  readonly leavesInMs: number | undefined;
  readonly machine: MachineId | undefined;
  readonly rack: RackId | undefined;
  readonly service: ServiceId;
}

/** Time in milliseconds for which a measured speed counts. */
const SPEED_VALID_MS = 3_000;
/** Share of their reservation that serving tasks use on average. */
const SERVING_UTILIZATION = 0.5;

/** Uses of a minion's processors that are told apart when work is placed. */
export type WorkKind = 'filling' | 'ordinary' | 'serving';

/** The kind of work that the tasks of a run's step are. */
export function classifyWork(shape: StepShape): WorkKind {
  if (shape.fillsSpareCpu) {
    return 'filling';
  }
  return shape.longRunning ? 'serving' : 'ordinary';
}

export class MinionState {
  readonly leaseClock = new LeaseClock();
  description: MinionDescription;
  /** When it was first known to leave; undefined while it is not. */
  drainingSince: Instant | undefined;
  /** Processors that filling tasks ask for, in thousandths of a core. */
  backfillCpuMilli = 0;
  /** Runs that are not in this owner's books; nothing is placed beside them. */
  unknownRuns = 0;
  /** Since when its entry is missing; a listing may lapse though the minion lives. */
  unlistedSince: Instant | undefined;
  /** Steps with runs here whose ends are not known. */
  readonly uncertainSteps = new Set<StepState>();
  /** Whether it has told this owner what runs there. */
  hasReported = false;
  /** Whether the store's roster names it, so that the next owner will ask what runs there. */
  isRegistered = false;
  /** Whether the store says that it is granted no holds; they begin again once that is withdrawn. */
  isRecordedUnreachable = false;
  /** When it last answered; undefined before. */
  lastAnswerAt: Instant | undefined;
  /** Calls without an answer since the last answer. */
  missedCalls = 0;
  /** Room that is taken, by all work but the processors of filling tasks. */
  reserved = {cpuMilli: 0, gpus: 0, memoryMb: 0};
  readonly runs = new Set<Run>();
  /** Processors reserved by serving tasks, in thousandths of a core. */
  servingCpuMilli = 0;
  servingRuns = 0;
  readonly trust = new MinionTrust();
  #speed = 1;
  #speedAt = -Infinity;

  constructor(description: MinionDescription) {
    this.description = description;
  }

  get id(): MinionId {
    return this.description.id;
  }

  /** Processors that are expected to be unused, in thousandths of a core. */
  get spareCpuMilli(): number {
    const unusedByServing = this.servingCpuMilli * (1 - SERVING_UTILIZATION);
    const {cpuMilli} = this.description.capacity;
    return cpuMilli - this.reserved.cpuMilli + unusedByServing - this.backfillCpuMilli;
  }

  /** Speed of its runs against what is expected, 1 when nothing speaks against it. */
  speed(now: Instant): number {
    // An old measurement gives way, so that a minion that has recovered is tried again.
    return now - this.#speedAt < SPEED_VALID_MS ? this.#speed : 1;
  }

  /** Notes a measured speed with a weight from 0 to 1. */
  recordSpeed(speed: number, weight: number, now: Instant): void {
    this.#speed = this.speed(now) * (1 - weight) + speed * weight;
    this.#speedAt = now;
  }

  addRun(run: Run): void {
    this.runs.add(run);
    this.#adjustReservations(run, 1);
  }

  /** Whether a task of the shape fits in the room that is not reserved. */
  hasCapacity({fillsSpareCpu, resources}: StepShape): boolean {
    const {capacity} = this.description;
    const cpuMilli = fillsSpareCpu ? 0 : resources.cpuMilli;
    return (
      this.reserved.cpuMilli + cpuMilli <= capacity.cpuMilli &&
      this.reserved.memoryMb + resources.memoryMb <= capacity.memoryMb &&
      this.reserved.gpus + resources.gpus <= capacity.gpus
    );
  }

  removeRun(run: Run): void {
    if (this.runs.delete(run)) {
      this.#adjustReservations(run, -1);
    }
  }

  #adjustReservations({step: {shape}}: Run, sign: -1 | 1): void {
    const {cpuMilli, gpus, memoryMb} = shape.resources;
    this.reserved.gpus += sign * gpus;
    this.reserved.memoryMb += sign * memoryMb;
    const kind = classifyWork(shape);
    if (kind === 'filling') {
      this.backfillCpuMilli += sign * cpuMilli;
      return;
    }
    this.reserved.cpuMilli += sign * cpuMilli;
    if (kind === 'serving') {
      this.servingCpuMilli += sign * cpuMilli;
      this.servingRuns += sign;
    }
  }
}
