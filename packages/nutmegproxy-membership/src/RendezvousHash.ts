/** Rendezvous hashing: every process ranks the members alike for each minion and cell. */

import type {MemberRecord} from '@nutmegproxy/schema';

import {createHash} from 'node:crypto';

/**
 * Weight of a member for an item; the highest weight comes first. It follows the VM, so that a
 * restarted process gets what it had; the incarnation only settles ties.
 */
export function computeWeight(
  item: string,
  member: Pick<MemberRecord, 'incarnation' | 'vm'>,
): string {
  const digest = createHash('sha256').update(`${item}|${member.vm}`).digest('hex');
  return `${digest}|${member.incarnation}`;
}
