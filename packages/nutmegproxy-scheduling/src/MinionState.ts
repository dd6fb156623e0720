/** State of one incarnation of a minion: its description, its runs and its reserved resources. */

import type {Branded, DataCentreId, Instant, MinionId, RackId} from '@nutmegproxy/core';
import type {Resources, Run, ServiceId, StepShape, StepState} from '@nutmegproxy/jobs';

import type {ExposedRun, FormerSuspects} from './CrashAttribution.ts';
import type {LeaseTimes} from './LeaseTimes.ts';

import {computeProvenAge, FRESH_RUN_MS, MAX_TRIAL_MS} from './CrashAttribution.ts';
import {LeaseClock} from './LeaseClock.ts';
import {MinionTrust} from './MinionTrust.ts';

/** Physical machine of a minion; its rack and capacity stay when the minion restarts. */
export type MachineId = Branded<string, 'MachineId'>;

/** What a minion reports about itself. */
export interface MinionDescription {
  readonly address: string;
  /** Start of this incarnation in Unix milliseconds; undefined when it is not reported. */
  readonly bornAt: number | undefined;
  /** May shrink below what is reserved, and grow again, while the minion runs. */
  readonly capacity: Resources;
  readonly dataCentre: DataCentreId;
  readonly id: MinionId;
  readonly isDraining: boolean;
  readonly labels: readonly string[];
  /** Minimum time in milliseconds before a draining minion leaves. */
  readonly leavesInMs: number | undefined;
  readonly machine: MachineId | undefined;
  readonly rack: RackId | undefined;
  readonly service: ServiceId;
}

/** Time in milliseconds for which a measured speed is used. */
const SPEED_VALID_MS = 3_000;
/** Share of their reservation that serving tasks use on average. */
const SERVING_UTILIZATION = 0.5;

/**
 * Kinds of work that placement distinguishes. `filling`: backfill on spare processors. `serving`:
 * long-running. `ordinary`: all other work.
 */
export type WorkKind = 'filling' | 'ordinary' | 'serving';

/** Returns the kind of work of a step's tasks. */
export function classifyWork(shape: StepShape): WorkKind {
  if (shape.fillsSpareCpu) {
    return 'filling';
  }
  return shape.longRunning ? 'serving' : 'ordinary';
}

/** Whether backfill runs on a minion, also backfill that is being stopped. */
export function hasBackfill({runs}: Pick<MinionState, 'runs'>): boolean {
  for (const {step} of runs) {
    if (step.shape.fillsSpareCpu) {
      return true;
    }
  }
  return false;
}

