/** Waiting that ends when a signal aborts. */

/** What `untilAborted` gives when the signal came first. */
export const ABORTED = Symbol('aborted');

/**
 * The result of `work`, or `ABORTED` as soon as the signal aborts; the work itself goes on.
 *
 * @example
 * const answer = await untilAborted(connection.send(request), signal);
 */
export async function untilAborted<Value>(
  work: Promise<Value>,
  signal: AbortSignal,
): Promise<typeof ABORTED | Value> {
  let stop = (): void => undefined;
  const aborted = new Promise<typeof ABORTED>((resolve) => {
    stop = () => {
      resolve(ABORTED);
    };
    signal.addEventListener('abort', stop);
  });
  try {
    return signal.aborted ? ABORTED : await Promise.race([work, aborted]);
  } finally {
    signal.removeEventListener('abort', stop);
  }
}
