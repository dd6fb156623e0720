/**
 * Lets backfill that is overdue work for a time beside serving tasks that are over their targets. Two promises meet:
 * accepted work does not stay without a run, and backfill does not keep a tail latency over its target for longer than
 * the platform allows. Neither goes first: such backfill works in turns that are shorter than that time, with pauses
 * that are shorter than the time after which a job without a run is lost. A turn is that of the minion, whatever works in it.
 * A serving task that is over its target without backfill too is not harmed by it in that sense, so that its turn lasts
 * on. Work that saves nothing would do in vain what it does in such a turn: it works to its end if its progress shows that
 * this comes in time, and is stopped as soon as it shows that it does not.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';

import type {BackfillExposure} from './BackfillExposure.ts';
import type {EvictionBounds} from './EvictionTimes.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {computeEvictAllDelay} from './EvictionTimes.ts';
import {hasBackfill} from './MinionState.ts';
import {isOverTarget} from './TailLevel.ts';

/** Longest time in milliseconds without backfill before a minion gets its next turn; a report shows it by then. */
const PAUSE_MS = 1_000;
/** Time in milliseconds from the stop of a run that would not end in time to the next one of its step, less than 3 s. */
const HOPELESS_PAUSE_MS = 2_500;
/** Shortest time in milliseconds after which the progress of a run tells when it ends. */
const MIN_PROGRESS_MS = 500;
/** Longest time in milliseconds for which a tail latency may be over its target before a report shows it. */
const REPORT_DELAY_MS = 800;
/** Time in milliseconds that the calls of a stop add to it. */
const STOP_CALLS_MS = 300;
const FULL_PERCENT = 100;
/** Minions without backfill whose tasks have to be over their targets too. */
const MIN_WITNESSES = 2;
/** Progress from which a run that would not end in time is worth its turn, as the load may fall meanwhile. */
const WORTHWHILE_PERCENT = 35;

/** Returns when a run ends if it goes on as it has until now; undefined while that is not known, or it saves its work. */
function findEnd({percent, sentAt, step}: Run, now: Instant): number | undefined {
  const workedMs = now - sentAt;
  return step.shape.checkpoints || workedMs < MIN_PROGRESS_MS || percent <= 0
    ? undefined
    : now + (workedMs * (FULL_PERCENT - percent)) / percent;
}

/** Whether a run is in a turn, and since when the tasks beside it were last over their targets without it. */
export interface Tolerance {
  readonly harmlessAt: Instant | undefined;
  readonly toleratedSince: Instant | undefined;
}

export class ToleratedBackfill {
  readonly #exposure: BackfillExposure;
  /** When the serving tasks beside a run were last over their targets without it. */
  readonly #harmlessAt = new WeakMap<Run, Instant>();
  /** Time in milliseconds in which a run has to end by itself that keeps tasks over their targets. */
  readonly #endMs: number;
  /** Whether serving runs were over their targets when a report last showed them without backfill. */
  readonly #overAlone = new WeakMap<Run, boolean>();
  /** Until when steps pause of which a run would not have ended in time. */
  readonly #pausedUntil = new WeakMap<StepState, Instant>();
  /** Time in milliseconds for which a run may work beside tasks that it keeps over their targets. */
  readonly #turnMs: number;
  /** Until when runs may work beside tasks over their targets, as of the last reports of their minions. */
  readonly #workUntil = new WeakMap<Run, number>();

  constructor(bounds: EvictionBounds, exposure: BackfillExposure) {
    this.#exposure = exposure;
    this.#turnMs = computeEvictAllDelay(bounds);
    this.#endMs = bounds.maxExceededTargetMs - bounds.stopTimeoutMs - STOP_CALLS_MS;
  }

