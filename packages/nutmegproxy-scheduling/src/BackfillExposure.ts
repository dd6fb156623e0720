/**
 * Tracks since when backfill may have kept serving tasks of a minion over their targets. The tail latencies of a report
 * say nothing of the time since the former report, nor, to an owner that has just taken over, of the time before it.
 */

import type {Instant} from '@nutmegproxy/core';

import type {MinionState} from './MinionState.ts';

import {hasBackfill} from './MinionState.ts';

/** What the reports of a minion have shown. */
interface Reports {
  /** Report that showed no tail latency near its target last; -Infinity before one has. */
  belowAt: number;
  readonly firstAt: Instant;
  /** Report that showed first that a tail latency is near its target; undefined while none is. */
  nearAt: Instant | undefined;
}

/**
 * @example
 * const exposure = new BackfillExposure();
 * exposure.review(minion, true, now);
 * exposure.findSince(minion); // -Infinity, as nothing is known of the time before
 */
export class BackfillExposure {
  readonly #reports = new WeakMap<MinionState, Reports>();

  /** Called for each report of a minion, with whether it shows a tail latency near or over its target. */
  review(minion: MinionState, isNearTarget: boolean, now: Instant): void {
    const reports = this.#reports.get(minion) ?? {
      belowAt: -Infinity,
      firstAt: now,
      nearAt: undefined,
    };
    this.#reports.set(minion, reports);
    reports.nearAt = isNearTarget ? (reports.nearAt ?? now) : undefined;
    reports.belowAt = isNearTarget ? reports.belowAt : now;
  }

  /** Returns when this owner got the first report of a minion; undefined before. */
  findFirstReport(minion: MinionState): Instant | undefined {
    return this.#reports.get(minion)?.firstAt;
  }

  /** Returns since when reports show a tail latency near its target; undefined while none is. */
  findNearSince(minion: MinionState): Instant | undefined {
    return this.#reports.get(minion)?.nearAt;
  }

  /**
   * Returns since when a tail latency may have been near its target beside backfill: -Infinity where this owner has seen
   * nothing else, undefined where none is.
   */
  findSince(minion: MinionState): number | undefined {
    const reports = this.#reports.get(minion);
    return reports?.nearAt === undefined || !hasBackfill(minion) ? undefined : reports.belowAt;
  }
}
