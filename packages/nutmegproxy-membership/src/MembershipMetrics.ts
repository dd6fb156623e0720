/** Metrics of tenure, the record and loans, collected at each scrape. */

import type {EntryNode} from '@nutmegproxy/core';

import {Counter, Gauge} from 'prom-client';

import type {MembershipNode} from './MembershipNode.ts';
import type {SlotLoans} from './SlotLoans.ts';

const MS_PER_SECOND = 1_000;

function registerGauge(node: EntryNode, name: string, help: string, read: () => number): void {
  new Gauge({
    collect() {
      this.set(read());
    },
    help,
    name: `nutmegproxy_membership_${name}`,
    registers: [node.metrics],
  });
}

/** Returns the seconds until tenure ends unless it is renewed; 0 without tenure. */
function getTenureLeftSeconds(node: EntryNode, membership: MembershipNode): number {
  const now = node.clock.monotonic();
  return Math.max(0, membership.tenureExpiresAt() - now) / MS_PER_SECOND;
}

function countOwnCells(node: EntryNode, membership: MembershipNode): number {
  const cells = [...(membership.allotment()?.cells.values() ?? [])];
  return cells.filter(({owner}) => owner === node.identity.incarnation).length;
}

function countOwnSlots(membership: MembershipNode): number {
  const minions = [...(membership.allotment()?.minions.keys() ?? [])];
  return minions.reduce((sum, minion) => sum + membership.ownShare(minion), 0);
}

export function registerMembershipMetrics(node: EntryNode, membership: MembershipNode): void {
  registerGauge(node, 'tenure_held', 'Whether this process holds tenure, 0 or 1.', () =>
    membership.holdsTenure(node.clock.monotonic()) ? 1 : 0,
  );
  registerGauge(node, 'tenure_left_seconds', 'Time until tenure ends unless renewed.', () =>
    getTenureLeftSeconds(node, membership),
  );
  registerGauge(
    node,
    'members',
    'Members of the data centre in the record.',
    () => membership.allotment()?.members.size ?? 0,
  );
  registerGauge(node, 'cells_owned', 'Cells that this process owns.', () =>
    countOwnCells(node, membership),
  );
  registerGauge(node, 'slots_held', 'Slots of minions in the share of this process.', () =>
    countOwnSlots(membership),
  );
  new Counter({
    collect() {
      this.reset();
      this.inc(membership.removalCount);
    },
    help: 'Members that this process has removed from the record.',
    name: 'nutmegproxy_membership_removals_total',
    registers: [node.metrics],
  });
}

export function registerLoanMetrics(node: EntryNode, loans: SlotLoans): void {
  registerGauge(node, 'slots_lent', 'Slots lent to peers.', () => loans.countLent());
  registerGauge(node, 'slots_borrowed', 'Slots borrowed from peers.', () => loans.countBorrowed());
}
