/** Waiting that ends when a signal aborts. */

/** What `untilAborted` gives when the signal came first. */
export const ABORTED = Symbol('aborted');

/**
 * The result of `work`, or `ABORTED` as soon as the signal aborts; the work itself goes on.
 *
 * @example
 * const answer = await untilAborted(connection.send(request), signal);
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
