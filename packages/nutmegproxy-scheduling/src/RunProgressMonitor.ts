/** Detects slow minions and stalled runs from the progress that minions report. */

import type {Instant, PlatformBounds} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {DurationEstimator} from './DurationEstimator.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {isTrialRun} from './MinionAvailability.ts';
import {endTrial, quarantineMinion} from './MinionQuarantine.ts';

/** Time in milliseconds without progress after which a run is stalled; tasks report it sooner. */
const STALL_TIMEOUT_MS = 1_800;
/** Part of that time in milliseconds in which a run may resume from its checkpoint. */
const STALL_RESTORE_MS = 600;
/** Multiple of the expected duration from which a run is overdue. */
const OVERDUE_RATIO = 1.5;
/** Time in milliseconds for which a run goes on without failing on a sound minion. */
const TRIAL_RUN_MS = 3_000;
/** Minimum time in milliseconds between two reports from which a speed is computed. */
const MIN_SPEED_INTERVAL_MS = 300;
/** Weight of a new measurement in the moving average of a minion's speed. */
const SPEED_SMOOTHING = 0.35;
/** Upper bound on one measured speed, since estimates may be far too long. */
const MAX_SPEED = 2;

/** Progress of a run at an earlier report. */
interface ProgressSample {
  readonly at: Instant;
  readonly percent: number;
}

export class RunProgressMonitor {
  readonly #estimator: DurationEstimator;
  /** Runs that have made progress from one listing to another. */
  readonly #progressing = new WeakSet<Run>();
  readonly #restoreMs: number;
  readonly #samples = new WeakMap<Run, ProgressSample>();

  constructor(estimator: DurationEstimator, {restoreMs}: Pick<PlatformBounds, 'restoreMs'>) {
    this.#estimator = estimator;
    this.#restoreMs = restoreMs;
  }

  /**
   * Returns the time in milliseconds until the first run of the minion is overdue; `Infinity`
   * without runs that end.
   */
  overdueInMs(fleet: Fleet, minion: MinionState, now: Instant): number {
    let least = Infinity;
    for (const run of minion.runs) {
      if (!run.step.shape.longRunning) {
        const workMs = this.#estimator.estimateRunMs(fleet, run) * OVERDUE_RATIO;
        least = Math.min(least, workMs - (now - run.sentAt));
      }
    }
    return least;
  }

  /** Measures the minion's speed from its latest reports, stops stalled runs and ends its trial. */
  checkProgress(fleet: Fleet, minion: MinionState, now: Instant): void {
    let hasStalled = false;
    for (const run of [...minion.runs]) {
      if (run.phase !== 'running' || run.percent >= 100) {
        continue;
      }
      const previous = this.#samples.get(run);
      if (previous === undefined || run.percent < previous.percent) {
        this.#samples.set(run, {at: now, percent: run.percent});
      } else if (run.percent > previous.percent) {
        this.#progressing.add(run);
        this.#measureSpeed(fleet, minion, run, previous, now);
      } else if (now - previous.at >= this.#findStallTimeoutMs(run) && run.paceShare > 0) {
        run.step.avoid(run.task.index, minion.id, now);
        fleet.stopRun(run, 'stalled');
        // A backfill run may stall for lack of processors, which is no fault of the minion.
        hasStalled ||= !run.step.shape.fillsSpareCpu || minion.spareCpuMilli > 0;
      }
    }
    if (hasStalled) {
      quarantineMinion(fleet, minion, 'stalls', now);
      return;
    }
    const proof = this.#findPassedTrial(minion, now);
    if (proof !== undefined) {
      endTrial(fleet, minion, proof);
    }
  }

  /** Returns the time without progress after which the run is stalled; longer while it may resume. */
  #findStallTimeoutMs(run: Run): number {
    const mayResume = run.checkpoint !== undefined && !this.#progressing.has(run);
    return STALL_TIMEOUT_MS + (mayResume ? Math.max(0, this.#restoreMs - STALL_RESTORE_MS) : 0);
  }

  /** Returns the run that shows that the minion is sound, once it has worked for some time. */
  #findPassedTrial(minion: MinionState, now: Instant): Run | undefined {
    return [...minion.runs].find(
      (run) =>
        isTrialRun(minion, run) &&
        run.phase === 'running' &&
        (run.percent >= 100 || this.#progressing.has(run)) &&
        now - (run.confirmedAt ?? now) >= TRIAL_RUN_MS,
    );
  }

  #measureSpeed(
    fleet: Fleet,
    minion: MinionState,
    run: Run,
    previous: ProgressSample,
    now: Instant,
  ): void {
    const intervalMs = now - previous.at;
    if (intervalMs < MIN_SPEED_INTERVAL_MS) {
      return;
    }
    this.#samples.set(run, {at: now, percent: run.percent});
    const {shape} = run.step;
    if (shape.fillsSpareCpu || shape.longRunning) {
      return;
    }
    const progress = (run.percent - previous.percent) / 100;
    const workMs = this.#estimator.estimateRunMs(fleet, run) * progress;
    const speed = Math.min(MAX_SPEED, workMs / intervalMs);
    minion.recordSpeed(speed, SPEED_SMOOTHING, now);
  }
}
