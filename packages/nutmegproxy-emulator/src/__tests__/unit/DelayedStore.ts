/** A view of a store whose calls take a while. */

import type {PlatformStore} from '@nutmegproxy/store';

import {errAsync, ok, ResultAsync} from 'neverthrow';

/**
 * Returns a view of a store whose calls take a time in milliseconds each, and fail without being carried out while their
 * arguments meet a condition; watches are as before.
 *
 * @example
 * delayCalls(store, 150, () => isDown);
 */
export function delayCalls(
  store: PlatformStore,
  durationMs: number,
  isFailing: (args: readonly unknown[]) => boolean,
): PlatformStore {
  const wait = (): ResultAsync<void, never> =>
    new ResultAsync(
      new Promise((resolve) => {
        setTimeout(() => {
          resolve(ok(undefined));
        }, durationMs / 2);
      }),
    );
  return new Proxy(store, {
    get: (target, name: keyof PlatformStore) => {
      const method = target[name].bind(target) as (
        ...args: unknown[]
      ) => ResultAsync<unknown, never>;
      return name === 'watch' || name === 'close'
        ? method
        : (...args: unknown[]) =>
            isFailing(args)
              ? wait().andThen(() => errAsync({kind: 'unavailable', message: 'injected'}))
              : wait()
                  .andThen(() => method(...args))
                  .andThen((answer) => wait().map(() => answer));
    },
  });
}
