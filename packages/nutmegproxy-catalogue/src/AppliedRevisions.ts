/** Tracks the revision that each VM of this data centre reports as applied. */

import type {IncarnationId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {AppliedVm} from '@nutmegproxy/schema';

import {MAX_TRACKED_VMS} from './CatalogueConstants.ts';

interface RevisionReport {
  readonly incarnation: IncarnationId;
  readonly revision: number;
}

/** Stores the newest report of each VM, for at most `MAX_TRACKED_VMS` VMs. */
export class AppliedRevisions {
  readonly #reports = new Map<VmId, RevisionReport>();

  /** Returns the applied revision of each given process; 0 for one that has not reported. */
  listFor(processes: readonly NodeIdentity[]): AppliedVm[] {
    return processes.map(({incarnation, vm}) => {
      const known = this.#reports.get(vm);
      const revision = known?.incarnation === incarnation ? known.revision : 0;
      return {revision, vm};
    });
  }

  /** Records a report; ignores one whose revision is not higher than the known one of the process. */
  record({incarnation, vm}: NodeIdentity, revision: number): void {
    const known = this.#reports.get(vm);
    if (known?.incarnation === incarnation && known.revision >= revision) {
      return;
    }
    // Deleting the key first keeps the map ordered by report time, so that the oldest is evicted.
    this.#reports.delete(vm);
    this.#reports.set(vm, {incarnation, revision});
    for (const [oldest] of this.#reports) {
      if (this.#reports.size <= MAX_TRACKED_VMS) {
        break;
      }
      this.#reports.delete(oldest);
    }
  }
}
