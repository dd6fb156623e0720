/** Assignment of workers to cells. */

import type {DataCentreId} from '@nutmegproxy/core';
import type {Vm} from '@nutmegproxy/schema';

/**
 * Whether a VM is a worker of the cell. A cell is a rack of the data centre.
 *
 * @example
 * const workers = directory.vms().filter((vm) => isWorkerOf(vm, dataCentre, cell));
 */
export function isWorkerOf(vm: Vm, dataCentre: DataCentreId, cell: string): boolean {
  return vm.role === 'worker' && vm.dataCentre === dataCentre && vm.rack === cell;
}
