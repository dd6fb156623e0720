/** Rendezvous hashing: all processes rank the members identically for each minion and cell. */

import type {MemberRecord} from '@nutmegproxy/schema';

import {createHash} from 'node:crypto';

/**
 * Computes a member's weight for an item; the highest weight ranks first. The hash depends on the
 * VM, so that a restarted process gets the same items; the incarnation only breaks ties.
 */
export function computeWeight(
  item: string,
  member: Pick<MemberRecord, 'incarnation' | 'vm'>,
): string {
  const digest = createHash('sha256').update(`${item}|${member.vm}`).digest('hex');
  return `${digest}|${member.incarnation}`;
}
