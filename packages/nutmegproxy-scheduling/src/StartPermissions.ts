/** Decides whether a task may start on a minion, whatever room there is. */

import type {Instant} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';

import {
  findAvoidanceEnd,
  MAX_QUICK_FAILURES,
  mayBeCause,
  shouldSaveLastAttempt,
} from './LastAttempt.ts';
import {isOpenToRuns} from './MinionAvailability.ts';

/** Permissions of the external advisor, for queues that need them. */
export interface AdviceLookup {
  /** Whether the step may run on the minion; undefined while that is not known. */
  readonly isPermitted: (step: StepState, minion: MinionState) => boolean | undefined;
}

export interface PermissionContext {
  readonly advice: AdviceLookup;
  readonly now: Instant;
}

/**
 * Which minions that are not trusted get work beside their trials. `other`: those that a task has not failed on, and
 * all of them once its step has failed on two, as the cause is more likely its own; it avoids none any more then.
 */
export type TrustPass = 'all' | 'none' | 'other';

/**
 * @example
 * const permissions = new StartPermissions(fleet, {advice, now});
 * if (permissions.isAllowed(step, index, minion)) start(step, index, minion);
 */
export class StartPermissions {
  /**
   * Whether steps of which a task has failed the trial of a minion get trials. They come after the
   * others, so that tasks that fail on any minion don't take each trial.
   */
  admitsFailedTrials = true;
  /** Which minions that are not trusted may get work beside the run that is their trial. */
  passesTrust: TrustPass = 'none';
  readonly #context: PermissionContext;
  readonly #fleet: Fleet;

  constructor(fleet: Fleet, context: PermissionContext) {
    this.#fleet = fleet;
    this.#context = context;
  }

  /** Whether the task may run on the minion: it is permitted and the task has not just failed there. */
  isAllowed(step: StepState, index: number, minion: MinionState): boolean {
    const {now} = this.#context;
    const {maxAttempts} = this.#fleet.resolveQueuePolicy(step.job);
    if (this.#isAvoided(step, index, minion) || !this.isOpenTo(step, minion)) {
      return false;
    }
    // A run whose result is not known yet may have failed and counts as an attempt.
    if (!step.shape.longRunning && step.countPossibleFailures(index) >= maxAttempts) {
      return false;
    }
    return !shouldSaveLastAttempt(this.#fleet, {index, maxAttempts, step}, minion, now);
  }

  /** Whether the task has failed on the minion, so that it waits for another one. */
  #isAvoided(step: StepState, index: number, minion: MinionState): boolean {
    const {now} = this.#context;
    const isAvoided = now < findAvoidanceEnd(this.#fleet, {index, step}, minion, now);
    if (this.passesTrust !== 'other') {
      return isAvoided;
    }
    const failures = step.failures.get(index)?.length ?? 0;
    return (
      failures >= MAX_QUICK_FAILURES ||
      (step.failedOn.size > 0 && mayBeCause(step, index, minion)) ||
      (isAvoided && step.failedOn.size < 2)
    );
  }

  /** Whether tasks of the step may run on the minion. */
  isOpenTo(step: StepState, minion: MinionState): boolean {
    const {advice, now} = this.#context;
    const {advice: policy} = this.#fleet.resolveQueuePolicy(step.job);
    const mayGetTrial = this.admitsFailedTrials || !step.hasFailedTrial;
    if (!mayGetTrial && minion.trust.level(now) === 'trial') {
      return false;
    }
    return (
      (this.passesTrust !== 'none' || isOpenToRuns(minion, now, step)) &&
      (policy === undefined || advice.isPermitted(step, minion) === true)
    );
  }
}
