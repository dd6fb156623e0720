/**
 * When refused callers come back, for outages of the store. They are told the expected rest of the
 * outage, so that they neither use up their tries before its end nor wait long after it, and they
 * are spread, so that they do not return together.
 */

import {
  EXPECTED_OUTAGE_MS,
  LONGEST_RETRY_AFTER_MS,
  RETRY_AFTER_MS,
  RETRY_AFTER_SPREAD_MS,
} from './EntryConstants.ts';

/**
 * Time in milliseconds after which a caller is to come back. `random` is a number from 0 to 1.
 *
 * @example
 * chooseRetryAfter(3_000, 0.5); // 1_500: one second left, and half of the spread
 */
export function chooseRetryAfter(failingForMs: number, random: number): number {
  const restMs = Math.min(LONGEST_RETRY_AFTER_MS, EXPECTED_OUTAGE_MS - failingForMs);
  return Math.round(Math.max(RETRY_AFTER_MS, restMs) + random * RETRY_AFTER_SPREAD_MS);
}
