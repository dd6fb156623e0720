/** Runs of tasks in the owner's memory. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import type {Checkpoint, RunNumber, TaskRef} from './JobModel.ts';
import type {StepState} from './StepState.ts';

/**
 * `starting`: not yet confirmed by its minion. `running`: confirmed by its minion. `stopping`: a
 * stop was ordered; the run keeps its capacity until its result is listed.
 */
export type RunPhase = 'running' | 'starting' | 'stopping';

/**
 * `order`: this owner started the run. `record`: a former owner's roster names it. `listing`: its
 * minion has listed it.
 */
export type RunSource = 'listing' | 'order' | 'record';

/** A run of a task that is live or may be, or is over and its result is not known yet. */
export interface Run {
  checkpoint: Checkpoint | undefined;
  /** When the minion confirmed the run; undefined before. */
  confirmedAt: Instant | undefined;
  /** Whether its minion has listed it before this owner knew of it. */
  isAdopted?: boolean;
  /** Whether little or nothing else of its job was likely to be at work when it was placed; absent for no. */
  isAwaited?: boolean;
  /** Whether the response to its start shows the clock for which the lease was computed. */
  isClockConfirmed?: boolean;
  /** How this owner knows of the run. */
  knownFrom: RunSource;
  /** When its lease has certainly expired, if a record tells that it ends before others of its minion. */
  leasedUntil?: Instant | undefined;
  readonly minion: MinionId;
  readonly number: RunNumber;
  /** Share of its full speed at which the minion lets the run work, in percent from 0 to 100. */
  paceShare: number;
  /** Last reported progress in percent; 100 for a long-running task that is working. */
  percent: number;
  phase: RunPhase;
  /** When its start was decided on. */
  readonly placedAt: Instant;
  /** When it was decided on; its start may be sent more than once. */
  readonly plannedAt: Instant;
  /** Tail latency in milliseconds of a serving run; processor use in thousandths of a core of others. */
  reading: number | undefined;
  /** When the start was last sent; when it was decided on before that. */
  sentAt: Instant;
  readonly step: StepState;
  readonly task: TaskRef;
  /** When it was started for an overdue step of backfill, for which serving tasks have to bear it; absent otherwise. */
  toleratedSince?: Instant;
  /** When the latest of its starts without a response was sent; undefined when each had one. */
  unansweredAt?: Instant;
}
