/** Helpers for checks, output and polling in the demo. */

import {setTimeout as delay} from 'node:timers/promises';

import {CONDITION_LIMIT_MS, CONDITION_POLL_MS} from './DemoConstants.ts';

/** Throws if the condition is false. */
export function expect(condition: boolean, description: string): void {
  if (!condition) {
    throw new Error(`expectation failed: ${description}`);
  }
}

/** Prints one line to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Polls `check` until it returns a value; rejects after `CONDITION_LIMIT_MS`. */
export async function waitFor<Value>(
  description: string,
  check: () => Promise<undefined | Value>,
): Promise<Value> {
  const attempts = CONDITION_LIMIT_MS / CONDITION_POLL_MS;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const value = await check();
    if (value !== undefined) {
      return value;
    }
    await delay(CONDITION_POLL_MS);
  }
  throw new Error(`timed out waiting until ${description}`);
}
