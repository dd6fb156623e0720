/** Abortable delays. */

import {setTimeout as delay} from 'node:timers/promises';

/** Resolves after the delay, or as soon as the signal is aborted. */
export async function delayUnlessAborted(milliseconds: number, signal: AbortSignal): Promise<void> {
  try {
    await delay(milliseconds, undefined, {signal});
  } catch {
    // The delay only rejects on abort; the caller checks its signal.
  }
}