export class MinionState {
  readonly leaseClock: LeaseClock;
  description: MinionDescription;
  /** When it became known when the minion will leave; undefined while it does not drain. */
  drainingSince: Instant | undefined;
  /** Processors requested by backfill tasks, in thousandths of a core. */
  backfillCpuMilli = 0;
  /** Until when it gets no new backfill, as what has stopped there makes room for other work. */
  backfillHeldUntil = -Infinity as Instant;
  /** Number of backfill runs that were added so far; shows whether some came and went between two reports. */
  backfillStarts = 0;
  /** Number of runs that were added or removed so far; shows whether a derived value is current. */
  runChanges = 0;
  /** Number of runs that belong to no known task; nothing is placed on the minion beside them. */
  unknownRuns = 0;
  /** Since when its entry is missing; an entry may expire although the minion is alive. */
  unlistedSince: Instant | undefined;
  /** Steps with runs on this minion whose results are not known. */
  readonly unknownResultSteps = new Set<StepState>();
  /**
   * Whether this owner knows its runs. False for a minion of a former owner until it reports, a record
   * names its runs or its leases have expired: others get no run before the stored roster names them.
   */
  areRunsKnown = true;
  /** Runs that are over and whose results it has not listed yet; they reserve nothing. */
  readonly endedRuns = new Set<Run>();
  /** Whether it may have more results than it listed last. */
  mayOmitResults = false;
  /** Whether it has reported its runs to this owner. */
  hasReported = false;
  /** Whether the store names it as used by this owner, so that the next one takes it for running something. */
  isRegistered = false;
  /** Whether the store names its runs because it drains. It gets no work until that is removed. */
  isRecordedDraining = false;
  /** Whether the store records it as unreachable. It gets no leases until that entry is removed. */
  isRecordedUnreachable = false;
  /** When it last responded; undefined before its first response. */
  lastAnswerAt: Instant | undefined;
  /** Start of the latest known incarnation in Unix milliseconds. */
  bornAt: number | undefined;
  /** Start of the incarnation that it reported itself last; undefined before. */
  listedBornAt: number | undefined;
  /** Runs that were live when its lease expired, until it responds. */
  lapsedRuns: readonly ExposedRun[] = [];
  /**
   * Runs that a former owner's record names as suspects if the minion has crashed since; undefined once
   * it has responded.
   */
  formerSuspects: FormerSuspects | undefined;
  /** Calls without a response since the last response. */
  missedCalls = 0;
  /** When the first of these calls failed; undefined while it responds. */
  silentSince: Instant | undefined;
  /** Whether the first of these calls timed out, so that it may have been cut off before it crashed. */
  mayBeCutOff = false;
  /** Runs of suspected tasks that were live until their trials ended. */
  readonly passedTrials = new WeakSet<Run>();
  /** Runs of suspected tasks that started without a trial, for as long as one would take. */
  readonly watchedRuns = new WeakSet<Run>();
  /** Run of a suspected task, beside which nothing is placed. */
  trialRun: Run | undefined;
  /** Reserved resources; the processors of backfill tasks are not included. */
  reserved = {cpuMilli: 0, gpus: 0, memoryMb: 0};
  readonly runs = new Set<Run>();
  /** Processors reserved by serving tasks, in thousandths of a core. */
  servingCpuMilli = 0;
  servingRuns = 0;
  readonly trust = new MinionTrust();
  #speed = 1;
  #speedAt = -Infinity;

  constructor(description: MinionDescription, leaseTimes: LeaseTimes) {
    this.leaseClock = new LeaseClock(leaseTimes);
    this.description = description;
    this.bornAt = description.bornAt;
  }

  /** Takes over what the minion says of itself at `now`. */
  update(description: MinionDescription, now: Instant): void {
    const isAsBefore = description.leavesInMs === this.description.leavesInMs;
    const since = isAsBefore ? (this.drainingSince ?? now) : now;
    this.drainingSince = description.isDraining ? since : undefined;
    this.description = description;
  }

  get id(): MinionId {
    return this.description.id;
  }

  /** When it was last known to respond, to a poll or to a start. */
  get lastProofAt(): Instant {
    const confirmed = [...this.runs].map(({confirmedAt}) => confirmedAt ?? -Infinity);
    return Math.max(this.lastAnswerAt ?? -Infinity, ...confirmed) as Instant;
  }

  /** Expected unused processors, in thousandths of a core. */
  get spareCpuMilli(): number {
    const unusedByServing = this.servingCpuMilli * (1 - SERVING_UTILIZATION);
    const {cpuMilli} = this.description.capacity;
    return cpuMilli - this.reserved.cpuMilli + unusedByServing - this.backfillCpuMilli;
  }

  /** Whether its runs reserve more than its capacity, which may have shrunk since they were placed. */
  get isOverCapacity(): boolean {
    const {cpuMilli, gpus, memoryMb} = this.description.capacity;
    return (
      this.reserved.cpuMilli > cpuMilli ||
      this.reserved.memoryMb > memoryMb ||
      this.reserved.gpus > gpus
    );
  }

  /** Returns the speed of its runs relative to their estimates; 1 without a recent measurement. */
  estimateSpeed(now: Instant): number {
    // Old measurements are ignored, so that a minion that has recovered gets work again.
    return now - this.#speedAt < SPEED_VALID_MS ? this.#speed : 1;
  }

  /** Adds a measured speed to the moving average, with a weight from 0 to 1. */
  recordSpeed(speed: number, weight: number, now: Instant): void {
    this.#speed = this.estimateSpeed(now) * (1 - weight) + speed * weight;
    this.#speedAt = now;
  }

