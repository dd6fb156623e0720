/** Limits each VM's commit rate, so that all VMs together stay within the total commit rate. */

import type {Vm} from '@nutmegproxy/schema';

import {memoizeByIdentity} from './ObjectUtils.ts';
import {MAX_TOTAL_COMMITS_PER_SECOND, MS_PER_SECOND} from './TasksConstants.ts';

const countEntryVms = memoizeByIdentity(
  (vms: readonly Vm[]) => vms.filter(({role}) => role === 'entry').length,
);

/**
 * Minimum time between two commits of one VM. A VM is linked to only a few VMs of other data
 * centres, so the list of VMs is counted too.
 *
 * @example
 * getMinCommitIntervalMs(24, directory.vms()); // 324 with 81 entry VMs in the list
 */
export function getMinCommitIntervalMs(linkedPeers: number, vms: readonly Vm[]): number {
  const entryVms = Math.max(linkedPeers + 1, countEntryVms(vms));
  return (entryVms * MS_PER_SECOND) / MAX_TOTAL_COMMITS_PER_SECOND;
}
