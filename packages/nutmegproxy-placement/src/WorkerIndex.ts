/**
 * Index of workers by free capacity. Workers are grouped into buckets by the logarithm of their free
 * processors and free memory, so that a search does not visit the whole fleet.
 */

import type {WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import type {WorkerLoad} from './WorkerLedger.ts';

const LEVELS_PER_DOUBLING = 2;
const MEMORY_UNIT_MB = 256;

interface Bucket {
  readonly cpuLevel: number;
  readonly memoryLevel: number;
  readonly workers: Set<WorkerId>;
}

function toLevel(amount: number): number {
  return Math.floor(LEVELS_PER_DOUBLING * Math.log2(1 + Math.max(0, amount)));
}

function toKey(free: Resources): string {
  return `${toLevel(free.cpu)}:${toLevel(free.memoryMb / MEMORY_UNIT_MB)}`;
}

/** Keeps only buckets with workers, so its size is bounded by the range of free capacities. */
export class WorkerIndex {
  readonly #buckets = new Map<string, Bucket>();
  readonly #keys = new Map<WorkerId, string>();

  /** Yields workers that may have `amount` free, those with the least free capacity first. */
  *candidates(amount: Resources): Generator<WorkerId> {
    const cpuLevel = toLevel(amount.cpu);
    const memoryLevel = toLevel(amount.memoryMb / MEMORY_UNIT_MB);
    const buckets = [...this.#buckets.values()]
      .filter((bucket) => bucket.cpuLevel >= cpuLevel && bucket.memoryLevel >= memoryLevel)
      .sort((a, b) => a.cpuLevel + a.memoryLevel - b.cpuLevel - b.memoryLevel);
    for (const {workers} of buckets) {
      yield* workers;
    }
  }

  /** Updates the worker's free capacity; `undefined` removes the worker. */
  update(worker: WorkerId, load: undefined | WorkerLoad): void {
    const key = load && !load.profile.drained ? toKey(load.free) : undefined;
    const previousKey = this.#keys.get(worker);
    if (key === previousKey) {
      return;
    }
    this.#remove(worker, previousKey);
    if (key !== undefined && load) {
      this.#add(worker, key, load.free);
    }
  }

  #add(worker: WorkerId, key: string, free: Resources): void {
    const bucket = this.#buckets.get(key) ?? {
      cpuLevel: toLevel(free.cpu),
      memoryLevel: toLevel(free.memoryMb / MEMORY_UNIT_MB),
      workers: new Set<WorkerId>(),
    };
    bucket.workers.add(worker);
    this.#buckets.set(key, bucket);
    this.#keys.set(worker, key);
  }

  #remove(worker: WorkerId, key: string | undefined): void {
    if (key === undefined) {
      return;
    }
    const bucket = this.#buckets.get(key);
    bucket?.workers.delete(worker);
    if (bucket?.workers.size === 0) {
      this.#buckets.delete(key);
    }
    this.#keys.delete(worker);
  }
}
