/**
 * Prefers large entry VMs as owners of the fleet. An owner that is too small for its fleet falls
 * behind with lease renewals and polls, and nothing is started.
 */

/** Factor by which another VM's cores have to exceed this VM's for it to be preferred. */
const LARGER_VM_FACTOR = 1.3;
/** Delay that lets a larger VM acquire the ownership first; larger VMs need much less time. */
const SMALLER_VM_DELAY_MS = 1_500;
/** Delay per core that a VM has less than two, while it knows no other VM. */
const DELAY_MS_PER_MISSING_CORE = 350;
/** Cores from which a VM that knows no other VM doesn't wait. */
const UNDELAYED_CORES = 2;
/** Shortest time for which a VM owns the fleet before a handover; a failed handover costs a takeover. */
const MIN_HANDOVER_INTERVAL_MS = 15_000;

/** Whether one of the other VMs has clearly more cores. */
export function hasLargerVm(ownCores: number, otherCores: readonly number[]): boolean {
  return otherCores.some((cores) => cores >= ownCores * LARGER_VM_FACTOR);
}

/**
 * Returns the delay before this VM tries to acquire a free ownership, in milliseconds.
 *
 * @example
 * chooseTakeoverDelayMs(0.3, [1.3, 0.3]); // 1_500
 */
export function chooseTakeoverDelayMs(ownCores: number, otherCores: readonly number[]): number {
  if (otherCores.length === 0) {
    return Math.max(0, UNDELAYED_CORES - ownCores) * DELAY_MS_PER_MISSING_CORE;
  }
  return hasLargerVm(ownCores, otherCores) ? SMALLER_VM_DELAY_MS : 0;
}

/** Whether a VM that has owned the fleet for `ownedMs` hands the ownership over to a larger VM. */
export function shouldHandOver(
  ownCores: number,
  otherCores: readonly number[],
  ownedMs: number,
): boolean {
  return ownedMs >= MIN_HANDOVER_INTERVAL_MS && hasLargerVm(ownCores, otherCores);
}
