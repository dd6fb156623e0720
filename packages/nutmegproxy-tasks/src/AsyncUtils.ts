/** Timers for asynchronous code. */

import {setTimeout as delay} from 'node:timers/promises';

/**
 * Waits without keeping the process alive.
 *
 * @example
 * await sleep(SUPERVISION_INTERVAL_MS);
 */
export async function sleep(durationMs: number): Promise<void> {
  await delay(durationMs, undefined, {ref: false});
}

/** Settles with the promise, or with `fallback` after `timeoutMs`. */
export async function withTimeout<Value, Fallback>(
  promise: Promise<Value>,
  timeoutMs: number,
  fallback: Fallback,
): Promise<Fallback | Value> {
  const abort = new AbortController();
  const timeout = delay(timeoutMs, fallback, {signal: abort.signal}).catch(() => fallback);
  const value = await Promise.race([promise, timeout]);
  abort.abort();
  return value;
}
