/** How often a member reads the record, so that the store's load grows more slowly than the fleet. */

import {MAX_POLL_STRETCH, POLLING_MEMBERS} from './MembershipConstants.ts';

/** What decides on the next read. */
export interface PollNeeds {
  /** Members of the record, 0 before the first read. */
  readonly members: number;
  /** Something in the record waits for this process to act again soon. */
  readonly urgent: boolean;
}

/**
 * Interval between two reads of one member. Peers tell each other of new revisions, so with many
 * members each reads less often, and all together about as often as POLLING_MEMBERS would. `random`,
 * from 0 to 1, spreads the reads: a notice of a new revision wakes all members at the same time.
 *
 * @example
 * choosePollMs(2_000, {members: 9, urgent: false}, 0.5); // 6_000
 */
export function choosePollMs(baseMs: number, {members, urgent}: PollNeeds, random: number): number {
  const wanted = urgent ? 1 : Math.max(1, members / POLLING_MEMBERS);
  const meanExtra = Math.min(wanted, MAX_POLL_STRETCH) - 1;
  return baseMs * (1 + 2 * random * meanExtra);
}
