/** Small functions of the owner's loops. */

import type {TaskRef} from '@nutmegproxy/jobs';

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

/** Whether two references name the same task. */
export function isSameTask(a: TaskRef, b: TaskRef): boolean {
  return (
    a.job === b.job && a.occurrence === b.occurrence && a.step === b.step && a.index === b.index
  );
}
