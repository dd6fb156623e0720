/**
 * Lets backfill that is overdue work for a time beside serving tasks that are over their targets. Two promises meet:
 * accepted work does not stay without a run, and backfill does not keep a tail latency over its target for longer than
 * the platform allows. Neither goes first: such backfill works in turns that are shorter than that time, with pauses
 * that are shorter than the time after which a job without a run is lost. A serving task that is over its target
 * without backfill too is not harmed by it in that sense, so that its turn lasts on.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

/** Longest time in milliseconds without backfill before a minion gets its next turn; a report shows it by then. */
const PAUSE_MS = 1_000;

function hasBackfill({runs}: MinionState): boolean {
  return [...runs].some(({step}) => step.shape.fillsSpareCpu);
}

function isOverTarget({reading = 0, step}: Run): boolean {
  const {tailTargetMs = Infinity} = step.shape;
  return reading >= tailTargetMs;
}

/** Whether a task of the same step, and so of the same load, is over its target without any backfill beside it. */
function isOverAlone(fleet: Fleet, {step}: Run): boolean {
  return [...step.runs()].some((run) => {
    const minion = fleet.minions.get(run.minion);
    return minion !== undefined && isOverTarget(run) && !hasBackfill(minion);
  });
}

/** Whether all tasks on the minion that are over their targets would be without backfill. */
function areOverAlone(fleet: Fleet, {runs}: MinionState): boolean {
  const over = [...runs].filter((run) => isOverTarget(run));
  return over.length > 0 && over.every((run) => isOverAlone(fleet, run));
}

export class ToleratedBackfill {
  /** Since when a review has shown minions without backfill that have had a turn; Infinity while they have backfill. */
  readonly #clearSince = new WeakMap<MinionState, number>();
  /** When the serving tasks beside a run were last over their targets without it. */
  readonly #harmlessAt = new WeakMap<Run, Instant>();
  /** Time in milliseconds for which a run may work beside tasks that it keeps over their targets. */
  readonly #turnMs: number;

  constructor(turnMs: number) {
    this.#turnMs = turnMs;
  }

  /** Whether a minion may get overdue backfill: one run at a time, and beside tasks over their targets alone. */
  mayStart(minion: MinionState, isNearTarget: boolean, now: Instant): boolean {
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
    if (areOverAlone(fleet, minion)) {
      this.#harmlessAt.set(run, now);
    }
    const harmlessAt = this.#harmlessAt.get(run) ?? -Infinity;
    return now - Math.max(toleratedSince, nearTargetSince, harmlessAt) < this.#turnMs;
  }

  /** Records the end of a turn: the minion gets the next one once it has been without backfill. */
  endTurn(minion: MinionState): void {
    this.#clearSince.set(minion, Infinity);
  }

  /** Called for each report of a minion. */
  review(minion: MinionState, isNearTarget: boolean, now: Instant): void {
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
}
