/** Chooses how often a member reads the record, so that store load grows slower than the fleet. */

import {FULL_RATE_MEMBERS, MAX_POLL_INTERVAL_FACTOR} from './MembershipConstants.ts';

/** Inputs that determine when the next read is due. */
export interface PollInputs {
  /** Whether the record requires this process to act again soon. */
  readonly isUrgent: boolean;
  /** Members in the record; 0 before the first read. */
  readonly members: number;
}

/**
 * Returns the interval in ms between two reads of one member. Peers announce new revisions to each
 * other, so with many members each reads less often, and all together about as often as
 * FULL_RATE_MEMBERS would. `random`, from 0 to 1, spreads the reads, since a notice of a new
 * revision wakes all members at the same time.
 *
 * @example
 * choosePollIntervalMs(2_000, {members: 9, isUrgent: false}, 0.5); // 6_000
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
