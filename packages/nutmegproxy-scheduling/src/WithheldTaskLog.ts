/**
 * Logs the tasks of long-running jobs that do not run, with what each of them waits for and until when.
 * A task whose run may be live on a minion that does not respond is withheld until that is certain.
 */

import type {EventFields, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {WithheldReason} from './WithheldTaskSummary.ts';

import {isInterruptedTask} from './InterruptedTaskStarts.ts';
import {surveyPlacement} from './PlacementSurvey.ts';
import {isStartableTask} from './ReadySteps.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';
import {WithheldTaskSummary} from './WithheldTaskSummary.ts';

/** Time in milliseconds from which a task that does not run is logged. */
const MIN_WAIT_MS = 1_500;
/** Minimum time in milliseconds between two lines about a task with the same reason. */
const REPEAT_INTERVAL_MS = 3_000;
/** Minimum time in milliseconds between two reviews of all tasks. */
const REVIEW_INTERVAL_MS = 500;
/** Maximum number of lines of one review. */
const MAX_LINES = 20;

/** What the reasons of one review are found from. */
interface Review {
  readonly fleet: Fleet;
  readonly recoveryMs: number;
  readonly survey: (step: StepState) => EventFields;
}

interface WithheldTask {
  /** Called for a task that is logged only, as some reasons take a look at all minions. */
  readonly describe: () => EventFields;
  readonly reason: WithheldReason;
  /** The run that may be live; undefined when none is known. */
  readonly run?: Run;
}

interface Wait {
  /** Whether the task was interrupted, as of the review that found first that it does not run. */
  readonly isInterrupted: boolean;
  reason: WithheldReason;
  recordedAt: Instant | undefined;
  readonly since: Instant;
}

/**
 * @example
 * const log = new WithheldTaskLog();
 * log.review(fleet, {now, recoveryMs: 1_200, wall});
 */
export class WithheldTaskLog {
  #reviewedAt = -Infinity;
  #waits = new Map<string, Wait>();

  /**
   * Reviews all long-running tasks and logs those that have not run for some time; returns a summary, or
   * undefined when the last review was a short time ago. `recoveryMs` is the longest time in milliseconds
   * for which the recovery may still wait.
   */
  review(
    fleet: Fleet,
    time: {readonly now: Instant; readonly recoveryMs: number; readonly wall: WallTime},
  ): undefined | WithheldTaskSummary {
    const {now, recoveryMs, wall} = time;
    if (now - this.#reviewedAt < REVIEW_INTERVAL_MS) {
      return undefined;
    }
    this.#reviewedAt = now;
    const waits = new Map<string, Wait>();
    const review = {fleet, recoveryMs, survey: createSurvey(fleet, now)};
    const summary = new WithheldTaskSummary();
    let lines = 0;
    for (const {index, step} of listLongRunningTasks(fleet, wall)) {
      const withheld = findReason(step, index, review, now);
      if (withheld === undefined) {
        continue;
      }
      const {reason} = withheld;
      const task = formatTaskName({
        index,
        job: step.job.id,
        occurrence: step.occurrence,
        step: step.number,
      });
      const wait = this.#waits.get(task) ?? {
        isInterrupted: isInterruptedTask(step, index),
        reason,
        recordedAt: undefined,
        since: now,
      };
      waits.set(task, wait);
      const waitedMs = Math.round(now - wait.since);
      const describe = (): EventFields => ({
        ...withheld.describe(),
        job: step.job.id,
        reason,
        task,
        waitedMs,
      });
      const {isInterrupted} = wait;
      summary.add({describe, isInterrupted, knownFrom: withheld.run?.knownFrom, reason, waitedMs});
      const isRepeated =
        wait.reason === reason && now - (wait.recordedAt ?? -Infinity) < REPEAT_INTERVAL_MS;
      if (now - wait.since < MIN_WAIT_MS || isRepeated || lines >= MAX_LINES) {
        continue;
      }
      lines += 1;
      wait.reason = reason;
      wait.recordedAt = now;
      fleet.events.record(SCHEDULING_EVENTS.TASK_WITHHELD, describe());
    }
    this.#waits = waits;
    return summary;
  }
}

function* listLongRunningTasks(
  fleet: Fleet,
  wall: WallTime,
): Generator<{readonly index: number; readonly step: StepState}> {
  for (const job of fleet.jobs.open()) {
    for (const steps of job.openOccurrences(wall)) {
      for (const step of steps.filter(({shape}) => shape.longRunning)) {
        for (let index = 0; index < step.shape.count; index += 1) {
          yield {index, step};
        }
      }
    }
  }
}

/**
 * Returns a survey that looks at all minions once for each step: a step may have twenty tasks to log
 * in one review, and no minion changes meanwhile.
 */
function createSurvey(fleet: Fleet, now: Instant): Review['survey'] {
  const known = new Map<StepState, EventFields>();
  return (step) => {
    const fields = known.get(step) ?? surveyPlacement(fleet, step, now);
    known.set(step, fields);
    return fields;
  };
}

/** Returns why a task does not run, as far as this owner knows; undefined when it runs. */
function findReason(
  step: StepState,
  index: number,
  {fleet, recoveryMs, survey}: Review,
  now: Instant,
): undefined | WithheldTask {
  if (step.waiting.has(index)) {
    return isStartableTask(fleet, step, index)
      ? {
          describe: () => ({...survey(step), interrupted: isInterruptedTask(step, index)}),
          reason: 'placement',
        }
      : {describe: () => ({untilMs: Math.round(recoveryMs)}), reason: 'recovery'};
  }
  for (const run of step.runsOf(index)) {
    const minion = fleet.minions.get(run.minion);
    if (minion !== undefined && isResponding(minion) && isListedAsLive(run)) {
      return undefined;
    }
  }
  const [run] = step.runsOf(index);
  const minion = run && fleet.minions.get(run.minion);
  return (
    run &&
    minion && {
      describe: () => describeRunOn(run, minion, now),
      reason: findRunReason(run, minion),
      run,
    }
  );
}

function isResponding({missedCalls, unlistedSince}: MinionState): boolean {
  return missedCalls === 0 && unlistedSince === undefined;
}

function isListedAsLive({knownFrom, phase}: Run): boolean {
  return phase === 'running' && knownFrom !== 'record';
}

function findRunReason({phase}: Run, minion: MinionState): WithheldReason {
  if (!isResponding(minion)) {
    return 'lease';
  }
  return phase === 'stopping' ? 'stop' : 'start';
}

function describeRunOn(
  {knownFrom, leasedUntil = Infinity as Instant, minion: id, number, phase}: Run,
  {description, leaseClock, missedCalls, unlistedSince}: MinionState,
  now: Instant,
): EventFields & {readonly minion: MinionId} {
  return {
    draining: description.isDraining,
    knownFrom,
    minion: id,
    missedCalls,
    phase,
    run: number,
    unlistedMs: Math.round(now - (unlistedSince ?? now)),
    untilMs: Math.round(Math.min(leaseClock.expiresInMs(now), Math.max(0, leasedUntil - now))),
  };
}
