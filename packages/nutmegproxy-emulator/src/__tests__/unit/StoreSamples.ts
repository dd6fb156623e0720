/** Views of a store for the tests of this package. */

import type {Operation, PlatformStore, Transaction} from '@nutmegproxy/store';

import {ManualClock} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey} from '@nutmegproxy/store';
import {errAsync, ResultAsync} from 'neverthrow';

import {waitFor} from './JobSamples.ts';

export const ROSTER_KEY = `${STATE_PREFIX}roster`;
/** Part of a roster that names a run of a draining minion. */
export const DRAINING_RUN = '"draining":{"runs":[[';
/** Time in milliseconds between two reads of a record. */
const READ_INTERVAL_MS = 5;
/** Time in milliseconds in which an owner stores a record. */
const STORED_WITHIN_MS = 5_000;

/** Creates a store whose leases end only when they are revoked, also if this process gets no turn. */
export function createStillStore(): MemoryStore {
  return new MemoryStore(new ManualClock());
}

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

/** Returns a view of a store that gives no responses and no events while `isDown` returns true. */
export function disconnect(store: MemoryStore, isDown: () => boolean): PlatformStore {
  const view = createFailingStore(store, isDown);
  const watch: PlatformStore['watch'] = (prefix, fromRevision, handler) =>
    view.watch(prefix, fromRevision, {
      ...handler,
      onEvents: (...changes) => {
        if (!isDown()) {
          handler.onEvents(...changes);
        }
      },
    });
  return new Proxy(view, {
    get: (target, name) => (name === 'watch' ? watch : (Reflect.get(target, name) as unknown)),
  });
}

/** A view of a store that holds back the writes of a key. */
export interface HoldingStore {
  /** Number of writes that were held back so far. */
  readonly count: () => number;
  /** Lets the writes go that are held back now. */
  readonly release: () => void;
  /** Holds back no more writes, and lets go those that are. */
  readonly releaseAll: () => void;
  readonly view: PlatformStore;
}

/** Returns a view of a store whose writes of a key wait until the test lets them go. */
export function createHoldingStore(store: MemoryStore, key: string): HoldingStore {
  let count = 0;
  const held: (() => void)[] = [];
  let isHolding = true;
  const release = (): void => {
    for (const resolve of held.splice(0)) {
      resolve();
    }
  };
  const hold = (): Promise<void> => {
    count += 1;
    return new Promise((resolve) => {
      held.push(resolve);
    });
  };
  const view = new Proxy<PlatformStore>(store, {
    get: (target, name: keyof PlatformStore) => {
      const method = target[name].bind(target) as (
        ...args: unknown[]
      ) => ResultAsync<unknown, unknown>;
      return (...args: unknown[]) =>
        name === 'commit' && isHolding && isWriteOf(key, args)
          ? ResultAsync.fromSafePromise(hold()).andThen(() => method(...args))
          : method(...args);
    },
  });
  const releaseAll = (): void => {
    isHolding = false;
    release();
  };
  return {count: () => count, release, releaseAll, view};
}

/** Whether the arguments of a store call are a write of a key. */
export function isWriteOf(key: string, args: readonly unknown[]): boolean {
  const text = JSON.stringify(args);
  return text.includes('"put"') && text.includes(key);
}

/** Returns the text that the arguments of a store call write to a key; undefined if they don't. */
export function readWrite(key: string, args: readonly unknown[]): string | undefined {
  const read = (operation: Operation): string | undefined => {
    switch (operation.kind) {
      case 'put':
        return operation.key === key ? operation.value.toString() : undefined;
      case 'transaction':
        return readAll(operation.transaction);
      default:
        return undefined;
    }
  };
  const readAll = ({then}: Transaction): string | undefined =>
    then.map(read).find((text) => text !== undefined);
  return isWriteOf(key, args) ? readAll(args[0] as Transaction) : undefined;
}

/** Returns which calls fail so that a record stays from the first write of a key on whose text includes `part`. */
export function failAfterWrite(
  key: string,
  part: string,
  isFailing: (args: readonly unknown[]) => boolean,
): (args: readonly unknown[]) => boolean {
  let isKept = false;
  return (args) => {
    const fails = isKept && isFailing(args);
    isKept ||= readWrite(key, args)?.includes(part) ?? false;
    return fails;
  };
}

/** Waits until the stored roster meets a condition. */
export function waitForRoster(
  store: MemoryStore,
  isExpected: (roster: string) => boolean,
): Promise<void> {
  return waitForRecord(store, ROSTER_KEY, isExpected);
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
