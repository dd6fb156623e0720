/**
 * Logs, at a fixed rate, how many tasks that are not long-running do not run though their turn has
 * come, and why. Long-running ones have `WithheldTaskLog`.
 */

import type {EventFields, Instant, JobId, WallTime} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';

import type {MinionState} from './MinionState.ts';
import type {PendingGroup, PendingKind} from './PendingTaskGroups.ts';
import type {PendingContext, PendingReason} from './PendingTaskReason.ts';

import {PendingTurns} from './PendingTaskGroups.ts';
import {findRunCause, PendingTaskJudge} from './PendingTaskReason.ts';
import {nameWaits, PendingTaskSummary} from './PendingTaskSummary.ts';
import {surveyPlacement} from './PlacementSurvey.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Time in milliseconds from which a task that does not run is counted. */
const MIN_WAIT_MS = 3_000;
/** Minimum time in milliseconds between two reviews, and so between two lines. */
const REVIEW_INTERVAL_MS = 1_000;
/** Minimum time in milliseconds between two names of a job, unless its wait is the longest of a reason. */
const NAME_INTERVAL_MS = 10_000;
/**
 * Most groups of a kind whose reason is looked for in one review: half of them with the longest waits,
 * and others in turn.
 */
const MAX_EXAMINED: Readonly<Record<PendingKind, number>> = {
  filling: 30,
  held: Infinity,
  ordinary: 60,
  own: 60,
};
/** Reasons that are explained by what is free on which minions. */
const PLACEMENT_REASONS: readonly PendingReason[] = ['availability', 'placement', 'room', 'trust'];

/** Iterates over the runs on a minion, and then over those that are over. */
function* listRuns({endedRuns, runs}: MinionState): Generator<Run> {
  yield* runs;
  yield* endedRuns;
}

/** The last round of planning, and the wall clock. */
export interface PendingReview extends PendingContext {
  readonly wall: WallTime;
}

/**
 * @example
 * const log = new PendingTaskLog();
 * log.review({advice, fleet, hold, isBudgetUsedUp, isCut, now, recoveryMs, sharingCosts, wall});
 */
export class PendingTaskLog {
  #hasWaits = false;
  readonly #namedAt = new Map<JobId, Instant>();
  #reviewedAt = -Infinity;
  #reviews = 0;
  #runsSince = new Map<Run, Instant>();
  #startedAt: Instant | undefined;
  #turns: PendingTurns | undefined;

  /** Logs a line if one is due and tasks have waited for long, and one more after the last of them. */
  review(review: PendingReview): void {
    const {fleet, now} = review;
    this.#startedAt ??= now;
    this.#turns ??= new PendingTurns(now);
    // No task has waited for long under this owner before that, and its process is full then.
    const isEarly = now - this.#startedAt < MIN_WAIT_MS;
    if (isEarly || now - this.#reviewedAt < REVIEW_INTERVAL_MS) {
      return;
    }
    this.#reviewedAt = now;
    this.#reviews += 1;
    const summary = new PendingTaskSummary();
    this.#addWaiting(this.#turns, summary, review);
    this.#addRuns(summary, review);
    if (!summary.isEmpty || this.#hasWaits) {
      fleet.events.record(SCHEDULING_EVENTS.TASKS_PENDING, this.#describe(summary, review));
    }
    this.#hasWaits = !summary.isEmpty;
  }

  /** Adds the tasks that have no run. */
  #addWaiting(turns: PendingTurns, summary: PendingTaskSummary, review: PendingReview): void {
    const {fleet, now, wall} = review;
    const groups = turns.group(fleet, {minWaitMs: MIN_WAIT_MS, now, wall});
    const judge = new PendingTaskJudge(review);
    for (const [kind, each] of Object.entries(groups)) {
      const {examined, rest} = chooseExamined(
        each,
        MAX_EXAMINED[kind as PendingKind],
        this.#reviews,
      );
      for (const {count, index, since, step} of examined) {
        const cause = judge.findCause({index, step});
        summary.add({cause, index, others: count - 1, step, waitedMs: now - since});
      }
      for (const {count} of rest) {
        summary.addUnexamined(count);
      }
    }
  }

  /** Adds the tasks that have a run which may not be live, or whose result is not known. */
  #addRuns(summary: PendingTaskSummary, {fleet, now}: PendingReview): void {
    const runsSince = new Map<Run, Instant>();
    for (const minion of fleet.minions.values()) {
      for (const run of listRuns(minion)) {
        const {step, task} = run;
        const cause = step.shape.longRunning ? undefined : findRunCause(run, minion, now);
        const hasOthers = cause !== undefined && step.runsOf(task.index).length > 1;
        if (cause === undefined || hasOthers || step.job.isFinal || step.done.has(task.index)) {
          continue;
        }
        const since = this.#runsSince.get(run) ?? (cause.reason === 'start' ? run.sentAt : now);
        runsSince.set(run, since);
        if (now - since >= MIN_WAIT_MS) {
          summary.add({cause, index: task.index, others: 0, step, waitedMs: now - since});
        }
      }
    }
    this.#runsSince = runsSince;
  }

  #describe(summary: PendingTaskSummary, {fleet, now}: PendingReview): EventFields {
    const namedAt = this.#namedAt;
    const named = summary.selectNamed(namedAt, (now - NAME_INTERVAL_MS) as Instant);
    for (const {step} of named) {
      namedAt.set(step.job.id, now);
    }
    for (const job of namedAt.keys()) {
      if (!fleet.jobs.has(job)) {
        namedAt.delete(job);
      }
    }
    const step = summary.findLongest(PLACEMENT_REASONS);
    const survey = step === undefined ? {} : surveyPlacement(fleet, step, now);
    const placement = Object.entries(survey).map(([name, value]) => `${name}=${String(value)}`);
    return {
      ...summary.describe(),
      named: nameWaits(named),
      ...(step && {placement: `job=${step.job.id} ${placement.join(' ')}`}),
    };
  }
}

interface Selection {
  readonly examined: readonly PendingGroup[];
  readonly rest: readonly PendingGroup[];
}

/** Chooses the groups whose reason is looked for; `turn` counts the reviews. */
function chooseExamined(groups: readonly PendingGroup[], limit: number, turn: number): Selection {
  if (groups.length <= limit) {
    return {examined: groups, rest: []};
  }
  const half = Math.floor(limit / 2);
  const sorted = groups.toSorted((a, b) => a.since - b.since);
  const later = sorted.slice(half);
  const start = (turn * half) % later.length;
  const rotated = [...later.slice(start), ...later.slice(0, start)];
  return {
    examined: [...sorted.slice(0, half), ...rotated.slice(0, limit - half)],
    rest: rotated.slice(limit - half),
  };
}
