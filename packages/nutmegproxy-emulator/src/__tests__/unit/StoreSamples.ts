/** Views of a store for the tests of this package. */

import type {MemoryStore} from '@nutmegproxy/standins';
import type {PlatformStore} from '@nutmegproxy/store';

import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';
import {errAsync} from 'neverthrow';

import {waitFor} from './JobSamples.ts';

/** Time in milliseconds between two reads of a record. */
const READ_INTERVAL_MS = 5;
/** Time in milliseconds in which an owner stores a record. */
const STORED_WITHIN_MS = 5_000;

/** Returns a view of a store whose calls fail while `isFailing` returns true for their arguments. */
export function createFailingStore(
  store: MemoryStore,
  isFailing: (args: readonly unknown[]) => boolean,
): PlatformStore {
  return new Proxy<PlatformStore>(store, {
    get: (target, name: keyof PlatformStore) => {
      const method = target[name].bind(target) as (...args: unknown[]) => unknown;
      return (...args: unknown[]) =>
        name !== 'watch' && isFailing(args)
          ? errAsync({kind: 'unavailable', message: 'injected'})
          : method(...args);
    },
  });
}

/** Whether the arguments of a store call are a write of a key. */
export function isWriteOf(key: string, args: readonly unknown[]): boolean {
  const text = JSON.stringify(args);
  return text.includes('"put"') && text.includes(key);
}

/** Waits until the stored roster meets a condition. */
export function waitForRoster(
  store: MemoryStore,
  isExpected: (roster: string) => boolean,
): Promise<void> {
  return waitForRecord(store, `${STATE_PREFIX}roster`, isExpected);
}

/** Waits until the stored value of a key meets a condition. */
export async function waitForRecord(
  store: MemoryStore,
  key: string,
  isExpected: (text: string) => boolean,
): Promise<void> {
  let text = '';
  const timer = setInterval(() => {
    void getKey(store, key).then((stored) => {
      text = stored.unwrapOr(undefined)?.value.toString() ?? '';
    });
  }, READ_INTERVAL_MS);
  try {
    await waitFor(`${key} is stored`, () => isExpected(text), STORED_WITHIN_MS);
  } finally {
    clearInterval(timer);
  }
}
