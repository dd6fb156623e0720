/** Waiting for a time. */

/**
 * Waits; the timer keeps no process alive.
 *
 * @example
 * await delay(150); // milliseconds
 */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}
