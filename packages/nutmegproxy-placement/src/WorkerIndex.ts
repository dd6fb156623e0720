/**
 * Finds workers with room without looking at all of them: workers stand in a grid of cells by the
 * logarithm of their free processors and free memory.
 */

import type {WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {WorkerLoad} from './WorkerLedger.ts';

const STEPS_PER_DOUBLING = 2;
const MEMORY_UNIT_MB = 256;

interface Cell {
  readonly cpuStep: number;
  readonly memoryStep: number;
  readonly workers: Set<WorkerId>;
}

function toStep(amount: number): number {
  return Math.floor(STEPS_PER_DOUBLING * Math.log2(1 + Math.max(0, amount)));
}

function toKey(free: Resources): string {
  return `${toStep(free.cpu)}:${toStep(free.memoryMb / MEMORY_UNIT_MB)}`;
}

/** The grid; cells without workers are not kept, so its size is bounded by the sizes' range. */
export class WorkerIndex {
  readonly #cells = new Map<string, Cell>();
  readonly #keys = new Map<WorkerId, string>();

  /** Yields workers that may have room for `amount`, the tightest cells first. */
  *candidates(amount: Resources): Generator<WorkerId> {
    const cpuStep = toStep(amount.cpu);
    const memoryStep = toStep(amount.memoryMb / MEMORY_UNIT_MB);
    const cells = [...this.#cells.values()]
      .filter((cell) => cell.cpuStep >= cpuStep && cell.memoryStep >= memoryStep)
      .sort((a, b) => a.cpuStep + a.memoryStep - b.cpuStep - b.memoryStep);
    for (const {workers} of cells) {
      yield* workers;
    }
  }

  /** Notes the worker's present room; `undefined` forgets the worker. */
  update(worker: WorkerId, load: undefined | WorkerLoad): void {
    const key = load && !load.profile.drained ? toKey(load.free) : undefined;
    const before = this.#keys.get(worker);
    if (key === before) {
      return;
    }
    this.#leave(worker, before);
    if (key !== undefined && load) {
      this.#enter(worker, key, load.free);
    }
  }

  #enter(worker: WorkerId, key: string, free: Resources): void {
    const cell = this.#cells.get(key) ?? {
      cpuStep: toStep(free.cpu),
      memoryStep: toStep(free.memoryMb / MEMORY_UNIT_MB),
      workers: new Set<WorkerId>(),
    };
    cell.workers.add(worker);
    this.#cells.set(key, cell);
    this.#keys.set(worker, key);
  }

  #leave(worker: WorkerId, key: string | undefined): void {
    if (key === undefined) {
      return;
    }
    const cell = this.#cells.get(key);
    cell?.workers.delete(worker);
    if (cell?.workers.size === 0) {
      this.#cells.delete(key);
    }
    this.#keys.delete(worker);
  }
}
