/** Tells when an owner that is stopped as planned hands the fleet over with the least work begun anew. */

import type {Fleet, MinionState} from '@nutmegproxy/scheduling';

/** Whether a minion that responds has a run whose stop is ordered and not yet listed. */
function isStopping({missedCalls, runs, unlistedSince}: MinionState): boolean {
  const isAnswering = missedCalls === 0 && unlistedSince === undefined;
  return isAnswering && [...runs].some(({phase}) => phase === 'stopping');
}

/**
 * Whether recovery is complete and no minion that responds is stopping a run. The next owner would begin the recovery
 * anew, and hold a task whose stop was not listed for as long as the minion's lease if that has left.
 *
 * @example
 * isSettled(fleet); // false right after a takeover
 */
export function isSettled(fleet: Fleet): boolean {
  return fleet.recoveryRevision === 0 && ![...fleet.minions.values()].some(isStopping);
}
