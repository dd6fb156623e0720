/** Waiting that can be cut short. */

import {setTimeout as delay} from 'node:timers/promises';

/** Waits, or returns at once when the signal is aborted. */
export async function delayUnlessAborted(milliseconds: number, signal: AbortSignal): Promise<void> {
  try {
    await delay(milliseconds, undefined, {signal});
  } catch {
    // Only an abort ends the delay early; the caller looks at its signal.
  }
}
