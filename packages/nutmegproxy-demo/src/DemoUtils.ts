/** Waiting and reporting in the demo. */

import {setTimeout as delay} from 'node:timers/promises';

import {CONDITION_LIMIT_MS, CONDITION_POLL_MS} from './DemoConstants.ts';

/** Fails the demo when something is not as it must be. */
export function expect(condition: boolean, description: string): void {
  if (!condition) {
    throw new Error(`not as expected: ${description}`);
  }
}

/** Prints one line of what happens. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Waits until `check` answers with a value; rejects when it takes too long. */
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
  throw new Error(`waited too long: ${description}`);
}
