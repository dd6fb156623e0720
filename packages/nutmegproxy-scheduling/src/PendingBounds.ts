/** Derives how long the rules that prefer something better may withhold a task beside free room. */

import type {PlatformBounds} from '@nutmegproxy/core';

/** Time in milliseconds that is left for the start itself. */
const START_MARGIN_MS = 500;
/** Shortest wait in milliseconds for something better: as long as a quarantine may last. */
const MIN_WAIT_MS = 4_000;

/**
 * Returns the longest wait in milliseconds for a trusted minion, or for one whose serving tasks tolerate backfill.
 * It counts from when the turn of a step came, a task of it was started last or has failed last, whatever other
 * work does on the minions meanwhile.
 *
 * @example
 * deriveMaxWait({finishMs: 14_000}); // 13_500
 */
export function deriveMaxWait({finishMs}: Pick<PlatformBounds, 'finishMs'>): number {
  return Math.max(MIN_WAIT_MS, finishMs - START_MARGIN_MS);
}
