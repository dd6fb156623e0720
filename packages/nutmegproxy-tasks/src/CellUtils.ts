/** Which workers make up a cell. */

import type {Vm} from '@nutmegproxy/schema';

const DEFAULT_CELL = 'no-rack';

/**
 * The cell that a worker belongs to: its rack.
 *
 * @example
 * const cell = brand<CellId>(cellOfWorker(vm));
 */
export function cellOfWorker(vm: Vm): string {
  return vm.rack ?? DEFAULT_CELL;
}
