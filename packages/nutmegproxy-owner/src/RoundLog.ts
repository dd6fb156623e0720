/** Logs, at bounded rates, what the rounds of planning have found and done. */

import type {EventSink, Instant, WallTime} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {Fleet, PlanContext, SharingPolicy} from '@nutmegproxy/scheduling';

import {
  countDeferrable,
  PendingTaskLog,
  ServingLatencyLog,
  summarizeFleet,
  UntrustedMinionLog,
  WithheldTaskLog,
} from '@nutmegproxy/scheduling';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {MinionRecovery} from './MinionRecovery.ts';
import type {MinionSessions} from './MinionSessions.ts';
import type {OwnerLoad} from './OwnerLoad.ts';
import type {PollLimiter} from './PollLimiter.ts';
import type {StartLimiter} from './StartLimiter.ts';
import type {StartThrottle} from './StartThrottle.ts';
import type {TrackedOrders} from './TrackedOrders.ts';

import {SUMMARY_INTERVAL_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {TaskWaitLog} from './TaskWaitLog.ts';

/**
 * Why a round starts nothing. `backlog`: too many urgent starts wait to be sent. `directory`: the view of the
 * directory of minions is too old. `handover`: the VM stops, and another one is about to own the fleet.
 */
export type RoundHold = 'backlog' | 'directory' | 'handover';

/** A round of planning. */
export interface Round {
  /** What its starts were planned with, or would have been. */
  readonly context: PlanContext;
  readonly hold: RoundHold | undefined;
  /** Whether as many starts were planned as may wait to be sent. */
  readonly isRoomUsedUp?: boolean;
  readonly now: Instant;
  readonly starts: readonly Run[];
  readonly wall: WallTime;
}

export interface RoundLogOptions {
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly load: OwnerLoad;
  readonly minions: Pick<MinionSessions, 'computeDirectoryAge'> & {
    readonly recovery: Pick<MinionRecovery, 'describe' | 'findRemainingMs'>;
  };
  readonly orders: Pick<TrackedOrders, 'describe'>;
  readonly ownership: Pick<FleetOwnership, 'requestedAt' | 'term'>;
  readonly pollLimiter: Pick<PollLimiter, 'eventFields'>;
  readonly sharing: Pick<SharingPolicy, 'describeExposure'>;
  readonly startLimiter: StartLimiter;
  readonly startThrottle: StartThrottle;
}

export class RoundLog {
  readonly #options: RoundLogOptions;
  readonly #pendingTasks = new PendingTaskLog();
  readonly #servingLatencies = new ServingLatencyLog();
  #summarizedAt = -Infinity;
  readonly #taskWaits: TaskWaitLog;
  readonly #untrustedMinions = new UntrustedMinionLog();
  readonly #withheldTasks = new WithheldTaskLog();

  constructor(options: RoundLogOptions) {
    this.#options = options;
    this.#taskWaits = new TaskWaitLog(options);
  }

  /** Records a round, whose starts have not been sent yet. */
  record(round: Round): void {
    const {fleet, load, minions, sharing, startLimiter} = this.#options;
    const {now, starts, wall} = round;
    this.#summarize(now, wall);
    const recoveryMs = minions.recovery.findRemainingMs(now);
    this.#servingLatencies.review(fleet, sharing, now);
    this.#untrustedMinions.review(fleet, now);
    this.#taskWaits.recordRound(round);
    const withheld = this.#withheldTasks.review(fleet, {now, recoveryMs, wall});
    if (withheld !== undefined) {
      this.#taskWaits.review(withheld, now);
    }
    const {advice, deferrableStarts = Infinity, finishMs, sharingCosts, sweep} = round.context;
    const isBudgetUsedUp = deferrableStarts <= countDeferrable(fleet, starts);
    this.#pendingTasks.review({
      advice,
      finishMs,
      fleet,
      hold: round.hold === 'handover' ? undefined : round.hold,
      isBacklogged: startLimiter.isBacklogged,
      isBudgetUsedUp,
      isCut: sweep?.isOpen ?? false,
      isRoomUsedUp: round.isRoomUsedUp,
      now,
      recoveryMs,
      sharingCosts,
      wall,
    });
    for (const run of starts) {
      load.recordPlaced(run, now);
    }
  }

  #summarize(now: Instant, wall: WallTime): void {
    if (now - this.#summarizedAt <= SUMMARY_INTERVAL_MS) {
      return;
    }
    this.#summarizedAt = now;
    const {events, fleet, load, minions, pollLimiter, startLimiter, startThrottle} = this.#options;
    events.record(OWNER_EVENTS.FLEET_SUMMARY, {
      ...summarizeFleet(fleet, now, wall),
      ...pollLimiter.eventFields,
      ...startLimiter.eventFields,
      ...startThrottle.eventFields,
      ...load.takeFields(),
      directoryAgeMs: Math.round(minions.computeDirectoryAge(now)),
    });
    if (fleet.recoveryRevision > 0) {
      events.record(OWNER_EVENTS.RECOVERY_WAITING, minions.recovery.describe(now));
    }
  }
}
