/** Invariants: conditions whose failure means a defect, so that the process must stop. */

/** Thrown when an invariant is broken; nothing but the process's last handler catches it. */
export class BrokenInvariant extends Error {
  override readonly name = 'BrokenInvariant';
}

/**
 * Stops the process when `condition` is false. Every message stands with its number in
 * docs/invariant-codes.json.
 *
 * @example
 * invariant(held <= share, 'slots: more slots held than the share');
 */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) {
    throw new BrokenInvariant(message);
  }
}
