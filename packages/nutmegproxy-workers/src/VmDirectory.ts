/**
 * The known VMs: the platform's list merged with reports from minions, workers, operators and peers.
 * A VM that was reported as leaving never becomes live again under the same id and address, even if
 * a lagging list shows it as live.
 */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {Vm} from '@nutmegproxy/schema';

import {createCommand} from '@nutmegproxy/core';

/** Who reported that a VM is leaving. */
export type LeavingSource = 'list' | 'peer' | 'vm';

export interface VmDirectory {
  /** Marks a VM as leaving and informs the peers. */
  markLeaving(vm: VmId, source: LeavingSource, now: Instant): void;
  vm(id: VmId): undefined | Vm;
  /** Returns the known VMs, with `state` merged from all sources. */
  vms(): readonly Vm[];
}

/** The directory has changed; handlers read it again and return false. */
export const VMS_CHANGED = createCommand<VmDirectory>('VMS_CHANGED');
