/** Waits for promises that an abort signal may interrupt. */

/** The result of `raceAbort` when the signal aborts before the promise settles. */
export const ABORTED = Symbol('aborted');

/**
 * Returns the result of `promise`, or `ABORTED` as soon as the signal aborts. The underlying
 * operation is not cancelled.
 *
 * @example
 * const response = await raceAbort(connection.send(request), signal);
 */
export async function raceAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<typeof ABORTED | Value> {
  let onAbort = (): void => undefined;
  const aborted = new Promise<typeof ABORTED>((resolve) => {
    onAbort = () => {
      resolve(ABORTED);
    };
    signal.addEventListener('abort', onAbort);
  });
  try {
    return signal.aborted ? ABORTED : await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
