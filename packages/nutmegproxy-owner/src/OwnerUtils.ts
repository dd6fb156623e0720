/** Small functions of the owner's loops. */

import type {Tenure} from './Tenure.ts';

/** Waits; the timer keeps no process alive. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/** Condition under which a write of the owner takes effect: nobody else has taken over. */
export function fencedBy(
  ownerKey: string,
  tenure: Tenure,
): {key: string; kind: 'modRevision'; modRevision: number} {
  return {key: ownerKey, kind: 'modRevision', modRevision: tenure.token};
}
