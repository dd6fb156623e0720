/** Registers membership at a node and runs its two loops, which renew tenure and the record. */

import type {DrainStart, EntryNode, Unregister} from '@nutmegproxy/core';
import type {TargetedMesh} from '@nutmegproxy/peers';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDepartures} from '@nutmegproxy/workers';

import {DRAIN_STARTED, mergeUnregister, PRIORITY_LOW} from '@nutmegproxy/core';
import {setTimeout as sleep} from 'node:timers/promises';

import type {Membership} from './Membership.ts';
import type {MembershipPeriods, VmSource} from './MembershipServices.ts';

import {
  LEAVE_POLL_MS,
  LEAVE_TIMEOUT_MS,
  LOAN_TERM_MS,
  MAX_POLL_FRACTION,
  MAX_TICK_FRACTION,
  OUTAGE_LIMIT_MS,
  RECORD_POLL_MS,
  REQUEST_LIMIT_MS,
  TENURE_TTL_MS,
  TICK_MS,
  VOUCH_PERIOD_MS,
} from './MembershipConstants.ts';
import {registerMembershipMetrics} from './MembershipMetrics.ts';
import {MembershipNode} from './MembershipNode.ts';
import {choosePollIntervalMs} from './RecordPollInterval.ts';

export const DEFAULT_PERIODS: MembershipPeriods = {
  loanTermMs: LOAN_TERM_MS,
  outageLimitMs: OUTAGE_LIMIT_MS,
  requestLimitMs: REQUEST_LIMIT_MS,
  tenureTtlMs: TENURE_TTL_MS,
  vouchPeriodMs: VOUCH_PERIOD_MS,
};

export interface MembershipOptions {
  /** Entry VMs that the platform has terminated. */
  readonly departures: VmDepartures;
  readonly directory: VmSource;
  readonly mesh: TargetedMesh;
  /** Address at which peers reach this process. */
  readonly peerAddress: string;
  readonly periods?: Partial<MembershipPeriods>;
  readonly pollMs?: number;
  /** Prefix of all keys in the store. */
  readonly prefix: string;
  readonly store: PlatformStore;
  readonly tickMs?: number;
}

/** Timer whose wait ends early when `wake` is called. */
class InterruptibleTimer {
  #controller = new AbortController();

  async wait(milliseconds: number): Promise<void> {
    const {signal} = this.#controller;
    await sleep(milliseconds, undefined, {signal}).catch(() => undefined);
    this.#controller = new AbortController();
  }

  wake(): void {
    this.#controller.abort();
  }
}

/**
 * Joins the data centre's record and stays a member until a planned stop, which first releases
 * shares and cells.
 *
 * @example
 * const {membership, unregister} = registerMembership(node, {
 *   departures, directory, mesh, peerAddress: mesh.peerAddress, prefix: '/nutmegproxy', store,
 * });
 */
export function registerMembership(
  node: EntryNode,
  options: MembershipOptions,
): {membership: Membership; unregister: Unregister} {
  const {departures, directory, mesh, peerAddress, prefix, store} = options;
  const periods = {...DEFAULT_PERIODS, ...options.periods};
  // A short tenure requires shorter intervals.
  const tickMs = options.tickMs ?? Math.min(TICK_MS, periods.tenureTtlMs * MAX_TICK_FRACTION);
  const pollMs =
    options.pollMs ?? Math.min(RECORD_POLL_MS, periods.tenureTtlMs * MAX_POLL_FRACTION);
  const recordTimer = new InterruptibleTimer();
  const tenureTimer = new InterruptibleTimer();
  let isLeaving = false;
  let isRunning = true;
  const membership = new MembershipNode(
    {departures, directory, mesh, node, peerAddress, periods, store},
    {
      onNotice: () => {
        recordTimer.wake();
      },
      prefix,
    },
  );
  registerMembershipMetrics(node, membership);
  const runRecordLoop = async () => {
    while (isRunning && !membership.hasLeft) {
      await membership.reconcileRecord();
      const nextMs = choosePollIntervalMs(pollMs, membership.pollInputs, Math.random());
      await recordTimer.wait(isLeaving ? Math.min(nextMs, LEAVE_POLL_MS) : nextMs);
    }
  };
  const runTenureLoop = async () => {
    while (isRunning && !membership.hasLeft) {
      await membership.renewTenure(node.clock.monotonic());
      await tenureTimer.wait(tickMs);
    }
  };
  const loops = Promise.all([runRecordLoop(), runTenureLoop()]);
  const handleDrain = ({wait}: DrainStart) => {
    isLeaving = true;
    membership.leave();
    recordTimer.wake();
    const timeout = sleep(LEAVE_TIMEOUT_MS, undefined, {ref: false});
    wait(Promise.race([loops, timeout]).then(() => undefined));
    return false;
  };
  const unregister = mergeUnregister(
    membership.unregister,
    () => {
      isRunning = false;
      recordTimer.wake();
      tenureTimer.wake();
    },
    node.bus.register(DRAIN_STARTED, handleDrain, PRIORITY_LOW),
  );
  return {membership, unregister};
}
