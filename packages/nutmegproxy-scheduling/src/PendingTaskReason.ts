/**
 * Says why a task that is not long-running does not run though its turn has come. Rules of the task
 * itself come before what holds all tasks of a round, which ends by itself.
 */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';
import type {Unavailability} from './MinionAvailability.ts';
import type {MinionState} from './MinionState.ts';
import type {SharingCosts} from './Placement.ts';
import type {AdviceLookup} from './StartPermissions.ts';

import {findAvoidanceEnd, shouldSaveLastAttempt} from './LastAttempt.ts';
import {findUnavailability, isOnlyUntrusted} from './MinionAvailability.ts';
import {MinionsByService} from './MinionsByService.ts';
import {describeSuspicion, isHeldAsDeadly, PENDING_DETAILS} from './PendingDetails.ts';
import {meetsConstraints} from './Placement.ts';
import {isStartableTask, listStartableTasks} from './ReadySteps.ts';
import {isDeferrable} from './StartBudget.ts';
import {isApartFromSuspects} from './SuspectSeparation.ts';

/**
 * `advice`: the advisor permits no minion with room, or has not answered. `availability`: all minions
 * with room get no new work. `avoidance`: it has failed or stalled a short time ago on those that are
 * left. `deadly`: minions crash under it or a task of its job, and chance is excluded. `directory`: the view of the
 * directory of minions is too old for any start. `gang`: members of its gang have runs that are not over.
 * `last-attempt`: its last attempt is kept for a better minion.
 * `lease`: its run may be live on a minion that does not respond. `placement`: none of these; it was not
 * reached, or its gang does not fit as a whole. `recovery`: minions that have not reported may run it.
 * `room`: no minion has room. `sharing`: it would disturb serving tasks. `start`: its start is not
 * confirmed. `start-limit`: the owner starts no more now. `stop`: its run is being stopped. `suspicion`:
 * a task of its job is suspected of crashes. `trust`: the minions with room are not trusted.
 * `unknown-result`: runs whose results are not known may have been its last attempts.
 */
export type PendingReason =
  | 'advice'
  | 'availability'
  | 'avoidance'
  | 'deadly'
  | 'directory'
  | 'gang'
  | 'last-attempt'
  | 'lease'
  | 'placement'
  | 'recovery'
  | 'room'
  | 'sharing'
  | 'start'
  | 'start-limit'
  | 'stop'
  | 'suspicion'
  | 'trust'
  | 'unknown-result';

/**
 * What limits the starts of a round. `allowance`: the starts of deferrable work are used up. `backlog`: too
 * many starts wait to be sent. `time`: the time for placement was used up before all steps were placed.
 */
export type StartLimit = 'allowance' | 'backlog' | 'time';

/** What a reason rests on. */
export interface PendingDetails {
  /** What limits the starts; of `start-limit` alone. */
  readonly limit?: StartLimit | undefined;
  /** The minion that is waited for. */
  readonly minion?: MinionId | undefined;
  /** Longest time in milliseconds for which the reason lasts; undefined where nothing limits it. */
  readonly untilMs?: number | undefined;
}

export interface PendingCause extends PendingDetails {
  readonly reason: PendingReason;
}

export interface PendingTask {
  readonly index: number;
  readonly step: StepState;
}

/** The last round of planning. */
export interface PendingContext {
  readonly advice: AdviceLookup;
  /** Time in milliseconds in which accepted work with free room has to run; absent for its default. */
  readonly finishMs?: number | undefined;
  readonly fleet: Fleet;
  /** Why the round started nothing at all. */
  readonly hold: 'backlog' | 'directory' | undefined;
  /** Whether the round started nothing deferrable, since too many starts wait to be sent. */
  readonly isBacklogged?: boolean;
  /** Whether the round has used up its starts of deferrable work. */
  readonly isBudgetUsedUp: boolean;
  /** Whether it ended before all steps were placed. */
  readonly isCut: boolean;
  /** Whether it ended since it had planned as many starts as may wait to be sent, and not for its time. */
  readonly isRoomUsedUp?: boolean | undefined;
  readonly now: Instant;
  /** Longest time in milliseconds for which the recovery may still wait. */
  readonly recoveryMs: number;
  readonly sharingCosts: SharingCosts;
}

