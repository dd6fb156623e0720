/** When backfill is stopped that keeps a serving task's tail latency over its target. */

import type {PlatformBounds} from '@nutmegproxy/core';

/** Longest time in milliseconds over the target before all backfill of the minion is stopped. */
const MAX_EVICT_ALL_AFTER_MS = 1_500;
/** Time in milliseconds that the age of a report, a poll and the calls of a stop take. */
const EVICTION_CALLS_MS = 1_600;
/** Time in milliseconds that the age of a report and the calls of a stop take. */
const REPORT_AND_STOP_CALLS_MS = 800;

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

/**
 * Returns the longest time in milliseconds for which a tail latency may have been over its target, as far as reports tell,
 * before all backfill of the minion is stopped; negative where the time that the platform allows can't be met.
 *
 * @example
 * computeMaxExposure({maxExceededTargetMs: 4_000, stopTimeoutMs: 900}); // 2_300
 */
export function computeMaxExposure({maxExceededTargetMs, stopTimeoutMs}: EvictionBounds): number {
  return maxExceededTargetMs - REPORT_AND_STOP_CALLS_MS - stopTimeoutMs;
}
