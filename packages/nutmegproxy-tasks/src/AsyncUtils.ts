/** Waiting, for the outermost loops. */

import {setTimeout as delay} from 'node:timers/promises';

/**
 * Waits without keeping the process alive.
 *
 * @example
 * await wait(SUPERVISION_INTERVAL_MS);
 */
export async function wait(milliseconds: number): Promise<void> {
  await delay(milliseconds, undefined, {ref: false});
}

/** Settles with the promise, or with `fallback` after a time. */
export async function withDeadline<Value, Fallback>(
  promise: Promise<Value>,
  milliseconds: number,
  fallback: Fallback,
): Promise<Fallback | Value> {
  const abort = new AbortController();
  const timeout = delay(milliseconds, fallback, {signal: abort.signal}).catch(() => fallback);
  const value = await Promise.race([promise, timeout]);
  abort.abort();
  return value;
}
