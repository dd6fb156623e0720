/**
 * Starts interrupted tasks of long-running jobs on minions that get no other work because they are not
 * trusted. Users lack these tasks, no other minion has room for them, and most such minions are sound:
 * their runs failed by themselves. A task that fails there loses nothing and avoids the minion for a while.
 */

import type {Instant} from '@nutmegproxy/core';
import type {Run, ServiceId, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';

import {isOnlyUntrusted} from './MinionAvailability.ts';
import {MinionRanking} from './MinionRanking.ts';

export interface InterruptedTaskContext {
  readonly isAllowed: (step: StepState, index: number, minion: MinionState) => boolean;
  /** Returns the indexes of the tasks of a step that wait and may start. */
  readonly listStartable: (step: StepState) => readonly number[];
  readonly now: Instant;
  readonly sharingCosts: SharingCosts;
}

/**
 * Whether a task of a long-running step was interrupted. Where a former version has not stored which tasks of a
 * job have begun, all count as interrupted.
 */
export function isInterruptedTask(step: StepState, index: number): boolean {
  return step.shape.longRunning && step.mayHaveRun(index);
}

/** Whether tasks of a long-running step were interrupted, so that its users lack them. */
export function hasInterruptedTask(step: StepState): boolean {
  if (step.shape.longRunning) {
    for (const index of step.waiting) {
      if (isInterruptedTask(step, index)) {
        return true;
      }
    }
  }
  return false;
}

/** Returns the minions of each service that only lack trust, and on which no run has failed just now. */
function findCandidates({minions}: Fleet, now: Instant): ReadonlyMap<ServiceId, MinionState[]> {
  const candidates = new Map<ServiceId, MinionState[]>();
  for (const minion of minions.values()) {
    if (isOnlyUntrusted(minion, now) && minion.trust.admitsInterruptedTasks(now)) {
      const {service} = minion.description;
      candidates.set(service, [...(candidates.get(service) ?? []), minion]);
    }
  }
  return candidates;
}

/**
 * Starts tasks in the given order of their steps, after all that trusted minions can take have been
 * started; returns their runs.
 *
 * @example
 * starts.push(...startInterruptedTasks(fleet, ordered, {isAllowed, listStartable, now, sharingCosts}));
 */
export function startInterruptedTasks(
  fleet: Fleet,
  steps: readonly StepState[],
  {isAllowed, listStartable, now, sharingCosts}: InterruptedTaskContext,
): Run[] {
  const candidates = findCandidates(fleet, now);
  if (candidates.size === 0) {
    return [];
  }
  return steps.flatMap((step) => {
    const {service} = fleet.resolveQueuePolicy(step.job);
    const minions = candidates.get(service) ?? [];
    const waiting =
      minions.length === 0 || !step.shape.longRunning || step.shape.gang
        ? []
        : listStartable(step).filter((index) => isInterruptedTask(step, index));
    if (waiting.length === 0) {
      return [];
    }
    const ranking = new MinionRanking(step, minions, sharingCosts, now);
    return waiting.flatMap((index) => {
      const minion = ranking.choose((each) => isAllowed(step, index, each));
      if (minion === undefined) {
        return [];
      }
      const run = fleet.startRun(step, index, minion, now);
      ranking.refresh(minion);
      return [run];
    });
  });
}
