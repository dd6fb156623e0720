/**
 * Tracks since when backfill may have kept serving tasks of a minion over their targets. What a report shows may have
 * been so since the former report, and to an owner that has just taken over, for any time. Backfill that follows other
 * backfill closely continues its time, since tail latencies do not fall in between.
 */

import type {Instant} from '@nutmegproxy/core';

import type {MinionState} from './MinionState.ts';
import type {TailLevel} from './TailLevel.ts';

import {hasBackfill} from './MinionState.ts';

/** Time in milliseconds without backfill after which a report shows nothing of it. */
const CLEAR_REPORT_MS = 800;

/** What the reports of a minion have shown. */
interface Reports {
  /** Start of the backfill that has worked since without a pause; -Infinity when it is not known, undefined without any. */
  backfillSince: number | undefined;
  /** Number of backfill runs that were added until the last report. */
  backfillStarts: number;
  /** Report that showed no tail latency near its target last; -Infinity before one has. */
  belowAt: number;
  /** Report since which reports have shown no backfill; Infinity while they show some. */
  clearSince: number;
  readonly firstAt: Instant;
  lastAt: Instant;
  level: TailLevel;
  /** Report that showed first that a tail latency is near its target; undefined while none is. */
  nearSince: Instant | undefined;
}

/** Returns when the earliest of the backfill on a minion started; -Infinity if a former owner started it. */
function findEarliestStart({runs}: MinionState): number {
  const starts = [...runs]
    .filter(({step}) => step.shape.fillsSpareCpu)
    .map(({isAdopted, plannedAt}) => (isAdopted === true ? -Infinity : plannedAt));
  return Math.min(...starts);
}

/** Returns since when backfill has worked on a minion that has some, without a pause in which tail latencies fall. */
function findBackfillSince(minion: MinionState, {backfillSince, clearSince}: Reports): number {
  const startedAt = findEarliestStart(minion);
  const hasPaused = startedAt - clearSince >= CLEAR_REPORT_MS;
  return hasPaused ? startedAt : (backfillSince ?? startedAt);
}

/**
 * @example
 * const exposure = new BackfillExposure();
 * exposure.review(minion, 'near', now);
 * exposure.findSince(minion); // -Infinity if it has backfill, as nothing is known of the time before
 */
export class BackfillExposure {
  readonly #reports = new WeakMap<MinionState, Reports>();

  /** Called for each report of a minion. */
  review(minion: MinionState, level: TailLevel, now: Instant): void {
    const reports = this.#reports.get(minion) ?? {
      backfillSince: hasBackfill(minion) ? findEarliestStart(minion) : -Infinity,
      backfillStarts: minion.backfillStarts,
      belowAt: -Infinity,
      clearSince: Infinity,
      firstAt: now,
      lastAt: now,
      level,
      nearSince: undefined,
    };
    this.#reports.set(minion, reports);
    const {backfillStarts, lastAt} = reports;
    reports.backfillStarts = minion.backfillStarts;
    reports.lastAt = now;
    reports.level = level;
    reports.nearSince = level === 'below' ? undefined : (reports.nearSince ?? now);
    reports.belowAt = level === 'below' ? now : reports.belowAt;
    if (hasBackfill(minion)) {
      reports.backfillSince = findBackfillSince(minion, reports);
      reports.clearSince = Infinity;
      return;
    }
    if (backfillStarts !== minion.backfillStarts) {
      // Some has come and gone since the last report.
      reports.backfillSince ??= lastAt;
      reports.clearSince = now;
    }
    reports.clearSince = Math.min(reports.clearSince, now);
    if (this.isClear(minion, now)) {
      reports.backfillSince = undefined;
    }
  }

  /** Whether the last report of a minion shows a tail latency over its target. */
  isOver(minion: MinionState): boolean {
    return this.#reports.get(minion)?.level === 'over';
  }

  /** Returns when this owner got the first report of a minion; undefined before. */
  findFirstReport(minion: MinionState): Instant | undefined {
    return this.#reports.get(minion)?.firstAt;
  }

  /** Returns since when reports show a tail latency near its target; undefined while none is. */
  findNearSince(minion: MinionState): Instant | undefined {
    return this.#reports.get(minion)?.nearSince;
  }

  /**
   * Returns since when a tail latency may have been near its target beside backfill: -Infinity where this owner has seen
   * nothing else, undefined where none is.
   */
  findSince(minion: MinionState): number | undefined {
    const reports = this.#reports.get(minion);
    if (reports?.nearSince === undefined || !hasBackfill(minion)) {
      return undefined;
    }
    return Math.max(reports.belowAt, findBackfillSince(minion, reports));
  }

  /** Returns for how long in milliseconds reports have shown no backfill; negative while they show some. */
  computeClearMs(minion: MinionState, now: Instant): number {
    return now - (this.#reports.get(minion)?.clearSince ?? Infinity);
  }

  /** Whether the last report of a minion shows nothing of former backfill, and none has started since. */
  isClear(minion: MinionState, now: Instant): boolean {
    return this.computeClearMs(minion, now) >= CLEAR_REPORT_MS && !hasBackfill(minion);
  }
}
