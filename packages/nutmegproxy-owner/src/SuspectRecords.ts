/**
 * Passes on to the next owner which runs had just started on a minion, as this owner may end before it knows
 * whether the minion has crashed under them.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Fleet, FormerSuspect, FormerSuspects, MinionState} from '@nutmegproxy/scheduling';

import {formatTaskName, parseTaskName} from '@nutmegproxy/jobs';
import {
  findStep,
  FRESH_RUN_MS,
  hasFailedInTime,
  resolveLateSuspects,
} from '@nutmegproxy/scheduling';

import type {MinionAccount} from './ClosingRecords.ts';
import type {SuspectRuns} from './RosterEntry.ts';

import {findEnd} from './OwnerUtils.ts';

/** Finds the tasks of suspects whose jobs are not over. */
export function findSuspects(fleet: Fleet, {bornAt, runs}: SuspectRuns): FormerSuspects {
  const found = runs.flatMap(([name, number]): FormerSuspect[] => {
    const task = parseTaskName(name);
    const step = task && findStep(fleet, task);
    return task === undefined || step === undefined || step.job.isFinal
      ? []
      : [{index: task.index, number, step}];
  });
  return {bornAt, runs: found};
}

/** Names the runs that a former owner suspected, of a minion that has not responded to this one. */
function nameFormer({bornAt, runs}: FormerSuspects): SuspectRuns {
  return {
    bornAt,
    runs: runs.map(({index, number, step: {job, number: step, occurrence}}) => [
      formatTaskName({index, job: job.id, occurrence, step}),
      number,
    ]),
  };
}

function nameFresh({runNumberBase}: Fleet, minion: MinionState): SuspectRuns | undefined {
  const {bornAt} = minion;
  const runs = minion
    .listExposedRuns(runNumberBase)
    .filter(({ageMs, run}) => ageMs < FRESH_RUN_MS && run.confirmedAt !== undefined)
    .map(({run}) => [formatTaskName(run.task), run.number] as const);
  return bornAt === undefined || runs.length === 0 ? undefined : {bornAt, runs};
}

/**
 * Lists the runs that may have crashed a silent minion; undefined when there are none. A minion that drains,
 * or may have drained unseen, may just have left.
 */
export function listSuspects(fleet: Fleet, minion: MinionState): SuspectRuns | undefined {
  const {description, formerSuspects, silentSince} = minion;
  if (description.isDraining) {
    return undefined;
  }
  if (formerSuspects === undefined) {
    return nameFresh(fleet, minion);
  }
  return hasFailedInTime(formerSuspects, silentSince) ? nameFormer(formerSuspects) : undefined;
}

/**
 * Lists the runs that may crash a minion while nobody owns the fleet, or have just done so. `mayLeaveInMs` is
 * the time from now in which no minion can drain unseen and leave.
 */
export function describeSuspects(
  fleet: Fleet,
  minion: MinionState,
  mayLeaveInMs: number,
  now: Instant,
): Pick<MinionAccount, 'mayLeaveInMs' | 'suspects'> {
  const {formerSuspects, missedCalls} = minion;
  if (minion.description.isDraining) {
    return {};
  }
  if (formerSuspects !== undefined && !hasFailedInTime(formerSuspects, minion.silentSince)) {
    const {failsBefore = Infinity} = formerSuspects;
    return {mayLeaveInMs: failsBefore - now, suspects: nameFormer(formerSuspects)};
  }
  const suspects = listSuspects(fleet, minion);
  return suspects === undefined
    ? {}
    : {suspects, ...(missedCalls > 0 ? {} : {mayLeaveInMs: Math.max(0, Math.floor(mayLeaveInMs))})};
}

/**
 * Receives the suspects that a former owner's account names, of a minion that no later owner has used. It counts
 * as a crash under them when the minion is found in another incarnation.
 */
export function receiveSuspects(
  fleet: Fleet,
  minion: MinionState,
  {mayLeaveInMs, suspects}: MinionAccount,
  now: Instant,
): void {
  if (suspects === undefined || minion.formerSuspects?.bornAt === suspects.bornAt) {
    return;
  }
  const found = findSuspects(fleet, suspects);
  const failsBefore = findEnd(now, mayLeaveInMs);
  minion.formerSuspects = {...found, ...(failsBefore === undefined ? {} : {failsBefore})};
  resolveLateSuspects(fleet, minion, now);
}
