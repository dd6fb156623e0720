/** Attaches membership to a node: two loops renew tenure and keep the record. */

import type {DrainStart, EntryNode, Unregister} from '@nutmegproxy/core';
import type {TargetedMesh} from '@nutmegproxy/peers';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDepartures} from '@nutmegproxy/workers';

import {DRAIN_STARTED, mergeUnregister, PRIORITY_LOW} from '@nutmegproxy/core';
import {setTimeout as sleep} from 'node:timers/promises';

import type {Membership} from './Membership.ts';
import type {MembershipPeriods, VmSource} from './MembershipServices.ts';

import {
  LEAVE_LIMIT_MS,
  LEAVE_POLL_MS,
  LOAN_TERM_MS,
  OUTAGE_LIMIT_MS,
  POLL_SHARE,
  RECORD_POLL_MS,
  REQUEST_LIMIT_MS,
  TENURE_TTL_MS,
  TICK_MS,
  TICK_SHARE,
  VOUCH_PERIOD_MS,
} from './MembershipConstants.ts';
import {registerMembershipMetrics} from './MembershipMetrics.ts';
import {MembershipNode} from './MembershipNode.ts';
import {choosePollMs} from './RecordPolling.ts';

export const DEFAULT_PERIODS: MembershipPeriods = {
  loanTermMs: LOAN_TERM_MS,
  outageLimitMs: OUTAGE_LIMIT_MS,
  requestLimitMs: REQUEST_LIMIT_MS,
  tenureTtlMs: TENURE_TTL_MS,
  vouchPeriodMs: VOUCH_PERIOD_MS,
};

export interface MembershipOptions {
  /** Entry VMs that the platform has ended. */
  readonly departures: VmDepartures;
  readonly directory: VmSource;
  readonly mesh: TargetedMesh;
  /** Address under which peers reach this process. */
  readonly peerAddress: string;
  readonly periods?: Partial<MembershipPeriods>;
  readonly pollMs?: number;
  /** Prefix of all keys in the store. */
  readonly prefix: string;
  readonly store: PlatformStore;
  readonly tickMs?: number;
}

/** Sleeps until a time has passed or `wake` is called. */
class Pause {
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
 * Joins the data centre's record and stays in it. A planned stop gives up shares and cells first.
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
  // A short tenure has to be looked after more often.
  const tickMs = options.tickMs ?? Math.min(TICK_MS, periods.tenureTtlMs * TICK_SHARE);
  const pollMs = options.pollMs ?? Math.min(RECORD_POLL_MS, periods.tenureTtlMs * POLL_SHARE);
  const recordPause = new Pause();
  const tenurePause = new Pause();
  let leaving = false;
  let running = true;
  const membership = new MembershipNode(
    {departures, directory, mesh, node, peerAddress, periods, store},
    {
      onNotice: () => {
        recordPause.wake();
      },
      prefix,
    },
  );
  registerMembershipMetrics(node, membership);
  const keepRecord = async () => {
    while (running && !membership.ended) {
      await membership.stepRecord();
      const nextMs = choosePollMs(pollMs, membership.pollNeeds, Math.random());
      await recordPause.wait(leaving ? Math.min(nextMs, LEAVE_POLL_MS) : nextMs);
    }
  };
  const keepTenure = async () => {
    while (running && !membership.ended) {
      await membership.stepTenure(node.clock.monotonic());
      await tenurePause.wait(tickMs);
    }
  };
  const loops = Promise.all([keepRecord(), keepTenure()]);
  const drain = ({wait}: DrainStart) => {
    leaving = true;
    membership.leave();
    recordPause.wake();
    const limit = sleep(LEAVE_LIMIT_MS, undefined, {ref: false});
    wait(Promise.race([loops, limit]).then(() => undefined));
    return false;
  };
  const unregister = mergeUnregister(
    membership.unregister,
    () => {
      running = false;
      recordPause.wake();
      tenurePause.wake();
    },
    node.bus.register(DRAIN_STARTED, drain, PRIORITY_LOW),
  );
  return {membership, unregister};
}