type TaskRule = (task: PendingTask, context: PendingContext) => PendingDetails | undefined;
type MinionRule = (task: PendingTask, minion: MinionState, judge: PendingTaskJudge) => boolean;

function findUnknownResult(
  {index, step}: PendingTask,
  {fleet}: PendingContext,
): PendingDetails | undefined {
  const {maxAttempts} = fleet.resolveQueuePolicy(step.job);
  const [minion] = step.unknownResults.get(index)?.values() ?? [];
  return minion !== undefined && step.countPossibleFailures(index) >= maxAttempts
    ? {minion}
    : undefined;
}

function findGangRun({step}: PendingTask, {fleet}: PendingContext): PendingDetails | undefined {
  if (!step.shape.gang) {
    return undefined;
  }
  const [run] = step.runs();
  const isWhole = listStartableTasks(fleet, step).length === step.waiting.size;
  return run === undefined && isWhole ? undefined : {minion: run?.minion};
}

/** What withholds a task whatever minions there are, in the order in which it binds. */
const TASK_RULES: readonly (readonly [PendingReason, TaskRule])[] = [
  [
    'recovery',
    ({index, step}, {fleet, recoveryMs}) =>
      isStartableTask(fleet, step, index) ? undefined : {untilMs: recoveryMs},
  ],
  ['unknown-result', findUnknownResult],
  ['deadly', (task, context) => (isHeldAsDeadly(task, context) ? {} : undefined)],
  [
    'suspicion',
    (task, context) =>
      context.fleet.suspectedJobs.has(task.step.job) ? describeSuspicion(task, context) : undefined,
  ],
  ['gang', findGangRun],
];

function hasRoom({step}: PendingTask, minion: MinionState): boolean {
  const {fillsSpareCpu, resources} = step.shape;
  const hasSpareCpu = !fillsSpareCpu || minion.spareCpuMilli >= resources.cpuMilli;
  return hasSpareCpu && minion.hasCapacity(step.shape) && meetsConstraints(step, minion);
}

/** What a minion has to meet, in order; the reason is the first rule that no minion meets with all before. */
const MINION_RULES: readonly (readonly [PendingReason, MinionRule])[] = [
  ['room', hasRoom],
  [
    'availability',
    (_task, minion, judge) =>
      judge.findUnavailability(minion) === undefined || isOnlyUntrusted(minion, judge.context.now),
  ],
  ['trust', (_task, minion, judge) => judge.findUnavailability(minion) === undefined],
  [
    'advice',
    ({step}, minion, {context: {advice, fleet}}) =>
      fleet.resolveQueuePolicy(step.job).advice === undefined ||
      advice.isPermitted(step, minion) === true,
  ],
  [
    'avoidance',
    (task, minion, {context: {fleet, now}}) => now >= findAvoidanceEnd(fleet, task, minion, now),
  ],
  [
    'last-attempt',
    ({index, step}, minion, {context: {fleet, now}}) => {
      const {maxAttempts} = fleet.resolveQueuePolicy(step.job);
      return !shouldSaveLastAttempt(fleet, {index, maxAttempts, step}, minion, now);
    },
  ],
  [
    'suspicion',
    // The separation counts from when planning first considers the task, so not from a review before that.
    ({index, step}, minion, {context: {hold, now}}) =>
      hold !== undefined || isApartFromSuspects(step, index, minion, now),
  ],
  [
    'sharing',
    ({step}, minion, {context: {now, sharingCosts}}) =>
      !step.shape.fillsSpareCpu || sharingCosts.backfillCost(minion, step, now) !== undefined,
  ],
];

function findStartLimit(
  {step}: PendingTask,
  {fleet, hold, isBacklogged = false, isBudgetUsedUp, isCut, isRoomUsedUp = false}: PendingContext,
): StartLimit | undefined {
  const isWithheld = isDeferrable(fleet, step);
  if (hold === 'backlog' || (isBacklogged && isWithheld)) {
    return 'backlog';
  }
  if (isCut) {
    return isRoomUsedUp ? 'backlog' : 'time';
  }
  return isBudgetUsedUp && isWithheld ? 'allowance' : undefined;
}

/** What withholds a task that could start otherwise. */
const ROUND_RULES: readonly (readonly [PendingReason, TaskRule])[] = [
  ['directory', (_task, {hold}) => (hold === 'directory' ? {} : undefined)],
  [
    'start-limit',
    (task, context) => {
      const limit = findStartLimit(task, context);
      return limit && {limit};
    },
  ],
];

