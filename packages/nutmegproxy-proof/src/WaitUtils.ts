/** Helpers that poll a condition. */

import {setTimeout as sleep} from 'node:timers/promises';

const POLL_INTERVAL_MS = 100;

/** Polls until the condition is true; returns false after `limitMs`. */
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

/** Polls until the condition is true; rejects after `limitMs`. */
export async function waitUntil(
  what: string,
  limitMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  if (!(await becomesTrueWithin(limitMs, condition))) {
    throw new Error(`timed out after ${limitMs} ms waiting for: ${what}`);
  }
}
