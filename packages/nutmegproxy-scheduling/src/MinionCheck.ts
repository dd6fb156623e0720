/**
 * Checks descriptions of minions that other programs may have written. A description that fails
 * names no minion: its values would reach URLs, timers and stored records.
 */

import type {WallTime} from '@nutmegproxy/core';

import {validateFleetMinion} from '@nutmegproxy/schema';

import type {MinionDescription} from './MinionState.ts';

/** Largest lead in milliseconds of a minion's wall clock over that of a VM. */
const MAX_CLOCK_LEAD_MS = 86_400_000;

/** Whether a connection can be made to an address of the form that the schema describes. */
export function isCallAddress(address: string): boolean {
  return URL.canParse(`http://${address}`);
}

/**
 * Returns the description if all its fields are in range; otherwise undefined. `wall` is the present
 * time: no minion can have started after it.
 *
 * @example
 * checkMinion({...description, address: '10.0.0.1:99999'}, wall); // undefined
 */
export function checkMinion(description: unknown, wall: WallTime): MinionDescription | undefined {
  if (!validateFleetMinion(description)) {
    return undefined;
  }
  const {address, bornAt = 0} = description;
  const isUsable = isCallAddress(address) && bornAt <= wall + MAX_CLOCK_LEAD_MS;
  // The schema describes the same fields without branded ids.
  return isUsable ? (description as unknown as MinionDescription) : undefined;
}
