/** How often a member reads the record, so that the store's load grows more slowly than the fleet. */

import {FULL_RATE_MEMBERS, MAX_POLL_INTERVAL_FACTOR} from './MembershipConstants.ts';

/** What decides on the next read. */
export interface PollInputs {
  /** Something in the record waits for this process to act again soon. */
  readonly isUrgent: boolean;
  /** Members of the record, 0 before the first read. */
  readonly members: number;
}

/**
 * Interval between two reads of one member. Peers tell each other of new revisions, so with many
 * members each reads less often, and all together about as often as POLLING_MEMBERS would. `random`,
 * from 0 to 1, spreads the reads: a notice of a new revision wakes all members at the same time.
 *
 * @example
 * choosePollMs(2_000, {members: 9, isUrgent: false}, 0.5); // 6_000
 */
export function choosePollIntervalMs(
  baseMs: number,
  {isUrgent, members}: PollInputs,
  random: number,
): number {
  const factor = isUrgent ? 1 : Math.max(1, members / FULL_RATE_MEMBERS);
  const meanExtraFactor = Math.min(factor, MAX_POLL_INTERVAL_FACTOR) - 1;
  return baseMs * (1 + 2 * random * meanExtraFactor);
}
