/** Helpers of the prover's loops. */

import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MS = 100;

/** Waits until the condition holds; false when it didn't within the limit. */
export async function becomesTrueWithin(
  limitMs: number,
  condition: () => Promise<boolean>,
): Promise<boolean> {
  const limit = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > limit) {
      return false;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return true;
}

/** Waits until the condition holds; rejects when it didn't within the limit. */
export async function waitUntil(
  what: string,
  limitMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  if (!(await becomesTrueWithin(limitMs, condition))) {
    throw new Error(`not within ${limitMs} ms: ${what}`);
  }
}
