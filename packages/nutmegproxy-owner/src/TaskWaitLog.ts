/**
 * Logs, at a fixed rate, how many tasks of long-running jobs do not run and why, and what the owner has
 * done since the last such line. The line alone tells what a former owner has left from what this owner
 * waits for itself, also while the lines of single starts and runs are dropped.
 */

import type {EventSink, Instant} from '@nutmegproxy/core';
import type {Fleet, WithheldTaskSummary} from '@nutmegproxy/scheduling';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {Round, RoundHold} from './RoundLog.ts';
import type {TrackedOrders} from './TrackedOrders.ts';

import {OWNER_EVENTS} from './OwnerEvents.ts';

/** Minimum time in milliseconds between two lines. */
const INTERVAL_MS = 1_000;
/** Time in milliseconds from the acquisition of the ownership in which a line is logged in any case. */
const FIRST_MS = 10_000;
/** Wait in milliseconds of an interrupted task from which a line is logged later. */
const MIN_WAIT_MS = 1_500;

export interface TaskWaitLogOptions {
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly orders: Pick<TrackedOrders, 'describe'>;
  readonly ownership: Pick<FleetOwnership, 'requestedAt' | 'term'>;
}

/** What the owner has done since an instant. */
class RoundCounts {
  readonly held: Record<RoundHold, number> = {backlog: 0, directory: 0, handover: 0};
  lastingStarts = 0;
  longestGapMs = 0;
  rounds = 0;
  readonly since: Instant;
  starts = 0;

  constructor(since: Instant) {
    this.since = since;
  }
}

export class TaskWaitLog {
  #counts: RoundCounts;
  #lastRoundAt: Instant | undefined;
  readonly #options: TaskWaitLogOptions;

  constructor(options: TaskWaitLogOptions) {
    this.#options = options;
    this.#counts = new RoundCounts(options.ownership.requestedAt);
  }

  recordRound({hold, now, starts}: Pick<Round, 'hold' | 'now' | 'starts'>): void {
    const counts = this.#counts;
    counts.rounds += 1;
    counts.starts += starts.length;
    counts.lastingStarts += starts.filter(({step}) => step.shape.longRunning).length;
    counts.longestGapMs = Math.max(counts.longestGapMs, now - (this.#lastRoundAt ?? now));
    if (hold !== undefined) {
      counts.held[hold] += 1;
    }
    this.#lastRoundAt = now;
  }

  /** Logs a line if one is due; `withheld` is of the last round. */
  review(withheld: WithheldTaskSummary, now: Instant): void {
    const {events, fleet, orders, ownership} = this.#options;
    const {held, lastingStarts, longestGapMs, rounds, since, starts} = this.#counts;
    const isFirstReview = since === ownership.requestedAt;
    if (!isFirstReview && now - since < INTERVAL_MS) {
      return;
    }
    this.#counts = new RoundCounts(now);
    const termMs = now - ownership.requestedAt;
    if (termMs >= FIRST_MS && withheld.longestMs < MIN_WAIT_MS) {
      return;
    }
    events.record(OWNER_EVENTS.TASKS_WITHHELD, {
      ...withheld.describe(),
      ...orders.describe(now),
      heldByBacklog: held.backlog,
      heldByDirectory: held.directory,
      isRecovering: fleet.recoveryRevision > 0,
      lastingStarts,
      roundGapMs: Math.round(longestGapMs),
      rounds,
      sinceMs: Math.round(now - since),
      starts,
      term: ownership.term,
      termMs: Math.round(termMs),
    });
  }
}
