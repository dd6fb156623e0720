/** The bounds of the platform that an emulated minion keeps to, and how its clock and timers behave. */

import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';

export interface MinionBounds {
  /** Rate by which the minion's clock runs slow. */
  readonly clockLagRate: number;
  /** Time in milliseconds by which the timer is late that ends what runs once the lease has expired. */
  readonly expiryLatenessMs: number;
  /** Longest lease in milliseconds that the minion accepts, on its own clock; a longer one is shortened. */
  readonly maxMinionLeaseMs: number;
  /** Reading in milliseconds of the clock when a later incarnation begins; undefined: the clock goes on. */
  readonly restartClockMs: number | undefined;
  /** Time in milliseconds that a run takes to resume from a checkpoint. */
  readonly restoreMs: number;
  /** Time in milliseconds for which a run that is stopped stays live. */
  readonly stopMs: number;
}

/** A minion that stops and resumes runs at once, on a platform whose settings tell no bounds. */
export const DEFAULT_MINION_BOUNDS: MinionBounds = {
  clockLagRate: 0,
  expiryLatenessMs: 0,
  maxMinionLeaseMs: DEFAULT_PLATFORM_BOUNDS.maxMinionLeaseMs,
  restartClockMs: undefined,
  restoreMs: 0,
  stopMs: 0,
};
