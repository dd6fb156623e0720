/**
 * Logs the tasks of long-running jobs that do not run, with what each of them waits for and until when.
 * A task whose run may be live on a minion that does not respond is withheld until that is certain.
 */

import type {EventFields, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {surveyPlacement} from './PlacementSurvey.ts';
import {listStartableTasks} from './ReadySteps.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/** Time in milliseconds from which a task that does not run is logged. */
const MIN_WAIT_MS = 1_500;
/** Minimum time in milliseconds between two lines about a task with the same reason. */
const REPEAT_INTERVAL_MS = 3_000;
/** Minimum time in milliseconds between two reviews of all tasks. */
const REVIEW_INTERVAL_MS = 500;
/** Maximum number of lines of one review. */
const MAX_LINES = 20;

/**
 * `lease`: a run may be live on a minion that does not respond, until its lease has expired.
 * `placement`: it may start and has found no minion. `recovery`: minions that have not reported may
 * run it. `start`: its minion has not listed it yet. `stop`: the result of its stopped run is not listed.
 */
type WithheldReason = 'lease' | 'placement' | 'recovery' | 'start' | 'stop';

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
}

interface Wait {
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
   * Reviews all long-running tasks and logs those that have not run for some time. `recoveryMs` is the
   * longest time in milliseconds for which the recovery may still wait.
   */
  review(
    fleet: Fleet,
    time: {readonly now: Instant; readonly recoveryMs: number; readonly wall: WallTime},
  ): void {
    const {now, recoveryMs, wall} = time;
    if (now - this.#reviewedAt < REVIEW_INTERVAL_MS) {
      return;
    }
    this.#reviewedAt = now;
    const waits = new Map<string, Wait>();
    const review = {fleet, recoveryMs, survey: createSurvey(fleet, now)};
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
      const wait = this.#waits.get(task) ?? {reason, recordedAt: undefined, since: now};
      waits.set(task, wait);
      const isRepeated =
        wait.reason === reason && now - (wait.recordedAt ?? -Infinity) < REPEAT_INTERVAL_MS;
      if (now - wait.since < MIN_WAIT_MS || isRepeated || lines >= MAX_LINES) {
        continue;
      }
      lines += 1;
      wait.reason = reason;
      wait.recordedAt = now;
      const waitedMs = Math.round(now - wait.since);
      const named = {...withheld.describe(), job: step.job.id, reason, task, waitedMs};
      fleet.events.record(SCHEDULING_EVENTS.TASK_WITHHELD, named);
    }
    this.#waits = waits;
  }
}

function* listLongRunningTasks(
  fleet: Fleet,
  wall: WallTime,
): Generator<{readonly index: number; readonly step: StepState}> {
  for (const job of fleet.jobs.values()) {
    if (job.isFinal) {
      continue;
    }
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
    return listStartableTasks(fleet, step).includes(index)
      ? {describe: () => survey(step), reason: 'placement'}
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
  {knownFrom, leasedUntil, minion: id, number, phase}: Run,
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
    untilMs: Math.round(
      leasedUntil === undefined ? leaseClock.expiresInMs(now) : Math.max(0, leasedUntil - now),
    ),
  };
}