  /** Whether a minion may get overdue backfill: one run at a time, and beside tasks over their targets alone. */
  mayStart(minion: MinionState, step: StepState, isNearTarget: boolean, now: Instant): boolean {
    if (now < (this.#pausedUntil.get(step) ?? -Infinity)) {
      return false;
    }
    if (isNearTarget && !this.hasPaused(minion, now)) {
      return false;
    }
    for (const {step, toleratedSince} of minion.runs) {
      if (step.shape.fillsSpareCpu && (isNearTarget || toleratedSince !== undefined)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a minion has had no backfill for long enough that its next one begins another turn. */
  hasPaused(minion: MinionState, now: Instant): boolean {
    return this.#exposure.computeClearMs(minion, now) >= PAUSE_MS && !hasBackfill(minion);
  }

  /** Returns whether a run may work on beside tasks that a report shows near or over their targets. */
  isTolerated(fleet: Fleet, run: Run, now: Instant): boolean {
    const minion = fleet.minions.get(run.minion);
    if (run.toleratedSince === undefined || minion === undefined) {
      return false;
    }
    const workUntil = this.#findWorkUntil(fleet, run, minion, now);
    this.#workUntil.set(run, workUntil);
    return now < workUntil;
  }

  /** Whether a run may work on until the next report of its minion. */
  isInTurn(run: Run, now: Instant): boolean {
    const {toleratedSince = -Infinity} = run;
    return now < (this.#workUntil.get(run) ?? toleratedSince + this.#turnMs);
  }

  /** Records that a turn is over: a run that saves nothing and would not have ended gets the next one later. */
  endTurn(run: Run, now: Instant): void {
    if (run.toleratedSince !== undefined && findEnd(run, now) !== undefined) {
      this.#pausedUntil.set(run.step, after(now, HOPELESS_PAUSE_MS));
    }
  }

  /** Returns why a run may work beside tasks that are near or over their targets. */
  describe(run: Run): Tolerance {
    return {harmlessAt: this.#harmlessAt.get(run), toleratedSince: run.toleratedSince};
  }

  /** Called for each report of a minion. */
  review(minion: MinionState, now: Instant): void {
    if (this.#exposure.isClear(minion, now)) {
      for (const run of minion.runs) {
        this.#overAlone.set(run, isOverTarget(run));
      }
    }
  }

  #findWorkUntil(fleet: Fleet, run: Run, minion: MinionState, now: Instant): number {
    if (this.#areOverAlone(fleet, minion, now)) {
      this.#harmlessAt.set(run, now);
      return now + this.#turnMs;
    }
    const since = this.#exposure.findSince(minion) ?? now;
    const harmlessAt = this.#harmlessAt.get(run) ?? -Infinity;
    const turnUntil = Math.max(since, harmlessAt) + this.#turnMs;
    const endsAt = findEnd(run, now);
    if (endsAt === undefined) {
      return turnUntil;
    }
    const endUntil = Math.max(since, harmlessAt - REPORT_DELAY_MS) + this.#endMs;
    if (endsAt <= endUntil) {
      return endUntil;
    }
    return run.percent >= WORTHWHILE_PERCENT ? turnUntil : now;
  }

  /** Whether all tasks on the minion that are over their targets would be without backfill. */
  #areOverAlone(fleet: Fleet, {runs}: MinionState, now: Instant): boolean {
    const over = [...runs].filter((run) => isOverTarget(run));
    return over.length > 0 && over.every((run) => this.#isOverAlone(fleet, run, now));
  }

  /**
   * Whether a task is over its target without any backfill beside it: it was when its minion last had none, and so are
   * now all tasks of its step, and so of its load, that have none: two at least, as one may be on a slow minion.
   */
  #isOverAlone(fleet: Fleet, run: Run, now: Instant): boolean {
    const clear = [...run.step.runs()].filter(({minion: id}) => {
      const minion = fleet.minions.get(id);
      return minion !== undefined && this.#exposure.isClear(minion, now);
    });
    return (
      this.#overAlone.get(run) === true &&
      clear.length >= MIN_WITNESSES &&
      clear.every((other) => isOverTarget(other))
    );
  }
}
