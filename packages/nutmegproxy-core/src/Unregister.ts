/** What every `register…` function returns. */

/** Takes back a registration; a second call has no effect. */
export type Unregister = () => void;

/**
 * Joins several registrations into one; they are taken back in reverse order.
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
