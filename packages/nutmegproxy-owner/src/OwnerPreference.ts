/**
 * Which entry VMs own the fleet first, for fleets that are too large for the smallest VMs: an owner
 * without enough processor time falls behind with its renewals and listings, and nothing is started.
 */

/** Factor by which another VM has to be larger to be preferred. */
const LARGER_VM_FACTOR = 1.3;
/** Wait in milliseconds while a larger VM may take the ownership; larger ones take well under it. */
const SMALLER_VM_DELAY_MS = 1_500;
/** Wait in milliseconds per core that a VM lacks of two, while it knows no other VM yet. */
const DELAY_MS_PER_MISSING_CORE = 350;
const UNDELAYED_CORES = 2;
/** Least time in milliseconds between two attempts to hand over; one that fails costs a takeover. */
const MIN_HANDOVER_INTERVAL_MS = 15_000;

/** Whether one of the other VMs has clearly more processor time. */
export function hasLargerVm(ownCores: number, otherCores: readonly number[]): boolean {
  return otherCores.some((cores) => cores >= ownCores * LARGER_VM_FACTOR);
}

/**
 * Wait in milliseconds before this VM tries to take a free ownership.
 *
 * @example
 * choosePreferenceMs(0.3, [1.3, 0.3]); // 1_500
 */
export function chooseTakeoverDelayMs(ownCores: number, otherCores: readonly number[]): number {
  if (otherCores.length === 0) {
    return Math.max(0, UNDELAYED_CORES - ownCores) * DELAY_MS_PER_MISSING_CORE;
  }
  return hasLargerVm(ownCores, otherCores) ? SMALLER_VM_DELAY_MS : 0;
}

/** Whether an owner of `ownedMs` gives the ownership up for a larger VM. */
export function shouldHandOver(
  ownCores: number,
  otherCores: readonly number[],
  ownedMs: number,
): boolean {
  return ownedMs >= MIN_HANDOVER_INTERVAL_MS && hasLargerVm(ownCores, otherCores);
}
