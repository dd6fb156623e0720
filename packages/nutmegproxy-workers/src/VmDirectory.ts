/**
 * What is known of the VMs: the platform's list, joined with what minions, workers, operators and
 * peers say. A VM that was seen leaving never becomes live again under the same id and address,
 * whatever a lagging list says.
 */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {Vm} from '@nutmegproxy/schema';

import {createCommand} from '@nutmegproxy/core';

/** Who said that a VM is leaving. */
export type LeavingSource = 'list' | 'peer' | 'vm';

export interface VmDirectory {
  /** Marks a VM as leaving and tells the peers. */
  markLeaving(vm: VmId, source: LeavingSource, now: Instant): void;
  vm(id: VmId): undefined | Vm;
  /** Known VMs, with `state` already joined from all sources. */
  vms(): readonly Vm[];
}

/** The directory has changed; handlers read it anew and return false. */
export const VMS_CHANGED = createCommand<VmDirectory>('VMS_CHANGED');