function applyTaskRules(
  rules: readonly (readonly [PendingReason, TaskRule])[],
  task: PendingTask,
  context: PendingContext,
): PendingCause | undefined {
  for (const [reason, rule] of rules) {
    const details = rule(task, context);
    if (details !== undefined) {
      return {...details, reason};
    }
  }
  return undefined;
}

/**
 * @example
 * const judge = new PendingTaskJudge({advice, fleet, hold, isBudgetUsedUp, isCut, now, recoveryMs, sharingCosts});
 * judge.findCause({index: 0, step}); // {minion: 'm1', reason: 'last-attempt', untilMs: 7_200}
 */
export class PendingTaskJudge {
  readonly context: PendingContext;
  readonly #minions: MinionsByService;
  /** Found only for the minions that a task asks for. */
  readonly #unavailability = new Map<MinionState, undefined | Unavailability>();

  constructor(context: PendingContext) {
    this.context = context;
    const {fleet, now} = context;
    this.#minions = new MinionsByService(fleet.minions.values());
    // A round that starts nothing does not look for free room.
    fleet.freeRoom.observe(fleet, now);
  }

  /** Returns why a waiting task does not start. */
  findCause(task: PendingTask): PendingCause {
    return (
      applyTaskRules(TASK_RULES, task, this.context) ??
      this.#findMinionCause(task) ??
      applyTaskRules(ROUND_RULES, task, this.context) ?? {reason: 'placement'}
    );
  }

  findUnavailability(minion: MinionState): undefined | Unavailability {
    const known = this.#unavailability.get(minion);
    if (known !== undefined || this.#unavailability.has(minion)) {
      return known;
    }
    const found = findUnavailability(minion, this.context.now);
    this.#unavailability.set(minion, found);
    return found;
  }

  #findMinionCause(task: PendingTask): PendingCause | undefined {
    const {fleet} = this.context;
    const {service} = fleet.resolveQueuePolicy(task.step.job);
    let closest: MinionState | undefined;
    let met = -1;
    for (const minion of this.#minions.of(service)) {
      const failed = MINION_RULES.findIndex(([, rule]) => !rule(task, minion, this));
      if (failed === -1) {
        return undefined;
      }
      if (failed > met) {
        closest = minion;
        met = failed;
      }
    }
    const reason = MINION_RULES[met]?.[0] ?? 'room';
    const details = closest && PENDING_DETAILS[reason]?.(task, closest, this.context);
    return {...details, reason};
  }
}

/** Whether it does not respond. A minion whose entry is missing may respond all the same. */
function isSilent({lastAnswerAt, missedCalls, unlistedSince}: MinionState): boolean {
  return missedCalls > 0 || (lastAnswerAt ?? -Infinity) < (unlistedSince ?? -Infinity);
}

type RunRule = (run: Run, minion: MinionState) => boolean;

/** Why a task with a run does not run, in the order in which it binds. */
const RUN_RULES: readonly (readonly [PendingReason, RunRule])[] = [
  ['unknown-result', (run, {endedRuns}) => endedRuns.has(run)],
  ['lease', (_run, minion) => isSilent(minion)],
  ['stop', ({phase}) => phase === 'stopping'],
  ['start', ({knownFrom, phase}) => phase === 'starting' || knownFrom === 'record'],
];

function findRunReason(run: Run, minion: MinionState): PendingReason | undefined {
  for (const [reason, isMet] of RUN_RULES) {
    if (isMet(run, minion)) {
      return reason;
    }
  }
  return undefined;
}

/**
 * Returns why a task whose run is on the minion may not run; undefined when it runs.
 *
 * @example
 * findRunCause(run, minion, now); // {minion: 'm1', reason: 'lease', untilMs: 2_300}
 */
export function findRunCause(
  run: Run,
  minion: MinionState,
  now: Instant,
): PendingCause | undefined {
  const reason = findRunReason(run, minion);
  if (reason === undefined) {
    return undefined;
  }
  const leasedMs = Math.max(0, (run.leasedUntil ?? Infinity) - now);
  const untilMs =
    reason === 'lease' ? Math.min(minion.leaseClock.expiresInMs(now), leasedMs) : undefined;
  return {minion: minion.id, reason, untilMs};
}
