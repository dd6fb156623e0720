/** Says which minion a reason is about, and how long the reason may last. */

import type {MinionState} from './MinionState.ts';
import type {
  PendingContext,
  PendingDetails,
  PendingReason,
  PendingTask,
} from './PendingTaskReason.ts';

import {findCrashPause} from './CrashPauses.ts';
import {computeWaitedMs, listCrashes} from './CrashVerdict.ts';
import {findAvoidanceEnd, findLastAttemptWaitMs} from './LastAttempt.ts';
import {findOverdueInMs} from './OverdueSteps.ts';
import {deriveMaxWait} from './PendingBounds.ts';
import {SUSPICION_BOUND_MS} from './TrialPacing.ts';

type DetailsFinder = (
  task: PendingTask,
  minion: MinionState,
  context: PendingContext,
) => PendingDetails;

/** Until the step is overdue; without a time where its service is too full for that. */
function describePreference({step}: PendingTask, context: PendingContext): PendingDetails {
  const {fleet, now} = context;
  const untilMs = findOverdueInMs(fleet, step, deriveMaxWait(context), now);
  return untilMs === undefined ? {} : {untilMs};
}

/**
 * Until when the suspicion against a task itself may withhold it; the other tasks of its job wait for the
 * verdict. The time counts from when planning first considers a crash, so a review before that tells none.
 */
export function describeSuspicion(
  {index, step}: PendingTask,
  {fleet, hold, now}: Pick<PendingContext, 'fleet' | 'hold' | 'now'>,
): PendingDetails {
  if (hold !== undefined || listCrashes(step, index).length === 0) {
    return {};
  }
  const {isRestrained} = findCrashPause(fleet, step, index, now);
  const boundMs =
    isRestrained && !step.shape.longRunning ? deriveMaxWait(fleet) : SUSPICION_BOUND_MS;
  const maxMs = Math.max(SUSPICION_BOUND_MS, boundMs);
  return {untilMs: Math.max(0, maxMs - computeWaitedMs(step, index, now))};
}

/** Whether chance is excluded as the cause of crashes under a task, or under one for which its job waits. */
export function isHeldAsDeadly({index, step}: PendingTask, {fleet, now}: PendingContext): boolean {
  return (
    fleet.deadlyJobs.has(step.job) ||
    (listCrashes(step, index).length > 0 && findCrashPause(fleet, step, index, now).isDeadly)
  );
}

/** Details of the reasons that are about a minion, one that meets all rules before. */
export const PENDING_DETAILS: Readonly<Partial<Record<PendingReason, DetailsFinder>>> = {
  availability: (_task, {id}) => ({minion: id}),
  avoidance: (task, minion, {fleet, now}) => ({
    minion: minion.id,
    untilMs: Math.max(0, findAvoidanceEnd(fleet, task, minion, now) - now),
  }),
  'last-attempt': (task, minion, {fleet, now}) => ({
    minion: minion.id,
    untilMs: findLastAttemptWaitMs(fleet, task, minion, now),
  }),
  sharing: (task, _minion, context) => describePreference(task, context),
  suspicion: (task, _minion, context) => describeSuspicion(task, context),
  trust: (task, {id}, context) => ({minion: id, ...describePreference(task, context)}),
};
