/** The return value of every `register…` function. */

/** Removes a registration; further calls have no effect. */
export type Unregister = () => void;

/**
 * Combines several unregister functions into one, which calls them in reverse order.
 *
 * @example
 * const unregister = mergeUnregister(registerMetrics(node), registerRoutes(node));
 */
export function mergeUnregister(...parts: readonly Unregister[]): Unregister {
  let done = false;
  return () => {
    if (done) {
      return;
    }
    done = true;
    for (const part of [...parts].reverse()) {
      part();
    }
  };
}
