/**
 * Lets backfill that is overdue work for a time beside serving tasks that are over their targets. Two promises meet:
 * accepted work does not stay without a run, and backfill does not keep a tail latency over its target for longer than
 * the platform allows. Neither goes first: such backfill works in turns that are shorter than that time, with pauses
 * that are shorter than the time after which a job without a run is lost. A serving task that is over its target
 * without backfill too is not harmed by it in that sense, so that its turn lasts on. Work that saves nothing would do in
 * vain what it does in such a turn: it works to its end if its progress shows that this comes in time, and is stopped as
 * soon as it shows that it does not.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import {after} from '@nutmegproxy/core';

import type {EvictionBounds} from './EvictionTimes.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {computeEvictAllDelay} from './EvictionTimes.ts';
import {hasBackfill} from './MinionState.ts';

/** Longest time in milliseconds without backfill before a minion gets its next turn; a report shows it by then. */
const PAUSE_MS = 1_000;
/** Time in milliseconds from the stop of a run that would not end in time to the next one of its step, less than 3 s. */
const HOPELESS_PAUSE_MS = 2_500;
/** Shortest time in milliseconds after which the progress of a run tells when it ends. */
const MIN_PROGRESS_MS = 500;
/** Longest time in milliseconds for which a tail latency may be over its target before a report shows it. */
const REPORT_DELAY_MS = 800;
/** Time in milliseconds until the next report of a minion with such a tail latency, which shows whether the run lags. */
const REPORT_INTERVAL_MS = 300;
/** Time in milliseconds after which a report covers no time from before the last one. */
const CLEAR_REPORT_MS = REPORT_DELAY_MS + REPORT_INTERVAL_MS;
const FULL_PERCENT = 100;
/** Progress from which a run that would not end in time is worth its turn, as the load may fall meanwhile. */
const WORTHWHILE_PERCENT = 35;

function isOverTarget({reading = 0, step}: Run): boolean {
  const {tailTargetMs = Infinity} = step.shape;
  return reading >= tailTargetMs;
}

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
  /** When a report last came from each minion that had backfill. */
  readonly #backfillAt = new WeakMap<MinionState, Instant>();
  /** Since when a review has shown minions without backfill that have had a turn; Infinity while they have backfill. */
  readonly #clearSince = new WeakMap<MinionState, number>();
  /** When the serving tasks beside a run were last over their targets without it. */
  readonly #harmlessAt = new WeakMap<Run, Instant>();
  /** Time in milliseconds in which a run has to end by itself that keeps tasks over their targets. */
  readonly #endMs: number;
  /** Until when steps pause of which a run would not have ended in time. */
  readonly #pausedUntil = new WeakMap<StepState, Instant>();
  /** Time in milliseconds for which a run may work beside tasks that it keeps over their targets. */
  readonly #turnMs: number;

  constructor(bounds: EvictionBounds) {
    this.#turnMs = computeEvictAllDelay(bounds);
    this.#endMs = bounds.maxExceededTargetMs - bounds.stopTimeoutMs - REPORT_INTERVAL_MS;
  }

  /** Whether a minion may get overdue backfill: one run at a time, and beside tasks over their targets alone. */
  mayStart(minion: MinionState, step: StepState, isNearTarget: boolean, now: Instant): boolean {
    if (now < (this.#pausedUntil.get(step) ?? -Infinity)) {
      return false;
    }
    const clearSince = this.#clearSince.get(minion);
    if (clearSince !== undefined && now - clearSince < PAUSE_MS) {
      return false;
    }
    for (const {step, toleratedSince} of minion.runs) {
      if (step.shape.fillsSpareCpu && (isNearTarget || toleratedSince !== undefined)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a run may work on beside tasks that are near or over their targets. */
  isTolerated(fleet: Fleet, run: Run, nearTargetSince: Instant, now: Instant): boolean {
    const {toleratedSince} = run;
    const minion = fleet.minions.get(run.minion);
    if (toleratedSince === undefined || minion === undefined) {
      return false;
    }
    if (this.#areOverAlone(fleet, minion, now)) {
      this.#harmlessAt.set(run, now);
    }
    const harmlessAt = this.#harmlessAt.get(run) ?? -Infinity;
    const seenAt = Math.max(nearTargetSince, harmlessAt);
    const endsAt = harmlessAt === now ? undefined : findEnd(run, now);
    const isInTurn = now - Math.max(toleratedSince, seenAt) < this.#turnMs;
    if (endsAt === undefined) {
      return isInTurn;
    }
    const endsInTime = endsAt - Math.max(toleratedSince, seenAt - REPORT_DELAY_MS) <= this.#endMs;
    return endsInTime || (isInTurn && run.percent >= WORTHWHILE_PERCENT);
  }

  /** Records that a turn is over: the minion gets the next one once it has been without backfill. */
  endTurn(minion: MinionState, run: Run, now: Instant): void {
    if (run.toleratedSince === undefined) {
      return;
    }
    this.#clearSince.set(minion, Infinity);
    if (findEnd(run, now) !== undefined) {
      this.#pausedUntil.set(run.step, after(now, HOPELESS_PAUSE_MS));
    }
  }

  /** Returns why a run may work beside tasks that are near or over their targets. */
  describe(run: Run): Tolerance {
    return {harmlessAt: this.#harmlessAt.get(run), toleratedSince: run.toleratedSince};
  }

  /** Called for each report of a minion. */
  review(minion: MinionState, isNearTarget: boolean, now: Instant): void {
    if (hasBackfill(minion)) {
      this.#backfillAt.set(minion, now);
    }
    const clearSince = this.#clearSince.get(minion);
    if (clearSince === undefined || hasBackfill(minion)) {
      return;
    }
    if (isNearTarget) {
      this.#clearSince.set(minion, Math.min(clearSince, now));
    } else {
      this.#clearSince.delete(minion);
    }
  }

  /** Whether all tasks on the minion that are over their targets would be without backfill. */
  #areOverAlone(fleet: Fleet, {runs}: MinionState, now: Instant): boolean {
    const over = [...runs].filter((run) => isOverTarget(run));
    return over.length > 0 && over.every((run) => this.#isOverAlone(fleet, run, now));
  }

  /** Whether a task of the same step, and so of the same load, is over its target without any backfill beside it. */
  #isOverAlone(fleet: Fleet, {step}: Run, now: Instant): boolean {
    return [...step.runs()].some((run) => {
      const minion = fleet.minions.get(run.minion);
      return minion !== undefined && isOverTarget(run) && this.#isClear(minion, now);
    });
  }

  /** Whether the last report of a minion shows nothing of former backfill. */
  #isClear(minion: MinionState, now: Instant): boolean {
    const backfillAt = this.#backfillAt.get(minion) ?? -Infinity;
    return !hasBackfill(minion) && now - backfillAt >= CLEAR_REPORT_MS;
  }
}
