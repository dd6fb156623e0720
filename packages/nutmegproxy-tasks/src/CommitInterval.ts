/** How often a VM may commit, so that all VMs together keep to their share of the store's writes. */

import type {Vm} from '@nutmegproxy/schema';

import {memoizeByIdentity} from './ObjectUtils.ts';
import {MAX_TOTAL_COMMITS_PER_SECOND, MS_PER_SECOND} from './TasksConstants.ts';

const countEntryVms = memoizeByIdentity(
  (vms: readonly Vm[]) => vms.filter(({role}) => role === 'entry').length,
);

/**
 * Least time between two commits of one VM. A VM has links to a few VMs of other data centres only, so
 * the list of VMs counts too.
 *
 * @example
 * shareIntervalMs(24, directory.vms()); // 324 with 81 entry VMs in the list
 */
export function getMinCommitIntervalMs(linkedPeers: number, vms: readonly Vm[]): number {
  const entryVms = Math.max(linkedPeers + 1, countEntryVms(vms));
  return (entryVms * MS_PER_SECOND) / MAX_TOTAL_COMMITS_PER_SECOND;
}