  /**
   * Whether it is known to have a label. A new incarnation may have another kind than the one that its
   * entry describes until that is written again.
   */
  hasLabel(label: string): boolean {
    const {bornAt, labels} = this.description;
    const isEntryOutdated = (bornAt ?? Infinity) < (this.listedBornAt ?? -Infinity);
    return !isEntryOutdated && labels.includes(label);
  }

  /** Whether further results follow as those that it listed are acknowledged. */
  get isListingResults(): boolean {
    return this.mayOmitResults && this.missedCalls === 0;
  }

  addRun(run: Run): void {
    this.endedRuns.delete(run);
    this.runs.add(run);
    this.#adjustReservations(run, 1);
  }

  /** Whether a task of the shape fits in the capacity that is not reserved. */
  hasCapacity(shape: StepShape): boolean {
    return this.#fits(shape, this.reserved);
  }

  /** Whether a task of the shape would fit if no backfill ran, of which memory and GPUs are reserved. */
  hasCapacityWithoutBackfill(shape: StepShape): boolean {
    return this.hasCapacityWithout(
      shape,
      [...this.runs].filter(({step}) => step.shape.fillsSpareCpu),
    );
  }

  /** Whether a task of the shape would fit without some backfill runs. */
  hasCapacityWithout(shape: StepShape, backfill: readonly Run[]): boolean {
    const reserved = {...this.reserved};
    for (const {step} of backfill) {
      reserved.gpus -= step.shape.resources.gpus;
      reserved.memoryMb -= step.shape.resources.memoryMb;
    }
    return this.#fits(shape, reserved);
  }

  /** Returns the runs that end when it crashes; `runNumberBase` is the lowest of this owner. */
  listExposedRuns(runNumberBase: number): ExposedRun[] {
    const times = {provenAt: this.lastProofAt, runNumberBase};
    const live = [...this.runs].map((run) => {
      const ageMs = computeProvenAge(run, times);
      const isRecorded = run.step.crashes.trials.get(run.task.index)?.run === run.number;
      const isOnTrial = isRecorded || this.watchedRuns.has(run);
      const hasPassedTrial = ageMs < MAX_TRIAL_MS && this.passedTrials.has(run);
      const isSuspect = ageMs < FRESH_RUN_MS || isOnTrial;
      return {ageMs, hasPassedTrial, isOnTrial, isSuspect, run};
    });
    return [...this.lapsedRuns, ...live];
  }

  /** Releases what a run reserves that is over, and keeps it until its result is listed. */
  endRun(run: Run): void {
    this.removeRun(run);
    this.endedRuns.add(run);
  }

  /** Returns the runs that are live or may be, and those that are over and whose results will not follow. */
  listUnresolvedRuns(): readonly Run[] {
    return [...this.runs, ...(this.isListingResults ? [] : this.endedRuns)];
  }

  removeRun(run: Run): void {
    this.endedRuns.delete(run);
    this.trialRun = this.trialRun === run ? undefined : this.trialRun;
    if (this.runs.delete(run)) {
      this.#adjustReservations(run, -1);
    }
  }

  #fits({fillsSpareCpu, resources}: StepShape, reserved: Resources): boolean {
    const {capacity} = this.description;
    const cpuMilli = fillsSpareCpu ? 0 : resources.cpuMilli;
    return (
      reserved.cpuMilli + cpuMilli <= capacity.cpuMilli &&
      reserved.memoryMb + resources.memoryMb <= capacity.memoryMb &&
      reserved.gpus + resources.gpus <= capacity.gpus
    );
  }

  #adjustReservations({step: {shape}}: Run, sign: -1 | 1): void {
    const {cpuMilli, gpus, memoryMb} = shape.resources;
    this.runChanges += 1;
    this.reserved.gpus += sign * gpus;
    this.reserved.memoryMb += sign * memoryMb;
    const kind = classifyWork(shape);
    if (kind === 'filling') {
      this.backfillStarts += Math.max(0, sign);
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
