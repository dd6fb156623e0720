/** What the ends of runs say about their minions: quarantines and trials, each with a line in the log. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Resources, Run, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {TrustSnapshot} from './MinionTrust.ts';

import {isTrialRun} from './MinionAvailability.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

/**
 * Time in milliseconds for which a task avoids a minion whose trial it failed: longer than a quarantine,
 * so that the next trial is another task's.
 */
export const FAILED_TRIAL_AVOIDANCE_MS = 8_000;

/**
 * Quarantines a minion whose runs stall or that refuses starts.
 *
 * @example
 * quarantineMinion(fleet, minion, 'stalls', now);
 */
export function quarantineMinion(
  {events}: Fleet,
  {id, trust}: MinionState,
  reason: string,
  now: Instant,
): void {
  if (trust.recordStall(now)) {
    events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: id, reason});
  }
}

/** Ends the trial of a minion whose run goes on without failing. */
export function endTrial({events}: Fleet, {id, trust}: MinionState, {step}: Run): void {
  step.hasFailedTrial = false;
  trust.endTrial();
  events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: id, proof: 'live'});
}

/** Records a run that is done; `minion` is undefined when it has left. */
export function recordSuccess({events}: Fleet, minion: MinionState | undefined, run: Run): void {
  run.step.hasFailedTrial = false;
  // An adopted run may have been sent before a failure that a former owner passed on.
  const sentAt = run.isAdopted === true ? (-Infinity as Instant) : run.sentAt;
  if (minion?.trust.recordSuccess(sentAt)) {
    events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: minion.id, proof: 'done'});
  }
}

/** Records when a task failed, and where unless it is to last: such a task may fail on any number of minions. */
export function recordFailureOf(
  {failedAt, failedOn, shape}: StepState,
  index: number,
  minion: MinionId,
  now: Instant,
): void {
  failedAt.set(index, now);
  if (!shape.longRunning) {
    failedOn.set(minion, (failedOn.get(minion) ?? new Set()).add(index));
  }
}

/** Records a run that has failed; `minion` is undefined when it has left. */
export function recordFailure(
  {events}: Fleet,
  minion: MinionState | undefined,
  run: Run,
  now: Instant,
): void {
  const {step, task} = run;
  recordFailureOf(step, task.index, run.minion, now);
  if (minion !== undefined && isTrialRun(minion, run)) {
    step.hasFailedTrial = true;
    step.avoid(task.index, run.minion, now, FAILED_TRIAL_AVOIDANCE_MS);
  } else if (!step.shape.longRunning) {
    // Long-running tasks may fail at any time and restart on the capacity that they had.
    step.avoid(task.index, run.minion, now);
  }
  if (minion?.trust.recordFailure(task.job, now)) {
    events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, {minion: minion.id, reason: 'failures'});
  }
}

/** Returns the start of the incarnation that the minion's runs are of. */
function findBornAt({bornAt, listedBornAt}: MinionState): number | undefined {
  return listedBornAt ?? bornAt;
}

/**
 * Returns what the next owner has to know of a minion that is not trusted; undefined for others.
 *
 * @example
 * const snapshot = describeDistrust(minion, now);
 */
export function describeDistrust(minion: MinionState, now: Instant): TrustSnapshot | undefined {
  return minion.trust.export(findBornAt(minion), now);
}

/**
 * Takes over what a former owner had stored of a minion by `storedBy`. Lasting tasks that failed there get no trial
 * before others again: they would take each trial of a series of owners.
 *
 * @example
 * receiveDistrust(fleet, minion, snapshot, storedBy);
 */
export function receiveDistrust(
  {events, jobs}: Fleet,
  {id, trust}: MinionState,
  snapshot: TrustSnapshot,
  storedBy: Instant,
): void {
  const {failedForMs, heldForMs} = snapshot;
  trust.import(snapshot, storedBy);
  for (const step of snapshot.jobs.flatMap((job) => [...(jobs.get(job)?.steps() ?? [])])) {
    step.hasFailedTrial ||= step.shape.longRunning && step.failures.size > 0;
  }
  const named = snapshot.jobs.join(' ');
  const fields = {failedForMs, heldForMs, minion: id, named, reason: 'former owner'};
  events.record(SCHEDULING_EVENTS.MINION_QUARANTINED, fields);
}

/** Whether the minion may get work now or once it is trusted. */
function isPresent(minion: MinionState): boolean {
  const isLeaving = minion.description.isDraining || minion.isRecordedDraining;
  const isSilent = minion.isRecordedUnreachable || minion.missedCalls > 0;
  return !isLeaving && !isSilent && minion.unlistedSince === undefined;
}

function isAsLarge(a: Resources, b: Resources): boolean {
  return a.cpuMilli >= b.cpuMilli && a.gpus >= b.gpus && a.memoryMb >= b.memoryMb;
}

/** Returns the minion itself and those that can take all work that it can. */
function listSubstitutes({minions}: Fleet, {description}: MinionState): readonly MinionState[] {
  const {capacity, labels, service} = description;
  return [...minions.values()].filter(
    (each) =>
      each.description.service === service &&
      isAsLarge(each.description.capacity, capacity) &&
      labels.every((label) => each.description.labels.includes(label)) &&
      isPresent(each),
  );
}

/**
 * Ends what a former owner passed on of a minion that has restarted or has not failed for some time. It ends on all
 * minions that could take the same work where most of them are not trusted: that work would wait for their trials.
 */
export function reviewFormerDistrust(fleet: Fleet, minion: MinionState, now: Instant): void {
  const {events} = fleet;
  const proof = minion.trust.endFormerDistrust(findBornAt(minion), now);
  if (proof !== undefined) {
    events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: minion.id, proof});
  }
  if (!minion.trust.restsOnFormerOwner) {
    return;
  }
  const substitutes = listSubstitutes(fleet, minion);
  const trusted = substitutes.filter(({trust}) => trust.level(now) === 'trusted');
  if (trusted.length * 2 >= substitutes.length) {
    return;
  }
  for (const {id, trust} of new Set([minion, ...substitutes])) {
    if (trust.forgetFormerDistrust()) {
      events.record(SCHEDULING_EVENTS.MINION_TRUSTED, {minion: id, proof: 'others'});
    }
  }
}
