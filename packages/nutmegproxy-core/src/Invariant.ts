/** Invariants: conditions whose failure indicates a bug, so the process must stop. */

/** Thrown when an invariant is violated; only the process's top-level handler may catch it. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/**
 * Throws `BrokenInvariant` when `condition` is false, which stops the process. Every message is
 * listed with its number in docs/invariant-codes.json.
 *
 * @example
 * invariant(held <= share, 'slots: more slots held than the share');
 */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new BrokenInvariant(message);
  }
}
