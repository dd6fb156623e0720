/** When backfill is stopped that keeps a serving task's tail latency over its target. */

import type {PlatformBounds} from '@nutmegproxy/core';

/** Longest time in milliseconds over the target before all backfill of the minion is stopped. */
const MAX_EVICT_ALL_AFTER_MS = 1_500;
/** Time in milliseconds that the age of a report, a poll and the calls of a stop take. */
const EVICTION_CALLS_MS = 1_600;

export type EvictionBounds = Pick<PlatformBounds, 'maxExceededTargetMs' | 'stopTimeoutMs'>;

/**
 * Returns the time in milliseconds over the target after which all backfill of a minion is stopped, so that it is
 * gone within the time that the platform allows; negative where that can't be met.
 *
 * @example
 * computeEvictAllDelay({maxExceededTargetMs: 4_000, stopTimeoutMs: 2_000}); // 400
 */
export function computeEvictAllDelay({maxExceededTargetMs, stopTimeoutMs}: EvictionBounds): number {
  return Math.min(MAX_EVICT_ALL_AFTER_MS, maxExceededTargetMs - EVICTION_CALLS_MS - stopTimeoutMs);
}
