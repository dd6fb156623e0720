/** Keys of the task log in the platform's store. */

import type {CellId, DataCentreId} from '@nutmegproxy/core';

const SEQUENCE_DIGITS = 12;

function padNumber(value: number): string {
  return String(value).padStart(SEQUENCE_DIGITS, '0');
}

/** Keys of one cell. Deltas sort by generation, then by sequence number. */
export class CellKeys {
  readonly deltas: string;
  readonly owner: string;
  readonly snapshot: string;
  readonly #root: string;

  constructor(keyPrefix: string, dataCentre: DataCentreId, cell: CellId) {
    this.#root = `${keyPrefix}/dc/${dataCentre}/cell/${cell}`;
    this.deltas = `${this.#root}/delta/`;
    this.owner = `${this.#root}/owner`;
    this.snapshot = `${this.#root}/snapshot`;
  }

  chunk(generation: number, index: number): string {
    return `${this.chunks(generation)}${padNumber(index)}`;
  }

  /** Prefix of the chunks of one snapshot. */
  chunks(generation: number): string {
    return `${this.#root}/chunk/${padNumber(generation)}/`;
  }

  delta(generation: number, sequence: number): string {
    return `${this.generation(generation)}${padNumber(sequence)}`;
  }

  /** Prefix of the deltas between two snapshots. */
  generation(generation: number): string {
    return `${this.deltas}${padNumber(generation)}/`;
  }

  /** Generation and sequence number of a delta's key. */
  parseDelta(key: string): {generation: number; sequence: number} {
    const [generation, sequence] = key.slice(this.deltas.length).split('/');
    return {generation: Number(generation), sequence: Number(sequence)};
  }
}

/**
 * Key under which the store keeps the job of an idempotency key, given the key's hash.
 *
 * @example
 * getJobKey('/nutmegproxy', '9f86d08…'); // '/nutmegproxy/jobs/9f86d08…'
 */
export function getJobKey(keyPrefix: string, hash: string): string {
  return `${keyPrefix}/jobs/${hash}`;
}
