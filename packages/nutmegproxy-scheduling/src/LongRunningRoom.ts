/** Computes how much of a service's processors long-running jobs may take. */

import type {MinionState} from './MinionState.ts';

/**
 * Share of a service's processors above which no further long-running task starts. Long-running jobs
 * don't release their processors for minutes, and short work without free capacity is late at once.
 */
const MAX_LONG_RUNNING_SHARE = 0.85;

/** Processors of a service, in thousandths of a core. */
export interface LongRunningRoom {
  readonly capacityMilli: number;
  /** Largest part that nothing but backfill uses on one minion. */
  readonly largestFreeMilli: number;
  /** Largest part that long-running tasks leave on one minion. */
  readonly largestLeftMilli: number;
  /** Reservation of all kinds of work up to which long-running jobs start. */
  readonly limitMilli: number;
  /** Reserved by all kinds of work except backfill. */
  readonly reservedMilli: number;
  /** Reserved by long-running tasks. */
  readonly servingMilli: number;
}

/**
 * Sums the processors of the minions that can get new work.
 *
 * @example
 * const {limitMilli, reservedMilli} = measureLongRunningRoom(minions);
 */
export function measureLongRunningRoom(minions: readonly MinionState[]): LongRunningRoom {
  let capacityMilli = 0;
  let largestFreeMilli = 0;
  let largestLeftMilli = 0;
  let reservedMilli = 0;
  let servingMilli = 0;
  for (const {description, reserved, servingCpuMilli} of minions) {
    const {cpuMilli} = description.capacity;
    capacityMilli += cpuMilli;
    largestFreeMilli = Math.max(largestFreeMilli, cpuMilli - reserved.cpuMilli);
    largestLeftMilli = Math.max(largestLeftMilli, cpuMilli - servingCpuMilli);
    reservedMilli += reserved.cpuMilli;
    servingMilli += servingCpuMilli;
  }
  const limitMilli = capacityMilli * MAX_LONG_RUNNING_SHARE;
  return {
    capacityMilli,
    largestFreeMilli,
    largestLeftMilli,
    limitMilli,
    reservedMilli,
    servingMilli,
  };
}
