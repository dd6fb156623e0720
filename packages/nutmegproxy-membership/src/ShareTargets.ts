/** Computes how many slots and connections of each minion a member should hold. */

import type {MemberRecord} from '@nutmegproxy/schema';

import {computeWeight} from './RendezvousHash.ts';

/**
 * Divides a minion's slots evenly; the remainder goes to the members that rank first for the
 * minion, so that a change of members moves few slots.
 */
export function computeTargetShare(
  minion: string,
  slots: number,
  members: readonly MemberRecord[],
  incarnation: string,
): number {
  const ranked = members
    .map((member) => ({member, weight: computeWeight(minion, member)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1));
  const rank = ranked.findIndex(({member}) => member.incarnation === incarnation);
  if (rank < 0) {
    return 0;
  }
  const remainder = slots % members.length;
  return Math.floor(slots / members.length) + (rank < remainder ? 1 : 0);
}

/**
 * Returns the connections to a minion that correspond to a share of its slots. Their sum over the
 * members never exceeds the minion's connections.
 *
 * @example
 * connectionShare(64, 8, 2); // 16
 */
export function computeConnectionShare(connections: number, slots: number, share: number): number {
  return slots === 0 ? 0 : Math.floor((connections * Math.min(share, slots)) / slots);
}
