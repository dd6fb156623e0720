/**
 * Prefers large entry VMs as owners of the fleet. An owner that is too small for its fleet falls
 * behind with lease renewals and polls, and nothing is started.
 */

import {MAX_CELLS} from '@nutmegproxy/jobs';

/** Factor by which another VM's cores have to exceed this VM's for it to be preferred. */
const LARGER_VM_FACTOR = 1.3;
/** Delay that lets a larger VM acquire the ownership first; larger VMs need much less time. */
const SMALLER_VM_DELAY_MS = 1_500;
/** Delay per core that a VM has less than two, while it knows no other VM. */
const DELAY_MS_PER_MISSING_CORE = 350;
/** Cores from which a VM that knows no other VM doesn't wait. */
const UNDELAYED_CORES = 2;
/** Delay for each other cell that a VM owns, so that VMs that own fewer acquire a free one first. */
const OWNED_CELL_DELAY_MS = 700;
/** Shortest time for which a VM owns the fleet before a handover; a failed handover costs a takeover. */
const MIN_HANDOVER_INTERVAL_MS = 15_000;

/** Minions for each core of the largest VM beyond which it does not carry the fleet. */
const MINIONS_PER_CORE = 700;
/** Fewest minions of a cell on the average: the largest cell holds wide steps of tasks that may not share minions. */
const MIN_MINIONS_PER_CELL = 40;

/** Whether one of the other VMs has clearly more cores. */
export function hasLargerVm(ownCores: number, otherCores: readonly number[]): boolean {
  return otherCores.some((cores) => cores >= ownCores * LARGER_VM_FACTOR);
}

/**
 * Returns the delay before this VM tries to acquire a free ownership, in milliseconds, without that for other cells.
 *
 * @example
 * chooseTakeoverDelayMs(0.3, [1.3, 0.3]); // 1_500
 */
export function chooseTakeoverDelayMs(ownCores: number, otherCores: readonly number[]): number {
  if (otherCores.length === 0) {
    return Math.max(0, UNDELAYED_CORES - ownCores) * DELAY_MS_PER_MISSING_CORE;
  }
  return hasLargerVm(ownCores, otherCores) ? SMALLER_VM_DELAY_MS : 0;
}

/** Whether a VM that has owned the fleet for `ownedMs` hands the ownership over to a larger VM. */
export function shouldHandOver(
  ownCores: number,
  otherCores: readonly number[],
  ownedMs: number,
): boolean {
  return ownedMs >= MIN_HANDOVER_INTERVAL_MS && hasLargerVm(ownCores, otherCores);
}

/**
 * Returns the delay in milliseconds by which a VM that owns other cells lets VMs that own fewer go first, and a
 * smaller VM larger ones that delay their own attempt for the cells that they own.
 *
 * @example
 * chooseSpreadDelayMs(2); // 1_400
 */
export function chooseSpreadDelayMs(ownedCells: number, cellsOfLarger = 0): number {
  return (ownedCells + cellsOfLarger) * OWNED_CELL_DELAY_MS;
}

/** An entry VM that may own cells. */
export interface CellHolder {
  /** Number of cells that it owns. */
  readonly cells: number;
  /** Processor time in cores. */
  readonly cores: number;
}

/** Returns the largest number of cells that one of the clearly larger VMs owns. */
export function countCellsOfLarger(ownCores: number, others: readonly CellHolder[]): number {
  const larger = others.filter(({cores}) => hasLargerVm(ownCores, [cores]));
  return Math.max(0, ...larger.map(({cells}) => cells));
}

/** Returns the delay in milliseconds before a VM tries to acquire a free cell, without the random one. */
function chooseDelayMs({cells, cores}: CellHolder, others: readonly CellHolder[]): number {
  const otherCores = others.map((other) => other.cores);
  return (
    chooseTakeoverDelayMs(cores, otherCores) +
    chooseSpreadDelayMs(cells, countCellsOfLarger(cores, others))
  );
}

/**
 * Whether a VM gives up one of its cells: another one, not clearly smaller, owns at least two fewer, and acquires the
 * cell before this one does, so that the same does not hold for it then.
 *
 * @example
 * shouldSpread({cells: 2, cores: 1}, [{cells: 0, cores: 1}], 20_000); // true
 */
export function shouldSpread(
  self: CellHolder,
  others: readonly CellHolder[],
  ownedMs: number,
): boolean {
  const {cells, cores} = self;
  const selfAfter = {cells: cells - 1, cores};
  const latestMs = chooseDelayMs(selfAfter, others) - OWNED_CELL_DELAY_MS;
  return (
    ownedMs >= MIN_HANDOVER_INTERVAL_MS &&
    others.some(
      (other) =>
        other.cells + 2 <= cells &&
        !hasLargerVm(other.cores, [cores]) &&
        chooseDelayMs(other, [selfAfter, ...others.filter((each) => each !== other)]) <= latestMs,
    )
  );
}

/**
 * Returns into how many cells a fleet is divided: as many as its largest VMs can carry it with, one where a
 * single VM can, and never more than there are such VMs or than leaves each cell enough minions.
 *
 * @example
 * chooseCellCount(205, [0.12, 0.12, 0.12, 0.12]); // 3
 */
export function chooseCellCount(minions: number, cores: readonly number[]): number {
  const largest = Math.max(0, ...cores);
  const owners = cores.filter((each) => !hasLargerVm(each, [largest])).length;
  const needed = Math.ceil(minions / (largest * MINIONS_PER_CORE));
  const filled = Math.floor(minions / MIN_MINIONS_PER_CELL);
  return Math.max(1, Math.min(needed, owners, filled, MAX_CELLS));
}
