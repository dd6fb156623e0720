/**
 * Retry delays for callers that are refused during a store outage. The delay is the expected rest
 * of the outage, so that callers neither use up their retries before its end nor wait long after
 * it, plus jitter, so that they do not return together.
 */

import {
  EXPECTED_OUTAGE_MS,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER_MS,
} from './EntryConstants.ts';

/**
 * Returns the time in milliseconds after which a caller should retry. `random` is a number from
 * 0 to 1.
 *
 * @example
 * chooseRetryAfter(3_000, 0.5); // 1_500: one second left, and half of the jitter
 */
export function chooseRetryAfter(outageMs: number, random: number): number {
  const remainingMs = Math.min(MAX_RETRY_AFTER_MS, EXPECTED_OUTAGE_MS - outageMs);
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, remainingMs) + random * RETRY_AFTER_JITTER_MS);
}
