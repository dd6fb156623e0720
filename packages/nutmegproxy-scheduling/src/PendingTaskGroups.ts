/** Finds tasks that are not long-running and have waited for long, in groups that wait alike. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

import {isReady, isStartableTask} from './ReadySteps.ts';

/**
 * `held`: minions that have not reported may run them. `own`: a task with failures, crashes or unknown
 * results, which has reasons of its own. `filling` and `ordinary`: all other tasks of a step.
 */
export type PendingKind = 'filling' | 'held' | 'ordinary' | 'own';

/** Tasks of a step that wait for the same reason. */
export interface PendingGroup {
  count: number;
  /** The task that has waited the longest, and since when. */
  index: number;
  since: Instant;
  readonly step: StepState;
}

export type PendingGroups = Readonly<Record<PendingKind, PendingGroup[]>>;

export interface PendingTime {
  /** Wait in milliseconds from which a task belongs to a group. */
  readonly minWaitMs: number;
  readonly now: Instant;
  readonly wall: WallTime;
}

function hasOwnReasons({crashes, failures, unknownResults}: StepState, index: number): boolean {
  return (
    failures.has(index) ||
    (unknownResults.get(index)?.size ?? 0) > 0 ||
    (!crashes.isEmpty && crashes.of(index).length > 0)
  );
}

function classifyTask(fleet: Fleet, step: StepState, index: number): PendingKind {
  if (!isStartableTask(fleet, step, index)) {
    return 'held';
  }
  if (!step.shape.gang && hasOwnReasons(step, index)) {
    return 'own';
  }
  return step.shape.fillsSpareCpu ? 'filling' : 'ordinary';
}

/** Returns the kind of all waiting tasks of a step; undefined where each has to be classified by itself. */
function classifyStep({recoveryRevision}: Fleet, step: StepState): PendingKind | undefined {
  const {crashes, failures, job, shape, unknownResults} = step;
  const mayHaveOwn = failures.size + unknownResults.size > 0 || !crashes.isEmpty;
  if (job.revision <= recoveryRevision || (mayHaveOwn && !shape.gang)) {
    return undefined;
  }
  return shape.fillsSpareCpu ? 'filling' : 'ordinary';
}

/** Lists the steps with waiting tasks whose turn has come. */
function* listPendingSteps(fleet: Fleet, wall: WallTime): Generator<StepState> {
  for (const job of fleet.jobs.values()) {
    if (job.isFinal) {
      continue;
    }
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps) {
        if (step.waiting.size > 0 && !step.shape.longRunning && isReady(step, steps)) {
          yield step;
        }
      }
    }
  }
}

/**
 * @example
 * const turns = new PendingTurns(now);
 * turns.group(fleet, {minWaitMs: 3_000, now, wall}).own.length;
 */
export class PendingTurns {
  #since = new Map<StepState, Map<number, Instant>>();
  readonly #startedAt: Instant;

  /** The tasks of a new owner have waited since `startedAt`. */
  constructor(startedAt: Instant) {
    this.#startedAt = startedAt;
  }

  /** Returns the tasks that have waited for long under this owner. */
  group(fleet: Fleet, {minWaitMs, now, wall}: PendingTime): PendingGroups {
    const groups: PendingGroups = {filling: [], held: [], ordinary: [], own: []};
    const next = new Map<StepState, Map<number, Instant>>();
    for (const step of listPendingSteps(fleet, wall)) {
      const since = this.#findTurns(fleet, step, now);
      next.set(step, since);
      const kindOfAll = classifyStep(fleet, step);
      const shared = new Map<PendingKind, PendingGroup>();
      for (const [index, at] of since) {
        if (now - at < minWaitMs) {
          continue;
        }
        const kind = kindOfAll ?? classifyTask(fleet, step, index);
        if (kind === 'own') {
          groups.own.push({count: 1, index, since: at, step});
          continue;
        }
        const others = shared.get(kind);
        if (others === undefined) {
          shared.set(kind, {count: 1, index, since: at, step});
          continue;
        }
        others.count += 1;
        if (at < others.since) {
          others.index = index;
          others.since = at;
        }
      }
      for (const [kind, group] of shared) {
        groups[kind].push(group);
      }
    }
    this.#since = next;
    return groups;
  }

  /** Returns since when each waiting task of a step has waited, as far as this owner knows. */
  #findTurns(fleet: Fleet, step: StepState, now: Instant): Map<number, Instant> {
    const known = this.#since.get(step);
    const isFormer = step.job.revision <= fleet.recoveryRevision && step.shape.after.length === 0;
    const firstAt = step.readyAt ?? (isFormer ? this.#startedAt : now);
    const since = known ?? new Map<number, Instant>();
    for (const index of since.keys()) {
      if (!step.waiting.has(index)) {
        since.delete(index);
      }
    }
    if (since.size === step.waiting.size) {
      return since;
    }
    for (const index of step.waiting) {
      if (!since.has(index)) {
        // A task whose run ended under this owner waits again, unlike one that a former owner saw fail.
        since.set(index, step.findLastRun(index) === undefined ? firstAt : now);
      }
    }
    return since;
  }
}
