/** Which revision is in force at which VM of this data centre, as the VMs have said. */

import type {IncarnationId, NodeIdentity, VmId} from '@nutmegproxy/core';
import type {AppliedVm} from '@nutmegproxy/schema';

import {MAX_TRACKED_VMS} from './CatalogueConstants.ts';

interface RevisionReport {
  readonly incarnation: IncarnationId;
  readonly revision: number;
}

/** Remembers the newest report of each VM, for a bounded number of VMs. */
export class AppliedRevisions {
  readonly #reports = new Map<VmId, RevisionReport>();

  /** The reports of the named processes; 0 for one that has not reported. */
  listFor(processes: readonly NodeIdentity[]): AppliedVm[] {
    return processes.map(({incarnation, vm}) => {
      const known = this.#reports.get(vm);
      const revision = known?.incarnation === incarnation ? known.revision : 0;
      return {revision, vm};
    });
  }

  /** Takes a report; one that is older than a known one of the same process has no effect. */
  record({incarnation, vm}: NodeIdentity, revision: number): void {
    const known = this.#reports.get(vm);
    if (known?.incarnation === incarnation && known.revision >= revision) {
      return;
    }
    // Set again, so that the map's order is the order of the reports.
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
