/** Promise-based delay. */

/**
 * Resolves after `milliseconds`. The timer does not keep the process alive.
 *
 * @example
 * await delay(150); // milliseconds
 */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}
