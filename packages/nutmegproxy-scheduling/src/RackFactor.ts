/** Tells how much longer runs take on another rack than that of their data or their gang. */

import type {Run} from '@nutmegproxy/jobs';

import type {Fleet} from './Fleet.ts';

/** Factor that limits on speeds and durations leave room for; what exceeds it is counted. */
const TOLERATED_FACTOR = 1.5;

/** Whether the members of the run's gang are on more than one rack. */
function isGangSpread(fleet: Fleet, {minion, number, step}: Run): boolean {
  const rack = fleet.minions.get(minion)?.description.rack;
  for (const member of step.runs()) {
    const other = fleet.minions.get(member.minion);
    if (member.number === number && other !== undefined && other.description.rack !== rack) {
      return true;
    }
  }
  return false;
}

function isRemote(fleet: Fleet, run: Run): boolean {
  const {gang, preferredRack, rackLocal} = run.step.shape;
  const minion = fleet.minions.get(run.minion);
  const isAway =
    preferredRack !== undefined &&
    minion !== undefined &&
    minion.description.rack !== preferredRack;
  return isAway || (gang && rackLocal && isGangSpread(fleet, run));
}

/**
 * Returns the factor by which the expected duration of a run has to be multiplied, since it is not on the
 * rack of its data or of its gang; 1 for a run on these, and for factors that all limits leave room for.
 *
 * @example
 * computeRackFactor(fleet, runOnAnotherRack, 3); // 2
 */
export function computeRackFactor(fleet: Fleet, run: Run, remoteRackFactor: number): number {
  return remoteRackFactor > TOLERATED_FACTOR && isRemote(fleet, run)
    ? remoteRackFactor / TOLERATED_FACTOR
    : 1;
}
