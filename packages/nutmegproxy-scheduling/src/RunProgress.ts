/**
 * What the progress of runs tells of their minion, for loads in which some minions are slow or let
 * tasks stand still.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {WorkEstimate} from './WorkEstimate.ts';

/** Time in milliseconds without progress after which a run stands still; tasks show progress sooner. */
const STALL_MS = 1_800;
/** Multiple of the expected duration from which a run is overdue. */
const OVERDUE_RATIO = 1.5;
/** Least time in milliseconds between two reports whose difference tells a speed. */
const SPEED_SPAN_MS = 300;
/** Weight of a new speed. */
const SPEED_RATE = 0.35;
/** Bound on one speed, since estimates may be far too long. */
const MOST_SPEED = 2;

/** Where a run stood at an earlier report. */
interface Mark {
  readonly at: Instant;
  readonly percent: number;
}

export class RunProgress {
  readonly #estimate: WorkEstimate;
  readonly #marks = new WeakMap<Run, Mark>();

  constructor(estimate: WorkEstimate) {
    this.#estimate = estimate;
  }

  /** Time in milliseconds until a run of the minion should have ended, so that its absence tells something. */
  overdueInMs(minion: MinionState, now: Instant): number {
    let least = Infinity;
    for (const run of minion.runs) {
      const {job, shape} = run.step;
      if (!shape.longRunning) {
        const workMs = this.#estimate.taskMs(job.request.queue, shape) * OVERDUE_RATIO;
        least = Math.min(least, workMs - (now - run.sentAt));
      }
    }
    return least;
  }

  /** Compares the newest reports of a minion with earlier ones; stops what stands still. */
  review(fleet: Fleet, minion: MinionState, now: Instant): void {
    let hasStalled = false;
    for (const run of [...minion.runs]) {
      if (run.phase !== 'running' || run.percent >= 100) {
        continue;
      }
      const mark = this.#marks.get(run);
      if (mark === undefined || run.percent < mark.percent) {
        this.#marks.set(run, {at: now, percent: run.percent});
      } else if (run.percent > mark.percent) {
        this.#noteSpeed(minion, run, mark, now);
      } else if (now - mark.at >= STALL_MS && run.paceShare > 0) {
        run.step.avoid(run.task.index, minion.id);
        fleet.stopRun(run, 'stalled');
        // A filling run may stand still for want of processors, which speaks against nobody.
        hasStalled ||= !run.step.shape.fillsSpareCpu || minion.spareCpuMilli > 0;
      }
    }
    if (hasStalled) {
      fleet.distrust(minion, 'stalls', now);
    }
  }

  #noteSpeed(minion: MinionState, run: Run, mark: Mark, now: Instant): void {
    const spanMs = now - mark.at;
    if (spanMs < SPEED_SPAN_MS) {
      return;
    }
    this.#marks.set(run, {at: now, percent: run.percent});
    const {job, shape} = run.step;
    if (shape.fillsSpareCpu || shape.longRunning) {
      return;
    }
    const workMs =
      (this.#estimate.taskMs(job.request.queue, shape) * (run.percent - mark.percent)) / 100;
    const speed = Math.min(MOST_SPEED, workMs / spanMs);
    minion.noteSpeed(speed, SPEED_RATE, now);
  }
}
