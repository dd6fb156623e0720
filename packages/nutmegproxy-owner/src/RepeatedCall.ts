/** Calls that are repeated before the one before has failed. */

import type {Result, ResultAsync} from 'neverthrow';

import {delay} from '@nutmegproxy/core';

export interface Repetition {
  /** Most calls that are sent. */
  readonly attempts: number;
  /** Pause between two calls in milliseconds. */
  readonly pauseMs: number;
}

/**
 * Sends a call, and again after each pause while none has succeeded; returns the first success, or the last
 * failure. Only for calls that do no harm when they are carried out several times, or late.
 *
 * @example
 * await repeatUntilAnswered(() => store.revokeLease(lease), {attempts: 4, pauseMs: 200});
 */
export function repeatUntilAnswered<Value, Failure>(
  call: () => ResultAsync<Value, Failure>,
  {attempts, pauseMs}: Repetition,
): Promise<Result<Value, Failure>> {
  let failures = 0;
  let isDone = false;
  return new Promise((resolve) => {
    const settle = (result: Result<Value, Failure>): void => {
      failures += result.isErr() ? 1 : 0;
      if (result.isOk() || failures === attempts) {
        isDone = true;
        resolve(result);
      }
    };
    const sendAll = async (): Promise<void> => {
      for (let sent = 0; sent < attempts && !isDone; sent += 1) {
        void call().then(settle);
        await delay(pauseMs);
      }
    };
    void sendAll();
  });
}
